#include "consensus/change_admission.h"

#include <algorithm>

namespace sumackeel::consensus {

using base::Micros;

const char* name_of(Refusal refusal) {
    switch (refusal) {
        case Refusal::not_leading:
            return "not_leading";
        case Refusal::token_needed:
            return "token_needed";
        case Refusal::expired:
            return "expired";
        case Refusal::superseded:
            return "superseded";
        case Refusal::busy:
            return "busy";
        case Refusal::undecided:
            return "undecided";
    }
    return "?";
}

Micros deadline_of(const ChangeGuard& guard) {
    return guard.token->reading + std::clamp<Micros>(guard.time_left, 0, kRequestTimeout);
}

AdmissionToken ChangeAdmission::issue(const LeaderTerm& leader, Micros now) {
    begin_term(leader);
    return {leader, now, sequence_};
}

std::optional<Refusal> ChangeAdmission::check_time(const ChangeGuard& guard, const LeaderTerm& leader,
                                                   Micros now) const {
    if (!guard.token || guard.token->issuer != leader || leader != leader_) return Refusal::token_needed;
    if (now >= deadline_of(guard)) return Refusal::expired;
    return std::nullopt;
}

bool ChangeAdmission::is_superseded(const std::string& target, const AdmissionToken& token) const {
    if (target.empty()) return false;
    if (token.sequence < forgotten_) return true;
    const auto found = last_admitted_.find(target);
    return found != last_admitted_.end() && token.sequence < found->second;
}

void ChangeAdmission::admit(const std::string& target, const LeaderTerm& leader) {
    begin_term(leader);
    ++sequence_;
    if (target.empty()) return;
    last_admitted_[target] = sequence_;
    if (last_admitted_.size() <= kMaxTargets) return;
    const auto oldest =
        std::min_element(last_admitted_.begin(), last_admitted_.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    forgotten_ = oldest->second;
    last_admitted_.erase(oldest);
}

void ChangeAdmission::begin_term(const LeaderTerm& leader) {
    if (leader == leader_) return;
    *this = {};
    leader_ = leader;
}

}  // namespace sumackeel::consensus
