// Tests of the expectations gate: a configuration that violates an expectation is not applied, and no
// request waits for the check.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cache_stub.h"

using namespace story;

namespace {

// Expects all reads to go to s-a while all caches are up.
constexpr const char* kExpectations = R"(
[traffic]
per_s = 20
seconds = 2
[worlds]
most_pairs = 0
[[expect]]
name = "the boxes of this school"
reason = "others belong to another school"
class = ["video", "sheet"]
only_at = { box = ["s-a"] }
while = { kind = "cache", all = "up" }
)";

std::string operator_text(const std::string& gate) {
    return "[expectations]\nfile = \"expectations.toml\"\ngate = \"" + gate + "\"\n";
}

}  // namespace

// Guards: a reload must not put a wrong list into service. The same files are accepted once the mistake is
// corrected.
TEST_CASE("a reload that breaks an expectation leaves the configuration as it was") {
    Box a, unexpected, origin;
    ChangeLog first, invalid_log, valid_log;
    Folder folder;
    const std::vector<std::string> valid_hosts{host_at("s-a", a.address()),
                                               host_at("s-origin", origin.address(), "origin")};
    std::vector<std::string> invalid_hosts = valid_hosts;
    invalid_hosts.push_back(host_at("s-stray", unexpected.address()));
    folder.write("expectations.toml", kExpectations);
    const std::string operator_file = folder.write("operator.toml", operator_text("reload"));
    const std::string config = folder.write("config.json", config_text(valid_hosts, first.address()));
    Daemon daemon(valid_hosts, first.address(), sumackeel::config::load_operator(operator_file),
                  {config, operator_file, {}});
    Wire client = Wire::to(daemon.port());
    const auto read_succeeds = [&](int number) {
        Fields fields = read("sheet", "00000000000000" + std::to_string(10 + number));
        client.send(dispatch(number, fields));
        return read_reply(client).place == 0;
    };
    CHECK(read_succeeds(1));
    folder.write("config.json", config_text(invalid_hosts, invalid_log.address()));
    daemon.reload();
    CHECK(read_succeeds(2));  // the check runs outside the event loop
    // Reloads run one after the other: once the second has been applied, the first has been decided.
    folder.write("config.json", config_text(valid_hosts, valid_log.address()));
    SUBCASE("mended") {
        const auto bound = std::chrono::steady_clock::now() + std::chrono::milliseconds(3 * kBoundMs);
        while (valid_log.asked_behind().empty() && std::chrono::steady_clock::now() < bound) {
            daemon.reload();
            CHECK(read_succeeds(3 + static_cast<int>(valid_log.asked_behind().size())));
            break;
        }
        while (valid_log.asked_behind().empty() && std::chrono::steady_clock::now() < bound)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        CHECK_FALSE(valid_log.asked_behind().empty());
    }
    SUBCASE("with a file of expectations that can't be read") {
        folder.write("expectations.toml", "[[expect]]\nname = \"x\"\n");
        daemon.reload();
    }
    CHECK(read_succeeds(9));
    CHECK(invalid_log.asked_behind().empty());
}
