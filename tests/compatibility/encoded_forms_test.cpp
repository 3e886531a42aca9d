// Compatibility of the encodings on the wire and on disk: fixed values must encode to the bytes that version
// 0.3.0 wrote (data/), and those bytes must decode to the same values. Refactoring must not change these
// files. With RECORD=1 in the environment the files are rewritten instead of checked.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

#include "admin/handover_record.h"
#include "admin/state.h"
#include "base/msgpack.h"
#include "cluster_transport/message_codec.h"
#include "cluster_transport/start_number.h"
#include "consensus/consensus_messages.h"
#include "endpoints/snapshot_codec.h"
#include "kv_store/kv_store.h"
#include "platform_server/thrift_codec.h"
#include "recovery/persisted_state.h"
#include "recovery_coordinator/recovery_messages.h"
#include "rollout/rollout.h"
#include "simulator_adapter/simulator_protocol.h"
#include "store/legacy_store_import.h"
#include "upstream/cache_protocol.h"

namespace {

using namespace sumackeel;

std::string data_file(const std::string& name) {
    return std::string(COMPATIBILITY_DATA) + "/" + name;
}

std::string file_bytes(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Compares `bytes` with the recorded file of that name and returns the recorded bytes.
std::string recorded(const std::string& name, const std::string& bytes) {
    if (std::getenv("RECORD")) std::ofstream(data_file(name), std::ios::binary) << bytes;
    const std::string expected = file_bytes(data_file(name));
    EXPECT_FALSE(expected.empty()) << name << " is missing or empty";
    EXPECT_EQ(bytes, expected) << name;
    return expected;
}

cluster::MemberRecord member_record(const std::string& name) {
    return {.name = name,
            .address = "127.0.0.1:9002",
            .zone = "edge-1",
            .software_version = "0.3.0",
            .incarnation = {3, 7},
            .instance_id = 0xfeedfacecafebeefULL,
            .phase = cluster::Phase::alive};
}

cluster::Suspicion suspicion() {
    return {.suspector = "n1",
            .subject = "n4",
            .suspector_start = 3,
            .incarnation = {3, 7},
            .number = 2,
            .active = true};
}

cluster_transport::MessageCodec codec() {
    return {"school", cluster_transport::Keys{{"0123456789abcdef"}}};
}

core::Request request() {
    core::Request request;
    request.id = "a-17", request.class_name = "sheet", request.object = "7f3a9c21e0b4d655", request.part = 3,
    request.purge_group = 17;
    return request;
}

rollout::Plan plan() {
    rollout::Plan plan;
    plan.name = "june", plan.from = "0.2.0", plan.to = "0.3.0";
    plan.members = {"n0", "n1", "n2"}, plan.waves = {1, 2};
    return plan;
}

rollout::FleetMember member(const char* name, const char* zone, double weight) {
    rollout::FleetMember member;
    member.name = name, member.zone = zone, member.parent_region = "coast", member.weight = weight;
    return member;
}

rollout::LeaseRequest lease_request_for(const std::string& name, bool forced = false) {
    rollout::LeaseRequest request;
    request.kind = rollout::MemberKind::pop_cache, request.member = name, request.requested_by = "n0",
    request.forced = forced;
    request.now = 1'700'000'000'000'000;
    request.budget = {.max_unavailable_in_zone = 2,
                      .max_zone_weight_share = 1,
                      .max_unavailable = 3,
                      .min_interval_in_zone = 5'000'000};
    request.fleet = {member("a1", "a", 8), member("a2", "a", 8), member("b1", "b", 4.5)};
    request.fleet[1].unavailable = true, request.fleet[1].unavailable_reason = "dead";
    return request;
}

rollout::ReleaseCommand start_command() {
    rollout::ReleaseCommand command;
    command.action = rollout::ReleaseAction::start, command.requested_by = "n0",
    command.now = 1'700'000'000'100'000;
    command.plan = plan(), command.live_members = {"n0", "n1", "n2"};
    return command;
}

rollout::ReleaseStep step() {
    rollout::ReleaseStep step;
    step.release = 1, step.expected_steps = 0, step.to = rollout::ReleaseStage::soaking, step.wave = 0;
    step.now = 1'700'000'000'200'000, step.reason = "the wave is changed";
    step.baseline = rollout::MetricsSum{.requests = 500,
                                        .in_time = 490,
                                        .rejected = 3,
                                        .failed = 1,
                                        .dispatch_time_us = 9'000,
                                        .dispatched = 450};
    return step;
}

kv_store::Transaction change() {
    kv_store::Operation set, guarded, leased;
    set.key = "revoked/j-17", set.value = "yes";
    guarded.key = "key/k", guarded.value = "off", guarded.expected_version = 0;
    leased.key = "fleet/note", leased.value = "soon over", leased.time_to_live = 2'000'000;
    return {{set, guarded, leased}, "n1", 1'700'000'000'000'000};
}

kv_store::Purge purge() {
    kv_store::Purge purge;
    purge.purge_group = 17, purge.by = "n2", purge.at = 1'700'000'000'500'000;
    return purge;
}

}  // namespace

TEST(EncodedForms, PlatformAnswers) {
    using core::ResponseStatus;
    std::string bytes;
    bytes += platform_server::encode_response(
        1, {.status = ResponseStatus::served, .body = "the sheet", .etag = "e1"});
    bytes += platform_server::encode_response(
        2, {.status = ResponseStatus::not_modified, .body = "not sent", .etag = "e1"});
    bytes +=
        platform_server::encode_response(3, {.status = ResponseStatus::rejected, .retry_after = 1'500'100});
    bytes += platform_server::encode_response(4, {.status = ResponseStatus::rejected});
    bytes += platform_server::encode_response(5, {.status = ResponseStatus::failed});
    bytes += platform_server::encode_response(6, {.status = ResponseStatus::deadline_exceeded});
    bytes += platform_server::encode_alive(7, true) + platform_server::encode_alive(8, false);
    bytes += platform_server::encode_unknown_method("resign", 9);
    recorded("platform_answers.bin", bytes);
}

TEST(EncodedForms, CacheRequests) {
    const core::Request plain = request();
    core::Request with_body = request();
    with_body.idempotency_key = "k17", with_body.client_etag = "e1", with_body.body = "four";
    core::Request without_object;
    without_object.id = "e-1", without_object.class_name = "enrol";
    core::AttemptRequest first, all, minimal;
    first.deadline = 3'000'000, first.request = &plain;
    all.source = "s-parent", all.deadline = 3'000'999, all.max_age = 1'999, all.cache_priority = 2,
    all.request = &with_body;
    all.coalesce = all.source_cached_only = all.parent_bypasses_cache = all.revalidate = true;
    minimal.source = "s-origin", minimal.deadline = 3'000'000, minimal.request = &without_object;
    std::string bytes;
    for (const core::AttemptRequest* one : {&first, &all, &minimal})
        bytes += upstream::RequestEncoder(*one).encode_at(500'400, one->max_age, one->request->body);
    bytes += upstream::RequestEncoder(first).encode_at(2'999'999, first.max_age, plain.body) +
             upstream::encode_cancel("a-17");
    recorded("cache_requests.txt", bytes);
}

TEST(EncodedForms, CacheAnswers) {
    std::string in;
    for (const char* status : {"DONE", "KEEP", "LACK", "WAIT", "BROKE", "PAST"})
        in += std::string("r-") + status + " " + status + " - 0\r\n\r\n";
    for (const char* note : {"local", "pulled", "pulled_far", "rode", "expired", "turned_away", "cut_off",
                             "not_there", "no_place", "far_fault", "unheard_of"})
        in += std::string("n DONE tell=") + note + ",first=12.5,digest=e7,dated=1764576000123 4\r\nbody\r\n";
    in += "m DONE meter=inflight:7;x1:0.75,tell=local 0\r\n\r\nm DONE meter=outstanding:3 0\r\n\r\n";
    upstream::ResponseReader reader;
    reader.append(in);
    std::string read;
    upstream::CacheResponse response;
    while (reader.next(response)) {
        const core::AttemptResult& result = response.result;
        std::stringstream line;
        line << response.id << ' ' << static_cast<int>(result.status) << ' '
             << static_cast<int>(result.cache_status) << ' ' << result.time_to_first_byte << ' '
             << result.load.in_flight << ' ' << result.load.ingress_utilization << ' ' << result.not_modified
             << ' ' << result.body << ' ' << result.etag << ' ' << result.origin_date_ms << '\n';
        read += line.str();
    }
    recorded("cache_answers_read.txt", read);
}

TEST(EncodedForms, GossipDatagramsAndFrames) {
    cluster_transport::SequencedDatagram request{
        .datagram = {.kind = cluster::MessageKind::ping_request,
                     .from = "n1",
                     .to = "n2",
                     .number = 9,
                     .subject = "n3",
                     .records = {member_record("n1"), member_record("n4")},
                     .suspicions = {suspicion()}},
        .start = 3,
        .sequence = 77};
    cluster_transport::SequencedDatagram plain_datagram{
        .datagram = {.from = "n1", .to = "n2", .records = {member_record("n1")}}, .start = 3, .sequence = 78};
    cluster_transport::DecodeError bad{};
    for (const auto& [name, sequenced] :
         {std::pair{"gossip_ask.bin", request}, std::pair{"gossip_tell.bin", plain_datagram}}) {
        const auto read = codec().decode_datagram(recorded(name, codec().encode_datagram(sequenced)), bad);
        ASSERT_TRUE(read);
        EXPECT_EQ(codec().encode_datagram(*read), codec().encode_datagram(sequenced));
    }
    const cluster_transport::ExchangeFrame state{
        .step = cluster_transport::ExchangeStep::state,
        .to = "n2",
        .digest = 0x1122334455667788,
        .state = {"n1", {member_record("n1"), member_record("n2")}, {suspicion()}}};
    const std::string bytes = recorded("gossip_state.bin", codec().encode_frame(state));
    const auto read = codec().decode_frame(std::string_view(bytes).substr(4), bad);
    ASSERT_TRUE(read);
    EXPECT_EQ(codec().encode_frame(*read), bytes);
    const cluster_transport::CallFrame call{
        .from = "n1", .to = "n2", .start = 3, .sequence = 5, .method = "has", .body = "1 2 3"};
    const std::string call_bytes = recorded("member_call.bin", codec().encode_call(call));
    const auto again = codec().decode_call(std::string_view(call_bytes).substr(4), bad);
    ASSERT_TRUE(again);
    EXPECT_EQ(codec().encode_call(*again), call_bytes);
}

TEST(EncodedForms, ConsensusMessages) {
    const consensus::ConsensusReply reply{
        .done = true, .leader = "n2", .body = "body", .history = 4, .kv_store_update = "news"};
    EXPECT_EQ(encode(consensus::decode_reply(recorded("consensus_reply.bin", encode(reply)))), encode(reply));
    consensus::ConsensusReply state_reply = reply;
    state_reply.confirmed_age = 41'000;
    EXPECT_EQ(
        consensus::decode_reply(recorded("consensus_state_reply.bin", encode(state_reply))).confirmed_age,
        41'000);
    const consensus::ConfirmReply confirm_reply{.history = 4,
                                                .last_stored = 1'017,
                                                .revision = 7,
                                                .kv_store = 9,
                                                .confirmed_age = 41'000,
                                                .leader = "n2"};
    EXPECT_EQ(encode(consensus::decode_confirm_reply(recorded("confirm_reply.bin", encode(confirm_reply)))),
              encode(confirm_reply));
    consensus::ConfirmReply with_purges = confirm_reply;
    with_purges.pending_purges = {purge(), purge()};
    with_purges.pending_purges[1].origin_time = 1'700'000'000'400'000;
    EXPECT_EQ(consensus::decode_confirm_reply(encode(with_purges)).pending_purges,
              with_purges.pending_purges);
    const consensus::ConfirmReply unconfirmed =
        consensus::decode_confirm_reply(encode(consensus::ConfirmReply{}));
    EXPECT_EQ(unconfirmed.last_stored, std::nullopt);
    EXPECT_EQ(unconfirmed.confirmed_age, std::nullopt);
    consensus::ConsensusRequest request;
    request.kind = consensus::RequestKind::release_command, request.forced = true,
    request.member_kind = rollout::MemberKind::pop_cache;
    request.member = "a1", request.by = "n0";
    request.body = encode(start_command()), request.running = {5, "0.3.0"};
    EXPECT_EQ(
        consensus::ConsensusRequest::decode(recorded("consensus_request.bin", request.encode())).encode(),
        request.encode());
}

TEST(EncodedForms, RolloutCommandsAndState) {
    const rollout::LeaseReturn lease_return{rollout::MemberKind::pop_cache, "a1", "n0",
                                            1'700'000'000'300'000};
    rollout::MemberReport member_report;
    member_report.member = "n1", member_report.version = "0.3.0", member_report.start = 5;
    member_report.metrics.served = 9, member_report.metrics.latency_histogram[3] = 7,
    member_report.metrics.memory_kb = 40'000;
    EXPECT_EQ(encode(rollout::decode_member_report(recorded("rollout_report.bin", encode(member_report)))),
              encode(member_report));
    const std::string commands[] = {recorded("rollout_leave.bin", encode(lease_request_for("a1"))),
                                    recorded("rollout_start.bin", encode(start_command())),
                                    recorded("rollout_step.bin", encode(step())),
                                    recorded("rollout_forced.bin", encode(lease_request_for("b1", true))),
                                    recorded("rollout_back.bin", encode(lease_return))};
    rollout::State state;
    std::string results;
    for (const std::string& command : commands) results += encode(rollout::apply(state, command));
    recorded("rollout_answers.bin", results);
    const std::string snapshot = recorded("rollout_state.bin", state.encode());
    EXPECT_EQ(rollout::State::decode(snapshot), state);
    EXPECT_EQ(rollout::State::decode(snapshot).encode(), snapshot);
}

TEST(EncodedForms, KeyValueCommandsAndState) {
    const kv_store::ExpireKeys expire_keys{1'700'000'002'500'000};
    const std::string commands[] = {recorded("registry_change.bin", encode(change())),
                                    recorded("registry_purge.bin", encode(purge())),
                                    recorded("registry_tick.bin", encode(expire_keys))};
    kv_store::State state;
    for (const std::string& command : commands) {
        EXPECT_TRUE(kv_store::is_command(command));
        EXPECT_TRUE(kv_store::apply(state, command).applied);
    }
    recorded("registry_stamped.bin", kv_store::with_leader_time(commands[0], 1'700'000'001'000'000));
    const std::string snapshot = recorded("registry_state.bin", state.encode());
    EXPECT_EQ(kv_store::State::decode(snapshot), state);
    EXPECT_EQ(kv_store::State::decode(snapshot).encode(), snapshot);
    kv_store::State behind;
    const std::string update = recorded("registry_news.bin", state.update_since(0));
    EXPECT_TRUE(behind.apply_update(update));
    EXPECT_EQ(behind, state);
    EXPECT_EQ(kv_store::revision_of_update(update), state.revision());
    recorded("registry_news_since_1.bin", state.update_since(1));
}

TEST(EncodedForms, EndpointSnapshot) {
    const endpoints::NameTables names{{"coast", "edge-1"}, {"small", "parent", "origin"}};
    endpoints::Snapshot snapshot;
    snapshot.site = "school", snapshot.taken_at = {1'700'000'000'000'000}, snapshot.confirmed_age = 1'000'000;
    snapshot.last_sequence = 41, snapshot.full_list_sequence = 7, snapshot.forgotten_through = 3;
    for (int i = 0; i < 3; ++i) {
        endpoints::EndpointRecord record;
        record.sequence = 7 + i;
        record.located.address = "10.0.0." + std::to_string(i) + ":9090";
        record.located.endpoint = {.name = "s-" + std::to_string(i),
                                   .weight = 4.5,
                                   .zone = 1,
                                   .started_at = i,
                                   .kind = i,
                                   .cell = i};
        record.located.endpoint.state = static_cast<routing::EndpointState>(i);
        snapshot.endpoints.push_back(
            {std::make_shared<const endpoints::EndpointRecord>(record), i % 2 ? -1 : 1000});
    }
    snapshot.purges = {{"7f3a9c21e0b4d655", 0, 1'699'999'999'000'000}, {"", 17, 1'699'999'998'000'000}};
    const std::string bytes = recorded("endpoints.sumlist", encode(snapshot, names));
    const endpoints::DecodedSnapshot read = decode(bytes, names);
    ASSERT_FALSE(read.error) << read.error->text;
    EXPECT_EQ(encode(read.snapshot, names), bytes);
}

TEST(EncodedForms, RecoveryState) {
    recovery::PersistedState persisted;
    persisted.phase = recovery::Phase::priming, persisted.members = {"n0", "n1", "n2"},
    persisted.draining = true;
    persisted.bans = {"s-a"}, persisted.leased = {"s-b", "s-c"};
    const std::string bytes = recorded("recovery.sumkept", encode(persisted));
    recovery::PersistedState read;
    EXPECT_EQ(decode(bytes, read), "");
    EXPECT_EQ(read, persisted);
}

TEST(EncodedForms, RecoveryReply) {
    recovery_coordinator::RecoveryReply reply;
    reply.phase = recovery::Phase::settling, reply.members_back = 3, reply.members_before = 5;
    reply.purges = {{"7f3a9c21e0b4d655", 17, 2'000'000}};
    reply.leased = {"s-b", "s-c"};
    const std::string bytes = recorded("recovery_reply.bin", encode(reply));
    const auto read = recovery_coordinator::decode_recovery_reply(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(encode(*read), bytes);
    EXPECT_EQ(read->leased, reply.leased);
    // A sender that does not report leases sends an array of seven.
    base::MsgpackWriter legacy;
    legacy.array(7).add(1, 2, false, false, 3, 5).array(0);
    const auto without_leases = recovery_coordinator::decode_recovery_reply(legacy.bytes());
    ASSERT_TRUE(without_leases);
    EXPECT_EQ(without_leases->phase, recovery::Phase::settling);
    EXPECT_TRUE(without_leases->leased.empty());
}

TEST(EncodedForms, AdminStateHandOver) {
    admin::State state;
    state.on_started();
    state.ban("s-a", true), state.ban("s-b.example", true), state.start_drain();
    const std::string bytes = recorded("hand_over.txt", state.encode());
    const admin::DecodedState read = admin::decode_state(bytes);
    ASSERT_TRUE(read.state) << read.error;
    EXPECT_EQ(read.state->encode(), bytes);
}

TEST(EncodedForms, HandoverRecord) {
    admin::HandoverRecord record(0xfeedfacecafebeefULL);
    record.set_banned("s-a", true), record.set_banned("s-b.example", false), record.set_draining(true);
    record.confirm();
    admin::State legacy;
    legacy.ban("s-c", true);
    record.merge_legacy(legacy);
    const std::string bytes = recorded("hand_over_2.txt", record.encode());
    admin::HandoverRecord read(record.writer());
    EXPECT_EQ(admin::HandoverRecord::decode(bytes, read), "");
    EXPECT_EQ(read, record);
    recorded("hand_over_copy.txt", admin::encode_legacy_copy(record.state()));
}

TEST(EncodedForms, StartNumber) {
    std::string folder = (std::filesystem::temp_directory_path() / "sumackeel-XXXXXX").string();
    ASSERT_TRUE(mkdtemp(folder.data()));
    const cluster_transport::StartNumber number(folder);
    EXPECT_EQ(number.write(71), "");
    recorded("start_number.txt", file_bytes(folder + "/start"));
    std::filesystem::copy_file(data_file("start_number.txt"), folder + "/start",
                               std::filesystem::copy_options::overwrite_existing);
    std::string fault;
    EXPECT_EQ(number.read(fault), 71u);
    EXPECT_EQ(fault, "");
    std::filesystem::remove_all(folder);
}

// Written by a version before 0.3.0: a snapshot, the records after it, and the last leader.
TEST(EncodedForms, LegacyStore) {
    const std::string folder = data_file("legacy_store");
    ASSERT_TRUE(store::has_legacy_store(folder));
    const store::LegacyStore old = store::read_legacy_store(folder);
    EXPECT_EQ(old.leader, "n1");
    EXPECT_EQ(old.records, 2u);
    const std::map<std::string, std::string> expected{
        {"fleet/note", "kept"}, {"key/k", "off"}, {"revoked/j-1", "yes"}, {"setting/leeway_s", "7"}};
    EXPECT_EQ(old.values, expected);
}

TEST(EncodedForms, SimulatorActions) {
    using namespace sumackeel::routing;
    const Action actions[] = {Lookup{"r1", "c1", 5'000},
                              Forward{.id = "r1",
                                      .timeout = 9,
                                      .endpoint = "c1",
                                      .max_age = 4,
                                      .coalesce = true,
                                      .revalidate = true,
                                      .source = "p0",
                                      .cache_priority = 2},
                              Forward{.id = "r2",
                                      .timeout = 9,
                                      .endpoint = "c1",
                                      .source_cached_only = true,
                                      .parent_bypasses_cache = true,
                                      .source = "c1"},
                              SetTimer{77, 1ULL << 62},
                              Reject{"r1", 1'500},
                              Fail{"r1"},
                              Cancel{"r1", 1},
                              SendGossip{-1, "\x01\xff"},
                              SendGossip{3, ""},
                              WatchEndpoints{true},
                              PollEndpoints{},
                              SendHealthCheck{"c1"},
                              CloseIdleConnections{"c1"},
                              LogMessage{"text"}};
    std::string lines;
    for (const Action& action : actions) lines += simulator_adapter::write_action(action).dump() + "\n";
    recorded("simulator_actions.txt", lines);
}
