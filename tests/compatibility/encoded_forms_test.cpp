// Bytes on wires and on disk: fixed values, encoded, are the bytes that version 0.3.0 wrote (data/), and
// those bytes are read back to the same values. A change that only renames or reshapes leaves each file as it
// is. With RECORD=1 in the environment the files are written and not judged.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

#include "front_platform/thrift.h"
#include "membership/saved.h"
#include "ops/board.h"
#include "peers/agreed_words.h"
#include "peers/start_number.h"
#include "peers/wire.h"
#include "recovery/kept.h"
#include "registry/registry.h"
#include "rollout/rollout.h"
#include "sim/wire.h"
#include "store/old_store.h"
#include "upstream/lines.h"

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

// The recorded bytes of that name, which `bytes` are compared with.
std::string recorded(const std::string& name, const std::string& bytes) {
    if (std::getenv("RECORD")) std::ofstream(data_file(name), std::ios::binary) << bytes;
    const std::string expected = file_bytes(data_file(name));
    EXPECT_FALSE(expected.empty()) << name << " is not there";
    EXPECT_EQ(bytes, expected) << name;
    return expected;
}

group::Word member_word(const std::string& name) {
    return {.name = name,
            .address = "127.0.0.1:9002",
            .zone = "edge-1",
            .version = "0.3.0",
            .stamp = {3, 7},
            .life = 0xfeedfacecafebeefULL,
            .phase = group::Phase::alive};
}

group::Doubt doubt() {
    return {.by = "n1", .about = "n4", .by_start = 3, .stamp = {3, 7}, .number = 2, .on = true};
}

peers::Codec codec() {
    return {"school", peers::Keys{{"0123456789abcdef"}}};
}

core::Ask ask() {
    core::Ask ask;
    ask.id = "a-17", ask.service_name = "sheet", ask.object = "7f3a9c21e0b4d655", ask.part = 3,
    ask.group = 17;
    return ask;
}

rollout::Plan plan() {
    rollout::Plan plan;
    plan.name = "june", plan.from = "0.2.0", plan.to = "0.3.0";
    plan.members = {"n0", "n1", "n2"}, plan.waves = {1, 2};
    return plan;
}

rollout::Seen member(const char* name, const char* school, double weight) {
    rollout::Seen member;
    member.name = name, member.school = school, member.leans_on = "coast", member.weight = weight;
    return member;
}

rollout::Ask leave_of(const std::string& name, bool forced = false) {
    rollout::Ask ask;
    ask.kind = rollout::Kind::pop_cache, ask.member = name, ask.by = "n0", ask.forced = forced;
    ask.now = 1'700'000'000'000'000;
    ask.rules = {.school_out = 2, .school_share = 1, .fleet_out = 3, .between = 5'000'000};
    ask.world = {member("a1", "a", 8), member("a2", "a", 8), member("b1", "b", 4.5)};
    ask.world[1].out = true, ask.world[1].why = "dead";
    return ask;
}

rollout::Order start_order() {
    rollout::Order order;
    order.verb = rollout::Verb::start, order.by = "n0", order.now = 1'700'000'000'100'000;
    order.plan = plan(), order.there = {"n0", "n1", "n2"};
    return order;
}

