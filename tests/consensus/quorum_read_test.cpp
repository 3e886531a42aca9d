// Quorum reads: a state counts as confirmed only if it has everything that was committed when the query was
// sent, whoever answers, in whatever order, after whatever delay.
#include "consensus/quorum_read.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace sumackeel::consensus {
namespace {

using Index = QuorumRead::LogIndex;
using base::Micros;

const std::vector<std::string> kThree{"a", "b", "c"};

// A query sent at `now` with these answers; its number.
std::uint64_t ask(QuorumRead& reads, Micros now, const std::map<std::string, Index>& answers) {
    const auto number = reads.begin(now);
    for (const auto& [voter, last_stored] : answers) reads.add_answer(number, voter, last_stored);
    return number;
}

TEST(QuorumRead, NeedsAMajorityOfAnswers) {
    QuorumRead reads;
    const auto number = ask(reads, 100, {{"a", 7}});
    EXPECT_EQ(reads.evaluate(kThree, 7), std::nullopt);
    reads.add_answer(number, "a", 7);  // repeated
    EXPECT_EQ(reads.evaluate(kThree, 7), std::nullopt);
    reads.add_answer(number, "b", 7);
    EXPECT_EQ(reads.evaluate(kThree, 7), 100);
}

TEST(QuorumRead, CountsFromTheQueryNotFromTheAnswer) {
    QuorumRead reads;
    const auto first = reads.begin(100);
    const auto second = reads.begin(200);
    reads.add_answer(second, "a", 7);
    reads.add_answer(first, "a", 7);
    reads.add_answer(first, "c", 7);
    EXPECT_EQ(reads.evaluate(kThree, 7), 100);
    reads.add_answer(second, "b", 7);
    EXPECT_EQ(reads.evaluate(kThree, 7), 200);
    reads.add_answer(first, "b", 7);  // closed meanwhile
    EXPECT_EQ(reads.asked_at(first), std::nullopt);
    EXPECT_EQ(reads.evaluate(kThree, 7), 200);
}

TEST(QuorumRead, WaitsForWhatItsOwnStateLacks) {
    QuorumRead reads;
    ask(reads, 100, {{"a", 7}, {"b", 9}});
    EXPECT_EQ(reads.evaluate(kThree, 8), std::nullopt);
    EXPECT_EQ(reads.evaluate(kThree, 9), 100);
}

// A former leader's entries that were never committed must not keep all others from being confirmed.
TEST(QuorumRead, LeavesOutALongerLogBesideAMajorityOfShorterOnes) {
    QuorumRead reads;
    ask(reads, 100, {{"a", 7}, {"b", 900}, {"c", 7}});
    EXPECT_EQ(reads.evaluate(kThree, 7), 100);
}

TEST(QuorumRead, CountsOnlyCurrentVoters) {
    QuorumRead reads;
    ask(reads, 100, {{"a", 7}, {"gone", 7}});
    EXPECT_EQ(reads.evaluate(kThree, 7), std::nullopt);
    EXPECT_EQ(reads.evaluate({}, 7), std::nullopt);
    EXPECT_EQ(reads.evaluate({"a", "gone"}, 7), 100);
    EXPECT_EQ(reads.evaluate({"a"}, 7), 100);
}

TEST(QuorumRead, GivesUpTheOldestOfTooManyQueries) {
    QuorumRead reads;
    const auto first = reads.begin(1);
    for (std::size_t i = 0; i < QuorumRead::kMaxOpenQueries; ++i) reads.begin(static_cast<Micros>(2 + i));
    EXPECT_EQ(reads.asked_at(first), std::nullopt);
    reads.add_answer(first, "a", 1);
    EXPECT_EQ(reads.evaluate({"a"}, 1), std::nullopt);
    reads.reset();
    EXPECT_EQ(reads.asked_at(first + 1), std::nullopt);
}

// A model of a replicated log by Raft's rules, with voters that are added and removed one at a time. An entry
// is the term in which it was appended and, if it changes the voters, the new ones.
class LogModel {
  public:
    struct Entry {
        int term = 0;
        std::vector<std::string> voters;  // empty: unchanged
    };

    LogModel(std::uint32_t seed, int voters) : random_(seed) {
        Entry first{.term = 1, .voters = {}};
        for (int i = 0; i < voters; ++i) first.voters.push_back("v" + std::to_string(i));
        for (const std::string& voter : first.voters) logs_[voter] = {first};
        leader_ = "v0";
        committed_ = 1;
    }

    std::size_t pick(std::size_t size) { return random_() % size; }
    Index committed() const { return committed_; }
    Index end_of(const std::string& voter) const { return logs_.at(voter).size(); }
    // Of the log of `voter`, its latest configuration.
    std::vector<std::string> voters_of(const std::string& voter) const {
        const auto& log = logs_.at(voter);
        for (auto entry = log.rbegin(); entry != log.rend(); ++entry)
            if (!entry->voters.empty()) return entry->voters;
        return {};
    }
    std::vector<std::string> all() const {
        std::vector<std::string> names;
        for (const auto& [name, log] : logs_) names.push_back(name);
        return names;
    }
    // What `voter` may have applied: the committed part of its log.
    Index applied_of(const std::string& voter) const {
        Index same = 0;
        const auto& log = logs_.at(voter);
        while (same < log.size() && same < committed_ && log[same].term == committed_terms_at(same)) ++same;
        return same;
    }

