// Quorum reads of the replicated log, without a leader. Decides when a state includes everything that had
// been committed at a known time. Performs no I/O and reads no clock.
//
// A voter asks the others for the last entry that they have on disk. An entry is committed only once a
// majority of the voters has it on disk, and a committed entry is never removed from a log. So among any
// majority that answers, one voter has every entry that was committed when the query was sent: a state to
// which the log has been applied up to the end of the longest log of some majority includes all of them.
// Neither leases nor election timeouts matter, and a voter that is cut off gets no majority of answers,
// whatever it takes for the leader.
//
// The voters may change by one at a time. A later configuration is committed by a majority that overlaps
// every majority of the one before, so that a voter that does not know it yet is told of a log that ends
// behind it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace sumackeel::consensus {

class QuorumRead {
  public:
    using LogIndex = std::uint64_t;

    // Begins a query that is sent to the voters at `now`; returns its number, which is never 0. Beyond
    // kMaxOpenQueries the oldest is given up.
    std::uint64_t begin(base::Micros now);
    // The time at which a query was sent; no value: it is not open any more.
    std::optional<base::Micros> asked_at(std::uint64_t number) const;
    // `last_stored`: the last entry of `voter`, read after the query had been sent. Repeated and late
    // answers, and answers to queries that are not open, are ignored. A voter whose log lacks entries that it
    // had acknowledged must be left out.
    void add_answer(std::uint64_t number, const std::string& voter, LogIndex last_stored);
    // Returns the latest time at which everything committed was part of the log up to `applied`; no value if
    // no open query tells. `voters`: the current configuration of the log. Queries before the one that tells
    // are closed.
    std::optional<base::Micros> evaluate(const std::vector<std::string>& voters, LogIndex applied);
    // Closes all queries, as after the log was replaced.
    void reset() { queries_.clear(); }

    static constexpr std::size_t kMaxOpenQueries = 64;

  private:
    struct Query {
        std::uint64_t number = 0;
        base::Micros asked_at = 0;
        std::map<std::string, LogIndex> answers;  // by voter
    };
    // Of an open query, among them; their numbers are consecutive.
    std::optional<std::size_t> position_of(std::uint64_t number) const;
    static std::optional<LogIndex> required_index(const Query& query, const std::vector<std::string>& voters);

    std::deque<Query> queries_;  // the oldest first
    std::uint64_t last_number_ = 0;
};

}  // namespace sumackeel::consensus
