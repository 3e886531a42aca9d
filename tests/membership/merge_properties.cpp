// What must hold of the merge for any words in any order. RapidCheck prints the seed of a failing run;
// RC_PARAMS fixes it below, so every run is the same.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "membership/saved.h"
#include "membership/view.h"

namespace sumackeel::membership {
namespace {

using config::Change;
using nettlethread::CacheState;

constexpr Micros kNow = 1'700'000'000LL * base::kSecond;

config::Placed any_member() {
    config::Placed one;
    one.entry.cache = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
    one.address = "10.0.0." + std::to_string(*rc::gen::inRange(1, 5)) + ":1";
    one.entry.state = static_cast<CacheState>(*rc::gen::inRange(0, 3));
    one.entry.since = *rc::gen::inRange(0, 3) * base::kSecond;
    return one;
}

// Few names, addresses and numbers, so that words meet. Two sources may tell different things under one
// number.
Change any_change() {
    Change change;
    change.seq = *rc::gen::inRange(1, 9);
    if (*rc::gen::inRange(0, 4) == 0) {
        change.has_purge = true;
        change.object = std::string(1, static_cast<char>('x' + *rc::gen::inRange(0, 2)));
        change.purged_at = kNow - *rc::gen::inRange(0, 20) * base::kSecond;
        return change;
    }
    change.has_fleet = true;
    change.whole = *rc::gen::inRange(0, 3) == 0;
    const int count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) change.members.push_back(any_member());
    return change;
}

std::vector<Change> any_changes() {
    std::vector<Change> all;
    const int count = *rc::gen::inRange(1, 14);
    for (int i = 0; i < count; ++i) all.push_back(any_change());
    return all;
}

View view_of(const std::vector<Change>& changes) {
    View view;
    for (const Change& change : changes) view.apply(change, kNow);
    return view;
}

// The same knowledge has to lead to the same use, by whatever way it came.
void check_alike(const View& one, const View& other) {
    RC_ASSERT(one.same_knowledge(other));
    for (char id = 'a'; id < 'g'; ++id)
        RC_ASSERT(one.use_of(std::string(1, id), kNow) == other.use_of(std::string(1, id), kNow));
}

}  // namespace

TEST(MergeProperties, OrderAndRepeatsMakeNoDifference) {
    EXPECT_TRUE(rc::check([] {
        const std::vector<Change> changes = any_changes();
        std::vector<Change> other = changes;
        const auto repeats = *rc::gen::inRange<std::size_t>(0, changes.size() + 1);
        other.insert(other.end(), changes.begin(), changes.begin() + static_cast<long>(repeats));
        std::mt19937 rng(static_cast<unsigned>(*rc::gen::inRange(0, 1 << 30)));
        std::shuffle(other.begin(), other.end(), rng);
        check_alike(view_of(changes), view_of(other));
    }));
}

TEST(MergeProperties, NothingHeardAsGoneComesBackWithoutANewerWord) {
    EXPECT_TRUE(rc::check([] {
        View view = view_of(any_changes());
        config::Placed out = any_member();
        out.entry.state = *rc::gen::inRange(0, 2) ? CacheState::gone : CacheState::draining;
        Change last;
        last.seq = 9;  // newer than all before
        last.has_fleet = true;
        last.members = {out};
        view.apply(last, kNow);
        const int more = *rc::gen::inRange(0, 10);
        for (int i = 0; i < more; ++i) view.apply(any_change(), kNow);  // none of them newer
        view.seed(any_change(), kNow);
        Snapshot file = view_of(any_changes()).snapshot("s", {kNow}, kNow);
        view.load(file, {kNow}, kNow);
        view.confirm(kNow);
        RC_ASSERT(view.use_of(out.entry.cache, kNow) == Use::none);
    }));
}

TEST(MergeProperties, ARestartThroughAFileKnowsTheSame) {
    EXPECT_TRUE(rc::check([] {
        const View before = view_of(any_changes());
        const Decoded read = decode(encode(before.snapshot("s", {kNow}, kNow), {}), {});
        RC_ASSERT(!read.fault);
        View after;
        after.load(read.list, {kNow}, kNow);
        after.confirm(kNow);
        View same = before;
        same.confirm(kNow);
        RC_ASSERT(after.same_knowledge(same));
        // And it goes on alike from there.
        const Change next = any_change();
        after.apply(next, kNow);
        same.apply(next, kNow);
        check_alike(after, same);
    }));
}

// What the module is told, added up, is what the view would tell a module that starts now.
TEST(MergeProperties, ChangesAddUpToTheWhole) {
    EXPECT_TRUE(rc::check([] {
        View view;
        std::map<std::string, config::Placed> known;
        for (const Change& change : any_changes()) {
            view.apply(change, kNow);
            if (*rc::gen::inRange(0, 3) == 0) continue;  // several changes told at once
            for (const config::Placed& one : view.changes(kNow)) known[one.entry.cache] = one;
        }
        for (const config::Placed& one : view.changes(kNow)) known[one.entry.cache] = one;
        for (char id = 'a'; id < 'g'; ++id) {
            const auto found = known.find(std::string(1, id));
            const bool ready = found != known.end() && found->second.entry.state == CacheState::ready;
            RC_ASSERT(ready == (view.use_of(std::string(1, id), kNow) == Use::full));
            if (ready)
                RC_ASSERT(found->second.address == view.find(std::string(1, id))->word->placed.address);
        }
    }));
}

}  // namespace sumackeel::membership
