#include "consensus/open_changes.h"

#include <utility>

namespace sumackeel::consensus {

using base::Micros;

RequestOutcome RequestOutcome::of(rollout::CommandResult result) {
    return {.result = std::move(result), .refusal = {}, .token = {}};
}

RequestOutcome RequestOutcome::refused(Refusal refusal, std::optional<AdmissionToken> token) {
    return {.result = {}, .refusal = refusal, .token = token};
}

OpenChanges::Joined OpenChanges::join(const ChangeId& id, Micros deadline, Micros now, Callback done) {
    drop_expired(now);
    const auto found = changes_.find(id);
    if (found != changes_.end()) {
        Change& change = found->second;
        if (change.outcome)
            done(*change.outcome);
        else
            change.waiting.push_back(std::move(done));
        return Joined::is_repeat;
    }
    if (changes_.size() >= kMaxChanges) return Joined::no_room;
    Change change;
    change.deadline = deadline;
    change.waiting.push_back(std::move(done));
    changes_.emplace(id, std::move(change));
    deadlines_.emplace(deadline, id);
    return Joined::is_new;
}

void OpenChanges::finish(const ChangeId& id, const RequestOutcome& outcome, bool attempts_may_follow,
                         Micros now) {
    const auto found = changes_.find(id);
    if (found == changes_.end()) return;
    const std::vector<Callback> waiting = std::exchange(found->second.waiting, {});
    if (attempts_may_follow || found->second.deadline <= now)
        changes_.erase(found);
    else
        found->second.outcome = outcome;
    for (const Callback& done : waiting) done(outcome);
}

// deadlines_ may still name a change that was erased. One that is open stays for its callbacks, until
// finish().
void OpenChanges::drop_expired(Micros now) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto found = changes_.find(deadlines_.begin()->second);
        if (found != changes_.end() && found->second.deadline <= now && found->second.outcome)
            changes_.erase(found);
        deadlines_.erase(deadlines_.begin());
    }
}

}  // namespace sumackeel::consensus
