// Change logs that answer late, or only some calls. Guards against calls that are given up before their
// answer and made anew, so that no event is ever heard (review/7).
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "drained_fleet.h"

using namespace story;
using namespace std::chrono_literals;

namespace {

ChangeLog::AnswersAfter always(std::chrono::milliseconds after) {
    return [after](int) { return after; };
}

// The platform's own change log, told first what the configuration holds.
struct Platform {
    DrainedFleet fleet;
    ChangeLog log;

    explicit Platform(ChangeLog::AnswersAfter answers_after) {
        log.tell(1, ::fleet(1, true, fleet.hosts()));
        log.answer_after(std::move(answers_after));
    }
    bool obeys(Daemon& daemon) {
        Wire client = Wire::to(daemon.port());
        int seqid = 0;
        fleet.drain_and_purge(log, 2);
        return fleet.obeys(client, seqid);
    }
};

}  // namespace

TEST_CASE("each call is answered late: drains and purges are obeyed") {
    for (const auto late : {1'500ms, 5'500ms}) {
        CAPTURE(late.count());
        Platform platform(always(late));
        Daemon daemon(platform.fleet.hosts(), platform.log.address());
        CHECK(platform.obeys(daemon));
    }
}

// Guards against a head counting as the answer, for which the call whose events are on their way was closed.
TEST_CASE("the head of each answer comes at once and its events late: drains and purges are obeyed") {
    Platform platform(always(3'500ms));
    platform.log.send_heads_at_once();
    Daemon daemon(platform.fleet.hosts(), platform.log.address());
    CHECK(platform.obeys(daemon));
}

TEST_CASE("the change log falls silent, the next call is never answered and others late: both are obeyed") {
    Platform platform(always(0ms));
    Daemon daemon(platform.fleet.hosts(), platform.log.address());
    while (platform.log.asked_behind().empty()) std::this_thread::sleep_for(5ms);
    std::this_thread::sleep_for(200ms);
    platform.log.answer_after([](int call) { return call == 0 ? std::nullopt : std::optional(1'500ms); });
    platform.log.fall_silent();
    CHECK(platform.obeys(daemon));
}

// One of two sources leaves the settings while the other's first call waits: that call is heard, and stays
// the only one.
TEST_CASE("a reload keeps the call to a change log that stays: drains and purges are obeyed") {
    Platform platform(always(2'500ms));
    ChangeLog removed;
    Folder folder;
    const auto sources = [&](const std::string& first) {
        return "[discovery]\nsources = [" + first + "\"" + platform.log.address() + "\"]\nfollow = 2\n";
    };
    const std::string operator_file =
        folder.write("operator.toml", sources("\"" + removed.address() + "\", "));
    const std::string config = folder.write("config.json", config_text(platform.fleet.hosts()));
    Daemon daemon(platform.fleet.hosts(), "", sumackeel::config::load_operator(operator_file),
                  {config, operator_file, {}});
    while (platform.log.asked_behind().empty()) std::this_thread::sleep_for(5ms);
    folder.write("operator.toml", sources(""));
    daemon.reload();
    REQUIRE(daemon.reloaded(1));
    platform.log.answer_after([](int) { return std::nullopt; });
    CHECK(platform.obeys(daemon));
}

// Guards against a list of the new numbering being used before the drains that follow it (the time for them
// was counted from the call).
TEST_CASE("a change log counts anew and answers late: a drain behind its list is never passed over") {
    DrainedFleet fleet;
    SavedList saved;
    ChangeLog log;
    fleet.begin_life(log, 2);
    log.tell(3, ::fleet(3, false, {fleet.hosts("DRAINING")[0]}));
    Daemon daemon({}, log.address(), saved.operator_config);
    REQUIRE(saved.wait_until([](const Snapshot& list) { return list.last_sequence == 3; }));
    log.die();
    log.forget();
    log.tell(1, ::fleet(1, true, fleet.hosts()));
    log.answer_after([](int call) { return call == 0 ? 0ms : 700ms; });
    log.come_back();
    Wire client = Wire::to(daemon.port());
    int seqid = 0;
    const auto ask_until = [&](auto is_over) {
        while (!is_over()) {
            ++seqid;
            CHECK(send_and_get_result(client, seqid, request_for("sheet", seqid)) == 0);
        }
    };
    const auto ask_for = [&](std::chrono::milliseconds time) {
        ask_until([end = std::chrono::steady_clock::now() + time] {
            return std::chrono::steady_clock::now() > end;
        });
    };
    const int told = log.told();
    ask_until([&] { return log.told() > told; });
    ask_for(100ms);
    log.tell(2, ::fleet(2, false, {fleet.hosts("DRAINING")[0]}));
    ask_for(500ms);
    CHECK(fleet.drained.count() == 0);
}
