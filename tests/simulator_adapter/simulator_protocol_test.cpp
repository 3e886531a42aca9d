// Parsing and serialization of each message, absent and null values, unknown keys, tokens up to 2^63.
#include "simulator_adapter/simulator_protocol.h"

#include <gtest/gtest.h>

namespace sumackeel::simulator_adapter {

using namespace routing;
namespace {

using nlohmann::json;

const Names kNames{{"bulk", "tables"}, {"north", "edge-1"}, {"std-a", "parent"}, {"t1"}};

json params() {
    return json::parse(R"({"classes":[{"name":"bulk","aim":400000,"aim_stretch":1.6,"give_up":6000000,
        "semantics":"dedup","group":"cell","window":5000000,"points":2.0,"stream":true,"unheard_of":1},
        {"name":"tables","semantics":"fragile"}],
        "zones":["north","edge-1"],"shapes":["std-a","parent","origin"],"my_zone":"edge-1","instances":3,"me":2,
        "discovery":"on_request","weights":"rough","report":{"via":"pull","fields":["x0"]},
        "family_info":{"good_for":[0,8000000],"grace_for":[0,10000000],"in_pieces":[true,false],
        "uncached":[false,true],"upper_kind":1,"origin_kind":2,"joins":true,"neighbours":"location",
        "notes_given":"hit","pace_kb_per_s":5400.0,"zone_hub":[0,0],"count_by_zone":[0,1]},
        "limits":{"most_tries":8,"second_copies":false,"cancel":true},
        "contract":{"cold_share":0.17,"tip_multiple":2.0},"new_section":{"a":1}})");
}

TEST(WireStart, ReadsSettingsAndSkipsUnknownOnes) {
    const Start start = read_start(json::array({"new_instance", 9223372036854775807ULL, params()}));
    EXPECT_EQ(start.seed, 9223372036854775807ULL);
    const Settings& s = start.settings;
    ASSERT_EQ(s.classes.size(), 2u);
    EXPECT_EQ(s.classes[0].retry_safety, RetrySafety::with_idempotency_key);
    EXPECT_EQ(s.classes[0].idempotency_scope, IdempotencyScope::cell);
    EXPECT_TRUE(s.classes[0].streaming);
    EXPECT_EQ(s.classes[1].retry_safety, RetrySafety::not_idempotent);
    EXPECT_TRUE(s.classes[1].uncacheable);
    EXPECT_EQ(s.classes[1].freshness_lifetime, 8'000'000);
    EXPECT_EQ(s.own_zone, 1);
    EXPECT_TRUE(s.endpoints_on_request);
    EXPECT_EQ(s.weight_quality, WeightQuality::rough);
    EXPECT_EQ(s.load_reporting, LoadReporting::on_health_check);
    EXPECT_EQ(s.sibling_fill, SiblingFill::own_zone);
    EXPECT_EQ(s.cache_status_detail, CacheStatusDetail::hits);
    EXPECT_EQ(s.max_attempts, 8);
    EXPECT_DOUBLE_EQ(s.cold_overload_multiple, 2.0);
}

TEST(WireStart, WrongTypesAndMissingValuesAreNamed) {
    json invalid = params();
    invalid["limits"]["most_tries"] = "eight";
    EXPECT_THROW(read_start(json::array({"new_instance", 1, invalid})), ProtocolError);
    EXPECT_THROW(read_start(json::array({"new_instance", 1})), ProtocolError);
    json without_classes = params();
    without_classes.erase("classes");
    EXPECT_THROW(read_start(json::array({"new_instance", 1, without_classes})), ProtocolError);
}

TEST(WireEvents, Call) {
    const Event event =
        read_event(json::array({"call", "c:1", "tables", nullptr, "h:k", 240000, 640, 11, 3, 6}), kNames);
    const auto& call = std::get<RequestReceived>(event);
    EXPECT_EQ(call.class_index, 1);
    EXPECT_EQ(call.object, "h:k");
    EXPECT_EQ(call.time_left, 240000);
    EXPECT_DOUBLE_EQ(call.size_kb, 640);
    EXPECT_EQ(call.purge_group, 11);
    EXPECT_EQ(call.part, 3);
    EXPECT_TRUE(call.client_retry && call.write);
    const Event shortest = read_event(json::array({"call", "c:1", "bulk", 0, 0, 5}), kNames);
    const auto& minimal_call = std::get<RequestReceived>(shortest);
    EXPECT_TRUE(minimal_call.object.empty());
    EXPECT_EQ(minimal_call.size_kb, 0);
    EXPECT_THROW(read_event(json::array({"call", "c:1", "unknown", nullptr, "h:k", 1}), kNames),
                 ProtocolError);
    EXPECT_THROW(read_event(json::array({"call", "c:1", "bulk", nullptr, "h:k", "soon"}), kNames),
                 ProtocolError);
}

