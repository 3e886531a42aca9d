#include "consensus/quorum_read.h"

#include <algorithm>

namespace sumackeel::consensus {

using base::Micros;

std::uint64_t QuorumRead::begin(Micros now) {
    if (queries_.size() >= kMaxOpenQueries) queries_.pop_front();
    queries_.push_back({.number = ++last_number_, .asked_at = now, .answers = {}});
    return last_number_;
}

std::optional<std::size_t> QuorumRead::position_of(std::uint64_t number) const {
    const bool open =
        !queries_.empty() && number >= queries_.front().number && number <= queries_.back().number;
    return open ? std::optional<std::size_t>(number - queries_.front().number) : std::nullopt;
}

std::optional<Micros> QuorumRead::asked_at(std::uint64_t number) const {
    const auto position = position_of(number);
    return position ? std::optional(queries_[*position].asked_at) : std::nullopt;
}

void QuorumRead::add_answer(std::uint64_t number, const std::string& voter, LogIndex last_stored) {
    if (const auto position = position_of(number)) queries_[*position].answers.emplace(voter, last_stored);
}

// The end of the longest log of the majority whose longest log is the shortest.
std::optional<QuorumRead::LogIndex> QuorumRead::required_index(const Query& query,
                                                               const std::vector<std::string>& voters) {
    std::vector<LogIndex> ends;
    for (const std::string& voter : voters) {
        const auto answer = query.answers.find(voter);
        if (answer != query.answers.end()) ends.push_back(answer->second);
    }
    const std::size_t majority = voters.size() / 2 + 1;
    if (ends.size() < majority) return std::nullopt;
    std::sort(ends.begin(), ends.end());
    return ends[majority - 1];
}

std::optional<Micros> QuorumRead::evaluate(const std::vector<std::string>& voters, LogIndex applied) {
    if (voters.empty()) return std::nullopt;
    for (std::size_t i = queries_.size(); i > 0; --i) {
        const Query& query = queries_[i - 1];
        const auto required = required_index(query, voters);
        if (!required || applied < *required) continue;
        const Micros confirmed_at = query.asked_at;
        queries_.erase(queries_.begin(), queries_.begin() + static_cast<std::ptrdiff_t>(i - 1));
        return confirmed_at;
    }
    return std::nullopt;
}

}  // namespace sumackeel::consensus
