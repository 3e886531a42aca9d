// Writes a small list as a proxy would have left it: FOLDER GENERATION AGE_S. A negative age is from the
// future.
#include <cstdio>
#include <cstdlib>

#include "base/clock.h"
#include "saved_list/folder.h"

int main(int argc, char** argv) {
    using namespace sumackeel;
    if (argc != 4) return 2;
    const auto wall = base::Clock().unix_now();
    const auto age = std::atoll(argv[3]) * base::kSecond;
    membership::Snapshot list;
    list.site = "school";
    list.taken_at = wall - age;
    list.sure_age = 0;
    list.last_seq = 7;
    const auto add = [&](const char* name, int kind, nettlethread::CacheState state) {
        membership::Word word;
        word.seq = 7;
        word.placed.address = "127.0.0.1:" + std::to_string(9101 + list.members.size());
        word.placed.entry.cache = name;
        word.placed.entry.kind = kind;
        word.placed.entry.state = state;
        list.members.push_back({std::make_shared<const membership::Word>(word), 0});
    };
    add("s-a", 0, nettlethread::CacheState::ready);
    add("s-drained", 0, nettlethread::CacheState::draining);
    add("s-origin", 1, nettlethread::CacheState::ready);
    list.purges.push_back({"", 17, list.taken_at.micros});
    const saved_list::Folder folder(argv[1]);
    const auto generation = static_cast<std::uint64_t>(std::atoll(argv[2]));
    const std::string fault =
        folder.write(encode(list, {{"edge-1"}, {"small", "origin"}}), generation, generation - 1);
    if (!fault.empty()) std::fprintf(stderr, "%s\n", fault.c_str());
    return fault.empty() ? 0 : 1;
}
