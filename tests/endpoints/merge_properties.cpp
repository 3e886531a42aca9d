// Properties of the merge for any events in any order. RapidCheck prints the seed of a failing run; RC_PARAMS
// (see CMakeLists.txt) fixes it, so every run is the same.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "endpoints/endpoint_view.h"
#include "endpoints/snapshot_codec.h"

namespace sumackeel::endpoints {
namespace {

using config::WatchEvent;
using routing::EndpointState;

constexpr Micros kNow = 1'700'000'000LL * base::kSecond;

config::LocatedEndpoint any_endpoint() {
    config::LocatedEndpoint one;
    one.endpoint.name = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
    one.address = "10.0.0." + std::to_string(*rc::gen::inRange(1, 5)) + ":1";
    one.endpoint.state = static_cast<EndpointState>(*rc::gen::inRange(0, 3));
    one.endpoint.started_at = *rc::gen::inRange(0, 3) * base::kSecond;
    return one;
}

// Few names, addresses and numbers, so that events conflict. Two sources may send different events with one
// number.
WatchEvent any_event() {
    WatchEvent change;
    change.sequence = *rc::gen::inRange(1, 9);
    if (*rc::gen::inRange(0, 4) == 0) {
        change.has_purge = true;
        change.object = std::string(1, static_cast<char>('x' + *rc::gen::inRange(0, 2)));
        change.purged_at = kNow - *rc::gen::inRange(0, 20) * base::kSecond;
        return change;
    }
    change.has_endpoints = true;
    change.is_full_list = *rc::gen::inRange(0, 3) == 0;
    const int count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) change.endpoints.push_back(any_endpoint());
    return change;
}

std::vector<WatchEvent> any_events() {
    std::vector<WatchEvent> all;
    const int count = *rc::gen::inRange(1, 14);
    for (int i = 0; i < count; ++i) all.push_back(any_event());
    return all;
}

EndpointView view_of(const std::vector<WatchEvent>& changes) {
    EndpointView view;
    for (const WatchEvent& change : changes) view.apply(change, kNow);
    return view;
}

// Views with the same knowledge must give the same trust, however they received it.
void check_equivalent(const EndpointView& one, const EndpointView& other) {
    RC_ASSERT(one.same_knowledge(other));
    for (char id = 'a'; id < 'g'; ++id)
        RC_ASSERT(one.trust_of(std::string(1, id), kNow) == other.trust_of(std::string(1, id), kNow));
}

}  // namespace

TEST(MergeProperties, OrderAndRepeatsMakeNoDifference) {
    EXPECT_TRUE(rc::check([] {
        const std::vector<WatchEvent> changes = any_events();
        std::vector<WatchEvent> other = changes;
        const auto repeats = *rc::gen::inRange<std::size_t>(0, changes.size() + 1);
        other.insert(other.end(), changes.begin(), changes.begin() + static_cast<long>(repeats));
        std::mt19937 rng(static_cast<unsigned>(*rc::gen::inRange(0, 1 << 30)));
        std::shuffle(other.begin(), other.end(), rng);
        check_equivalent(view_of(changes), view_of(other));
    }));
}

TEST(MergeProperties, NothingHeardAsGoneComesBackWithoutANewerWord) {
    EXPECT_TRUE(rc::check([] {
        EndpointView view = view_of(any_events());
        config::LocatedEndpoint last_endpoint = any_endpoint();
        last_endpoint.endpoint.state =
            *rc::gen::inRange(0, 2) ? EndpointState::removed : EndpointState::draining;
        WatchEvent last;
        last.sequence = 9;  // newer than all before
        last.has_endpoints = true;
        last.endpoints = {last_endpoint};
        view.apply(last, kNow);
        const int more = *rc::gen::inRange(0, 10);
        for (int i = 0; i < more; ++i) view.apply(any_event(), kNow);  // none of them newer
        view.seed(any_event(), kNow);
        Snapshot file = view_of(any_events()).snapshot("s", {kNow}, kNow);
        view.load(file, {kNow}, kNow);
        view.confirm(kNow);
        RC_ASSERT(view.trust_of(last_endpoint.endpoint.name, kNow) == Trust::none);
    }));
}

TEST(MergeProperties, ARestartThroughAFileKnowsTheSame) {
    EXPECT_TRUE(rc::check([] {
        const EndpointView before = view_of(any_events());
        const DecodedSnapshot read = decode(encode(before.snapshot("s", {kNow}, kNow), {}), {});
        RC_ASSERT(!read.error);
        EndpointView after;
        after.load(read.snapshot, {kNow}, kNow);
        after.confirm(kNow);
        EndpointView same = before;
        same.confirm(kNow);
        RC_ASSERT(after.same_knowledge(same));
        // Both continue the same way.
        const WatchEvent next = any_event();
        after.apply(next, kNow);
        same.apply(next, kNow);
        check_equivalent(after, same);
    }));
}

// The changes, accumulated, equal what the view would report to a routing module that starts now.
TEST(MergeProperties, ChangesAddUpToTheWhole) {
    EXPECT_TRUE(rc::check([] {
        EndpointView view;
        std::map<std::string, config::LocatedEndpoint> known;
        for (const WatchEvent& change : any_events()) {
            view.apply(change, kNow);
            if (*rc::gen::inRange(0, 3) == 0) continue;  // several events reported at once
            for (const config::LocatedEndpoint& one : view.take_changes(kNow)) known[one.endpoint.name] = one;
        }
        for (const config::LocatedEndpoint& one : view.take_changes(kNow)) known[one.endpoint.name] = one;
        for (char id = 'a'; id < 'g'; ++id) {
            const auto found = known.find(std::string(1, id));
            const bool ready = found != known.end() && found->second.endpoint.state == EndpointState::ready;
            RC_ASSERT(ready == (view.trust_of(std::string(1, id), kNow) == Trust::full));
            if (ready)
                RC_ASSERT(found->second.address == view.find(std::string(1, id))->record->located.address);
        }
    }));
}

}  // namespace sumackeel::endpoints