TEST(WireEvents, Completed) {
    const Event event = read_event(json::array({"completed", "c:1", 2, "10.0.0.1:1", "overdue", 18500, true,
                                                7, 9400, json{{"outstanding", 7}, {"new", "text"}}}),
                                   kNames);
    const auto& finished = std::get<AttemptFinished>(event);
    EXPECT_EQ(finished.attempt, 2);
    EXPECT_EQ(finished.status, AttemptStatus::timed_out);
    EXPECT_TRUE(finished.request_finished);
    EXPECT_EQ(finished.cache_status, CacheStatus::source_unreachable);
    EXPECT_EQ(finished.load.in_flight, 7);
    const Event shortest = read_event(json::array({"completed", "c:1", 0, "x", "lookup_miss", 1}), kNames);
    EXPECT_FALSE(std::get<AttemptFinished>(shortest).request_finished);
    EXPECT_THROW(read_event(json::array({"completed", "c:1", 0, "x", "no such verdict", 1}), kNames),
                 ProtocolError);
}

TEST(WireEvents, View) {
    const Event event = read_event(
        json::array(
            {"view", 41, "INCREMENTAL",
             json::array({json::array({1.5, "10.0.0.1:1", "terminating", "edge-1", nullptr, "std-a", 7})})}),
        kNames);
    const auto& update = std::get<EndpointUpdate>(event);
    EXPECT_EQ(update.kind, EndpointUpdateKind::incremental);
    ASSERT_EQ(update.endpoints.size(), 1u);
    EXPECT_EQ(update.endpoints[0].state, EndpointState::draining);
    EXPECT_EQ(update.endpoints[0].zone, 1);
    EXPECT_EQ(update.endpoints[0].started_at, 0);
    EXPECT_EQ(update.endpoints[0].cell, 7);
    EXPECT_EQ(std::get<EndpointUpdate>(read_event(json::array({"view", 42, "FAILED"}), kNames)).kind,
              EndpointUpdateKind::failed);
}

TEST(WireEvents, TheRest) {
    const std::uint64_t max_token = std::uint64_t{1} << 63;
    EXPECT_EQ(std::get<TimerExpired>(read_event(json::array({"wake", max_token}), kNames)).token, max_token);
    EXPECT_THROW(read_event(json::array({"wake", max_token + 1}), kNames), ProtocolError);
    EXPECT_THROW(read_event(json::array({"wake", -1}), kNames), ProtocolError);
    EXPECT_EQ(std::get<ClientCancelled>(read_event(json::array({"cancelled_by_client", "c:9"}), kNames)).id,
              "c:9");
    const Event purge = read_event(json::array({"recalled", 11, 85000, 0}), kNames);
    EXPECT_TRUE(std::get<Purge>(purge).object.empty());
    EXPECT_EQ(std::get<Purge>(purge).age, 85000);
    EXPECT_EQ(std::get<GossipReceived>(read_event(json::array({"datagram", 2, "6869"}), kNames)).bytes, "hi");
    EXPECT_THROW(read_event(json::array({"datagram", 2, "6"}), kNames), ProtocolError);
    EXPECT_EQ(
        std::get<ResponseStarted>(read_event(json::array({"flowing", "c:1", "x", 1, 9}), kNames)).attempt, 1);
    EXPECT_EQ(
        std::get<HealthCheckResult>(read_event(json::array({"check_result", "x", "completed", 9}), kNames))
            .elapsed,
        9);
    EXPECT_THROW(read_event(json::array({"no such event"}), kNames), ProtocolError);
    EXPECT_THROW(read_event(json::object(), kNames), ProtocolError);
}

TEST(WireActions, EachInItsForm) {
    const auto text = [](const Action& action) { return write_action(action).dump(); };
    EXPECT_EQ(text(Lookup{"c:1", "x", 80000}), R"(["route","c:1","x",80000])");
    Forward serve{"c:1", 900000, "x", 1500000, true, false, false, true, "y", 2};
    EXPECT_EQ(text(serve), R"(["serve_via","c:1",900000,"x",1500000,9,"y",2])");
    serve.source_cached_only = serve.parent_bypasses_cache = true;
    EXPECT_EQ(write_action(serve)[5], 15);
    EXPECT_EQ(text(SetTimer{8912250, std::uint64_t{1} << 63}), R"(["remind",8912250,9223372036854775808])");
    EXPECT_EQ(text(Reject{"c:1", 250000}), R"(["shed","c:1",250000])");
    EXPECT_EQ(text(Fail{"c:1"}), R"(["lose","c:1"])");
    EXPECT_EQ(text(Cancel{"c:1", 0}), R"(["revoke","c:1",0])");
    EXPECT_EQ(text(SendGossip{-1, "hi"}), R"(["publish","*","6869"])");
    EXPECT_EQ(text(SendGossip{3, ""}), R"(["publish",3,""])");
    EXPECT_EQ(text(WatchEndpoints{true}), R"(["keep_informed",true])");
    EXPECT_EQ(text(PollEndpoints{}), R"(["refresh"])");
    EXPECT_EQ(text(SendHealthCheck{"x"}), R"(["touch","x"])");
    EXPECT_EQ(text(CloseIdleConnections{"x"}), R"(["close","x"])");
    EXPECT_EQ(text(LogMessage{"two servers known"}), R"(["record","two servers known"])");
}

}  // namespace
}  // namespace sumackeel::simulator_adapter
