// Stories of the gate: a configuration that breaks an expectation is not taken up, and no request waits for
// the check.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cache_stub.h"

using namespace story;

namespace {

// All reads go to s-a or s-b.
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

// Guards: a mistaken list reaching service by a reload. The same files with the mistake mended are taken up.
TEST_CASE("a reload that breaks an expectation leaves the configuration as it was") {
    Box a, stray, library;
    ChangeLog first, broken_log, sound_log;
    Folder folder;
    const std::vector<std::string> sound{host_at("s-a", a.address()),
                                         host_at("s-origin", library.address(), "origin")};
    std::vector<std::string> broken = sound;
    broken.push_back(host_at("s-stray", stray.address()));
    folder.write("expectations.toml", kExpectations);
    const std::string setup = folder.write("operator.toml", operator_text("reload"));
    const std::string config = folder.write("config.json", config_text(sound, first.address()));
    Daemon daemon(sound, first.address(), sumackeel::config::load_operator(setup), {config, setup, {}});
    Wire client = Wire::to(daemon.port());
    const auto served = [&](int number) {
        Fields fields = read("sheet", "00000000000000" + std::to_string(10 + number));
        client.send(dispatch(number, fields));
        return read_reply(client).place == 0;
    };
    CHECK(served(1));
    folder.write("config.json", config_text(broken, broken_log.address()));
    daemon.reload();
    CHECK(served(2));  // the check runs aside
    // One reload after the other: once the second is taken up the first was decided.
    folder.write("config.json", config_text(sound, sound_log.address()));
    SUBCASE("mended") {
        const auto bound = std::chrono::steady_clock::now() + std::chrono::milliseconds(3 * kBoundMs);
        while (sound_log.asked_behind().empty() && std::chrono::steady_clock::now() < bound) {
            daemon.reload();
            CHECK(served(3 + static_cast<int>(sound_log.asked_behind().size())));
            break;
        }
        while (sound_log.asked_behind().empty() && std::chrono::steady_clock::now() < bound)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        CHECK_FALSE(sound_log.asked_behind().empty());
    }
    SUBCASE("with a file of expectations that can't be read") {
        folder.write("expectations.toml", "[[expect]]\nname = \"x\"\n");
        daemon.reload();
    }
    CHECK(served(9));
    CHECK(broken_log.asked_behind().empty());
}