    void step() {
        switch (pick(6)) {
            case 0:
                return append({});
            case 1:
                return change_voters();
            case 2:
                return elect();
            default:
                return replicate();
        }
    }

  private:
    int committed_terms_at(Index index) const { return committed_terms_.at(index); }

    void append(std::vector<std::string> voters) {
        logs_[leader_].push_back({.term = term_, .voters = std::move(voters)});
        commit();
    }
    void change_voters() {
        std::vector<std::string> voters = voters_of(leader_);
        const auto& log = logs_[leader_];
        // One change at a time, and only after an entry of the own term is committed.
        const bool pending = std::any_of(log.begin() + static_cast<std::ptrdiff_t>(committed_), log.end(),
                                         [](const Entry& entry) { return !entry.voters.empty(); });
        if (pending || log[committed_ - 1].term != term_) return;
        if (pick(2) == 0 && voters.size() > 2) {
            const std::size_t removed = pick(voters.size());
            if (voters[removed] == leader_) return;
            voters.erase(voters.begin() + static_cast<std::ptrdiff_t>(removed));
        } else if (voters.size() < 5) {
            const std::string added = "v" + std::to_string(next_name_++);
            logs_[added] = {};
            voters.push_back(added);
        }
        append(voters);
    }
    void elect() {
        const auto names = all();
        const std::string candidate = names[pick(names.size())];
        const auto& log = logs_[candidate];
        if (log.empty()) return;
        const auto voters = voters_of(candidate);
        if (std::find(voters.begin(), voters.end(), candidate) == voters.end()) return;
        std::size_t votes = 0;
        for (const std::string& voter : voters) {
            const auto& other = logs_[voter];
            const int other_term = other.empty() ? 0 : other.back().term;
            const bool as_new =
                log.back().term > other_term || (log.back().term == other_term && log.size() >= other.size());
            votes += as_new && pick(4) != 0 ? 1 : 0;
        }
        if (votes * 2 <= voters.size()) return;
        leader_ = candidate;
        ++term_;
    }
    void replicate() {
        const auto names = all();
        const std::string to = names[pick(names.size())];
        const auto& log = logs_[leader_];
        auto& other = logs_[to];
        std::size_t same = 0;
        while (same < other.size() && same < log.size() && other[same].term == log[same].term) ++same;
        if (to == leader_ || same == log.size()) return;
        other.resize(same);
        const std::size_t more = 1 + pick(log.size() - same);
        other.insert(other.end(), log.begin() + static_cast<std::ptrdiff_t>(same),
                     log.begin() + static_cast<std::ptrdiff_t>(same + more));
        commit();
    }
    // An entry of the leader's own term that a majority has is committed, with all before it.
    void commit() {
        const auto& log = logs_[leader_];
        const auto voters = voters_of(leader_);
        for (Index end = log.size(); end > committed_; --end) {
            if (log[end - 1].term != term_) return;
            const auto has = std::count_if(voters.begin(), voters.end(), [&](const std::string& voter) {
                const auto& other = logs_[voter];
                return other.size() >= end && other[end - 1].term == term_;
            });
            if (static_cast<std::size_t>(has) * 2 <= voters.size()) continue;
            committed_ = end;
            committed_terms_.clear();
            for (Index i = 0; i < end; ++i) committed_terms_.push_back(log[i].term);
            return;
        }
    }

    std::mt19937 random_;
    std::map<std::string, std::vector<Entry>> logs_;
    std::vector<int> committed_terms_{1};
    std::string leader_;
    int term_ = 1;
    Index committed_ = 0;
    int next_name_ = 10;
};

// Guards against a confirmation that misses a committed entry: queries whose answers come late, in part and
// while leaders and voters change.
TEST(QuorumRead, NeverConfirmsAStateThatLacksWhatWasCommitted) {
    struct OpenQuery {
        std::uint64_t number = 0;
        Index committed = 0;  // when it was sent
    };
    std::size_t confirmed = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        LogModel model(seed, seed % 2 == 0 ? 3 : 5);
        std::map<std::string, QuorumRead> reads;
        std::map<std::string, std::map<Micros, OpenQuery>> open;
        for (Micros now = 1; now <= 600; ++now) {
            model.step();
            const auto names = model.all();
            const std::string asker = names[model.pick(names.size())];
            if (model.pick(3) == 0) {
                const auto number = reads[asker].begin(now);
                open[asker][now] = {number, model.committed()};
                const auto voters = model.voters_of(asker);
                if (std::find(voters.begin(), voters.end(), asker) != voters.end())
                    reads[asker].add_answer(number, asker, model.end_of(asker));
            }
            if (open[asker].empty()) continue;
            auto answered = open[asker].begin();
            std::advance(answered, static_cast<std::ptrdiff_t>(model.pick(open[asker].size())));
            const std::string voter = names[model.pick(names.size())];
            reads[asker].add_answer(answered->second.number, voter, model.end_of(voter));
            const auto at = reads[asker].evaluate(model.voters_of(asker), model.applied_of(asker));
            if (!at) continue;
            ++confirmed;
            ASSERT_GE(model.applied_of(asker), open[asker].at(*at).committed)
                << "seed " << seed << " asker " << asker << " query of " << *at << " at " << now;
        }
    }
    EXPECT_GT(confirmed, 2'000U);
}

}  // namespace
}  // namespace sumackeel::consensus
