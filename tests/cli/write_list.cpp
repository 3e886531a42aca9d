// Writes a small list as a proxy would have left it: FOLDER GENERATION AGE_S. A negative age is from the
// future.
#include <cstdio>
#include <cstdlib>

#include "base/clock.h"
#include "endpoint_snapshot/snapshot_directory.h"

int main(int argc, char** argv) {
    using namespace sumackeel;
    if (argc != 4) return 2;
    const auto wall = base::Clock().unix_now();
    const auto age = std::atoll(argv[3]) * base::kSecond;
    endpoints::Snapshot list;
    list.site = "school";
    list.taken_at = wall - age;
    list.confirmed_age = 0;
    list.last_sequence = 7;
    const auto add = [&](const char* name, int kind, routing::EndpointState state) {
        endpoints::EndpointRecord word;
        word.sequence = 7;
        word.located.address = "127.0.0.1:" + std::to_string(9101 + list.endpoints.size());
        word.located.endpoint.name = name;
        word.located.endpoint.kind = kind;
        word.located.endpoint.state = state;
        list.endpoints.push_back({std::make_shared<const endpoints::EndpointRecord>(word), 0});
    };
    add("s-a", 0, routing::EndpointState::ready);
    add("s-drained", 0, routing::EndpointState::draining);
    add("s-origin", 1, routing::EndpointState::ready);
    list.purges.push_back({"", 17, list.taken_at.micros});
    const endpoint_snapshot::SnapshotDirectory folder(argv[1]);
    const auto generation = static_cast<std::uint64_t>(std::atoll(argv[2]));
    const std::string fault =
        folder.write(encode(list, {{"edge-1"}, {"small", "origin"}}), generation, generation - 1);
    if (!fault.empty()) std::fprintf(stderr, "%s\n", fault.c_str());
    return fault.empty() ? 0 : 1;
}
