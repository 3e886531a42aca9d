// A change log numbers its events from 1 in each of its lives. Guards against drains and purges that a proxy
// with a saved list passed over, since their numbers were those of another life (review/6).
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <memory>

#include "drained_fleet.h"

using namespace story;

namespace {

constexpr int kSavedNumber = 6;  // the newest event of the first life
bool has_saved(const SavedList& saved, int seq) {
    return saved.wait_until([seq](const Snapshot& list) { return list.last_sequence == seq; });
}

constexpr int kLastNumbers[] = {2, kSavedNumber, kSavedNumber + 3};  // of the second life at its start

}  // namespace

TEST_CASE("the proxy is killed, and its change log counts anew: drains and purges are obeyed") {
    for (const int last_number : kLastNumbers) {
        CAPTURE(last_number);
        DrainedFleet fleet;
        SavedList saved;
        auto log = std::make_unique<ChangeLog>();
        fleet.begin_life(*log, kSavedNumber);
        {
            Daemon daemon({}, log->address(), saved.operator_config);
            REQUIRE(has_saved(saved, kSavedNumber));
            daemon.crash();
        }
        log = std::make_unique<ChangeLog>();
        fleet.begin_life(*log, last_number);
        Daemon restarted({}, log->address(), saved.operator_config);
        Wire client = Wire::to(restarted.port());
        int seqid = 0;
        fleet.drain_and_purge(*log, last_number + 1);
        CHECK(fleet.obeys(client, seqid));
    }
}

TEST_CASE(
    "the change log alone counts anew while the proxy runs: drains and purges are obeyed, after a kill too") {
    for (const int last_number : kLastNumbers) {
        CAPTURE(last_number);
        DrainedFleet fleet;
        SavedList saved;
        ChangeLog log;
        fleet.begin_life(log, kSavedNumber);
        int seqid = 0;
        {
            Daemon daemon({}, log.address(), saved.operator_config);
            REQUIRE(has_saved(saved, kSavedNumber));
            Wire client = Wire::to(daemon.port());
            log.die();
            log.forget();
            fleet.begin_life(log, last_number);
            log.come_back();
            fleet.drain_and_purge(log, last_number + 1);
            CHECK(fleet.obeys(client, seqid));
            daemon.crash();
        }
        Daemon restarted({}, log.address(), saved.operator_config);
        Wire client = Wire::to(restarted.port());
        CHECK(fleet.obeys(client, seqid));
    }
}

TEST_CASE(
    "the change log that is followed fails, and the other one counts anew: its drains and purges are "
    "obeyed") {
    for (const int last_number : kLastNumbers) {
        CAPTURE(last_number);
        DrainedFleet fleet;
        SavedList saved;
        ChangeLog first, second;
        fleet.begin_life(first, kSavedNumber);
        fleet.begin_life(second, last_number);
        saved.operator_config.discovery.emplace();
        saved.operator_config.discovery->sources = {first.address(), second.address()};
        second.die();
        Daemon daemon({}, "", saved.operator_config);
        REQUIRE(has_saved(saved, kSavedNumber));
        Wire client = Wire::to(daemon.port());
        first.die();
        second.come_back();
        fleet.drain_and_purge(second, last_number + 1);
        int seqid = 0;
        CHECK(fleet.obeys(client, seqid));
    }
}

TEST_CASE("of two change logs one counts anew: the one that goes on is followed") {
    DrainedFleet fleet;
    SavedList saved;
    ChangeLog going_on, anew;
    fleet.begin_life(going_on, kSavedNumber);
    saved.operator_config.discovery.emplace();
    saved.operator_config.discovery->sources = {anew.address(), going_on.address()};
    saved.operator_config.discovery->follow = 2;
    anew.die();
    Daemon daemon({}, "", saved.operator_config);
    REQUIRE(has_saved(saved, kSavedNumber));
    Wire client = Wire::to(daemon.port());
    anew.tell(1, ::fleet(1, true, fleet.hosts("DRAINING")));
    anew.come_back();
    while (anew.comments() < 20) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    const auto before = fleet.drained.count();
    int seqid = 0;
    for (seqid = 1; seqid <= 40; ++seqid)
        CHECK(send_and_get_result(client, seqid, request_for("sheet", seqid)) == 0);
    CHECK(fleet.drained.count() > before);  // by the log that is known to be current it serves
    fleet.drain_and_purge(going_on, kSavedNumber + 1);
    CHECK(fleet.obeys(client, seqid));
}