rollout::Step step() {
    rollout::Step step;
    step.release = 1, step.behind = 0, step.to = rollout::Stage::soaking, step.wave = 0;
    step.now = 1'700'000'000'200'000, step.reason = "the wave is changed";
    step.base = rollout::Sum{
        .requests = 500, .in_time = 490, .refused = 3, .failed = 1, .own_us = 9'000, .sent = 450};
    return step;
}

registry::Change change() {
    registry::Part set, guarded, leased;
    set.key = "revoked/j-17", set.value = "yes";
    guarded.key = "key/k", guarded.value = "off", guarded.expected = 0;
    leased.key = "fleet/note", leased.value = "soon over", leased.lasts = 2'000'000;
    return {{set, guarded, leased}, "n1", 1'700'000'000'000'000};
}

registry::Purge purge() {
    registry::Purge purge;
    purge.group = 17, purge.by = "n2", purge.at = 1'700'000'000'500'000;
    return purge;
}

}  // namespace

TEST(EncodedForms, PlatformAnswers) {
    using core::Answered;
    std::string bytes;
    bytes += front_platform::write_answer(1, {.how = Answered::served, .body = "the sheet", .tag = "e1"});
    bytes += front_platform::write_answer(2, {.how = Answered::same, .body = "not sent", .tag = "e1"});
    bytes += front_platform::write_answer(3, {.how = Answered::refused, .come_back = 1'500'100});
    bytes += front_platform::write_answer(4, {.how = Answered::refused});
    bytes += front_platform::write_answer(5, {.how = Answered::failed});
    bytes += front_platform::write_answer(6, {.how = Answered::out_of_time});
    bytes += front_platform::write_alive(7, true) + front_platform::write_alive(8, false);
    bytes += front_platform::write_unknown("resign", 9);
    recorded("platform_answers.bin", bytes);
}

TEST(EncodedForms, CacheRequests) {
    const core::Ask plain = ask();
    core::Ask with_body = ask();
    with_body.idempotency_key = "k17", with_body.have = "e1", with_body.body = "four";
    core::Ask without_object;
    without_object.id = "e-1", without_object.service_name = "enrol";
    core::Sending first, all, bare;
    first.until = 3'000'000, first.ask = &plain;
    all.source = "s-parent", all.until = 3'000'999, all.age = 1'999, all.rank = 2, all.ask = &with_body;
    all.join = all.source_holds = all.parent_skips = all.renew = true;
    bare.source = "s-origin", bare.until = 3'000'000, bare.ask = &without_object;
    std::string bytes;
    for (const core::Sending* one : {&first, &all, &bare}) bytes += upstream::RequestText(*one).at(500'400);
    bytes += upstream::RequestText(first).at(2'999'999) + upstream::write_stop("a-17");
    recorded("cache_requests.txt", bytes);
}

TEST(EncodedForms, CacheAnswers) {
    std::string in;
    for (const char* word : {"DONE", "KEEP", "LACK", "WAIT", "BROKE", "PAST"})
        in += std::string("r-") + word + " " + word + " - 0\r\n\r\n";
    for (const char* note : {"local", "pulled", "pulled_far", "rode", "expired", "turned_away", "cut_off",
                             "not_there", "no_place", "far_fault", "unheard_of"})
        in += std::string("n DONE tell=") + note + ",first=12.5,digest=e7,dated=1764576000123 4\r\nbody\r\n";
    in += "m DONE meter=inflight:7;x1:0.75,tell=local 0\r\n\r\nm DONE meter=outstanding:3 0\r\n\r\n";
    upstream::AnswerReader reader;
    reader.add(in);
    std::string read;
    upstream::Answer answer;
    while (reader.next(answer)) {
        const core::Ending& end = answer.ending;
        std::stringstream line;
        line << answer.id << ' ' << static_cast<int>(end.verdict) << ' ' << static_cast<int>(end.note) << ' '
             << end.first_byte << ' ' << end.load.held << ' ' << end.load.link << ' ' << end.same << ' '
             << end.body << ' ' << end.tag << ' ' << end.dated_ms << '\n';
        read += line.str();
    }
    recorded("cache_answers_read.txt", read);
}

TEST(EncodedForms, GossipDatagramsAndFrames) {
    peers::Numbered ask{.datagram = {.kind = group::Kind::ask,
                                     .from = "n1",
                                     .to = "n2",
                                     .number = 9,
                                     .about = "n3",
                                     .words = {member_word("n1"), member_word("n4")},
                                     .doubts = {doubt()}},
                        .start = 3,
                        .sequence = 77};
    peers::Numbered tell{
        .datagram = {.from = "n1", .to = "n2", .words = {member_word("n1")}}, .start = 3, .sequence = 78};
    peers::Bad bad{};
    for (const auto& [name, numbered] :
         {std::pair{"gossip_ask.bin", ask}, std::pair{"gossip_tell.bin", tell}}) {
        const auto read = codec().read_datagram(recorded(name, codec().datagram(numbered)), bad);
        ASSERT_TRUE(read);
        EXPECT_EQ(codec().datagram(*read), codec().datagram(numbered));
    }
    const peers::Frame state{.step = peers::Step::state,
                             .to = "n2",
                             .digest = 0x1122334455667788,
                             .whole = {"n1", {member_word("n1"), member_word("n2")}, {doubt()}}};
    const std::string bytes = recorded("gossip_state.bin", codec().frame(state));
    const auto read = codec().read_frame(std::string_view(bytes).substr(4), bad);
    ASSERT_TRUE(read);
    EXPECT_EQ(codec().frame(*read), bytes);
    const peers::Call call{
        .from = "n1", .to = "n2", .start = 3, .sequence = 5, .verb = "has", .body = "1 2 3"};
    const std::string called = recorded("member_call.bin", codec().call(call));
    const auto again = codec().read_call(std::string_view(called).substr(4), bad);
    ASSERT_TRUE(again);
    EXPECT_EQ(codec().call(*again), called);
}

TEST(EncodedForms, ConsensusMessages) {
    const peers::Said said{.done = true, .leader = "n2", .body = "body", .history = 4, .registry = "news"};
    EXPECT_EQ(encode(peers::said_in(recorded("consensus_reply.bin", encode(said)))), encode(said));
    peers::Wanted wanted;
    wanted.what = peers::What::order, wanted.forced = true, wanted.kind = rollout::Kind::pop_cache;
    wanted.member = "a1", wanted.by = "n0";
    wanted.body = encode(start_order()), wanted.runs = {5, "0.3.0"};
    EXPECT_EQ(peers::Wanted::read(recorded("consensus_request.bin", wanted.encode())).encode(),
              wanted.encode());
}

TEST(EncodedForms, RolloutCommandsAndState) {
    const rollout::Back back{rollout::Kind::pop_cache, "a1", "n0", 1'700'000'000'300'000};
    rollout::Report report;
    report.member = "n1", report.version = "0.3.0", report.start = 5;
    report.tally.served = 9, report.tally.took[3] = 7, report.tally.memory_kb = 40'000;
    EXPECT_EQ(encode(rollout::report_in(recorded("rollout_report.bin", encode(report)))), encode(report));
    const std::string commands[] = {recorded("rollout_leave.bin", encode(leave_of("a1"))),
                                    recorded("rollout_start.bin", encode(start_order())),
                                    recorded("rollout_step.bin", encode(step())),
                                    recorded("rollout_forced.bin", encode(leave_of("b1", true))),
                                    recorded("rollout_back.bin", encode(back))};
    rollout::State state;
    std::string answers;
    for (const std::string& command : commands) answers += encode(rollout::apply(state, command));
    recorded("rollout_answers.bin", answers);
    const std::string snapshot = recorded("rollout_state.bin", state.encode());
    EXPECT_EQ(rollout::State::decode(snapshot), state);
    EXPECT_EQ(rollout::State::decode(snapshot).encode(), snapshot);
}

TEST(EncodedForms, KeyValueCommandsAndState) {
    const registry::Tick tick{1'700'000'002'500'000};
    const std::string commands[] = {recorded("registry_change.bin", encode(change())),
                                    recorded("registry_purge.bin", encode(purge())),
                                    recorded("registry_tick.bin", encode(tick))};
    registry::State state;
    for (const std::string& command : commands) {
        EXPECT_TRUE(registry::is_command(command));
        EXPECT_TRUE(registry::apply(state, command).done);
    }
    recorded("registry_stamped.bin", registry::stamped(commands[0], 1'700'000'001'000'000));
    const std::string snapshot = recorded("registry_state.bin", state.encode());
    EXPECT_EQ(registry::State::decode(snapshot), state);
    EXPECT_EQ(registry::State::decode(snapshot).encode(), snapshot);
    registry::State behind;
    const std::string news = recorded("registry_news.bin", state.news(0));
    EXPECT_TRUE(behind.take(news));
    EXPECT_EQ(behind, state);
    EXPECT_EQ(registry::newest_in(news), state.revision());
    recorded("registry_news_since_1.bin", state.news(1));
}

TEST(EncodedForms, EndpointSnapshot) {
    const membership::Names names{{"coast", "edge-1"}, {"small", "parent", "origin"}};
    membership::Snapshot list;
    list.site = "school", list.taken_at = {1'700'000'000'000'000}, list.sure_age = 1'000'000;
    list.last_seq = 41, list.whole_at = 7, list.forgotten_to = 3;
    for (int i = 0; i < 3; ++i) {
        membership::Word word;
        word.seq = 7 + i;
        word.placed.address = "10.0.0." + std::to_string(i) + ":9090";
        word.placed.entry = {
            .cache = "s-" + std::to_string(i), .weight = 4.5, .zone = 1, .since = i, .kind = i, .cell = i};
        word.placed.entry.state = static_cast<nettlethread::CacheState>(i);
        list.members.push_back({std::make_shared<const membership::Word>(word), i % 2 ? -1 : 1000});
    }
    list.purges = {{"7f3a9c21e0b4d655", 0, 1'699'999'999'000'000}, {"", 17, 1'699'999'998'000'000}};
    const std::string bytes = recorded("endpoints.sumlist", encode(list, names));
    const membership::Decoded read = decode(bytes, names);
    ASSERT_FALSE(read.fault) << read.fault->text;
    EXPECT_EQ(encode(read.list, names), bytes);
}

TEST(EncodedForms, RecoveryState) {
    recovery::Kept kept;
    kept.stage = recovery::Stage::priming, kept.members = {"n0", "n1", "n2"}, kept.drain = true;
    kept.bans = {"s-a"}, kept.leased = {"s-b", "s-c"};
    const std::string bytes = recorded("recovery.sumkept", encode(kept));
    recovery::Kept read;
    EXPECT_EQ(decode(bytes, read), "");
    EXPECT_EQ(read, kept);
}

TEST(EncodedForms, AdminStateHandOver) {
    ops::Board board;
    board.able();
    board.ban("s-a", true), board.ban("s-b.example", true), board.drain_start();
    const std::string bytes = recorded("hand_over.txt", board.hand_over());
    const ops::Read read = ops::read_hand_over(bytes);
    ASSERT_TRUE(read.board) << read.fault;
    EXPECT_EQ(read.board->hand_over(), bytes);
}

TEST(EncodedForms, StartNumber) {
    std::string folder = (std::filesystem::temp_directory_path() / "sumackeel-XXXXXX").string();
    ASSERT_TRUE(mkdtemp(folder.data()));
    const peers::StartNumber number(folder);
    EXPECT_EQ(number.write(71), "");
    recorded("start_number.txt", file_bytes(folder + "/start"));
    std::filesystem::copy_file(data_file("start_number.txt"), folder + "/start",
                               std::filesystem::copy_options::overwrite_existing);
    std::string fault;
    EXPECT_EQ(number.read(fault), 71u);
    EXPECT_EQ(fault, "");
    std::filesystem::remove_all(folder);
}

// Written by a version before 0.3.0: a snapshot, records behind it, who led last.
TEST(EncodedForms, LegacyStore) {
    const std::string folder = data_file("legacy_store");
    ASSERT_TRUE(store::has_old_store(folder));
    const store::OldStore old = store::read_old_store(folder);
    EXPECT_EQ(old.leader, "n1");
    EXPECT_EQ(old.records, 2u);
    const std::map<std::string, std::string> expected{
        {"fleet/note", "kept"}, {"key/k", "off"}, {"revoked/j-1", "yes"}, {"setting/leeway_s", "7"}};
    EXPECT_EQ(old.values, expected);
}

TEST(EncodedForms, SimulatorActions) {
    using namespace nettlethread;
    const Action actions[] = {LookUp{"r1", "c1", 5'000},
                              Serve{.id = "r1",
                                    .timeout = 9,
                                    .cache = "c1",
                                    .age = 4,
                                    .join = true,
                                    .renew = true,
                                    .source = "p0",
                                    .rank = 2},
                              Serve{.id = "r2",
                                    .timeout = 9,
                                    .cache = "c1",
                                    .source_holds = true,
                                    .parent_skips = true,
                                    .source = "c1"},
                              SetTimer{77, 1ULL << 62},
                              Refuse{"r1", 1'500},
                              Fail{"r1"},
                              Cancel{"r1", 1},
                              TellPeer{-1, "\x01\xff"},
                              TellPeer{3, ""},
                              WatchList{true},
                              FetchList{},
                              Probe{"c1"},
                              CloseIdle{"c1"},
                              Log{"text"}};
    std::string lines;
    for (const Action& action : actions) lines += wire::write_action(action).dump() + "\n";
    recorded("simulator_actions.txt", lines);
}
