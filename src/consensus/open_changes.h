// The changes that the leader has taken, by their id, so that all attempts of one change are carried out once
// and answered alike.
//
// A change stays until its deadline has passed, as ChangeAdmission refuses attempts that come later. One that
// was refused with certainty leaves at once: its caller may try again. Bounded: at the limit a change is not
// taken.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "consensus/change_admission.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

// What became of a request: a result, or a refusal.
struct RequestOutcome {
    std::optional<rollout::CommandResult> result;
    Refusal refusal = Refusal::not_leading;  // without a result
    std::optional<AdmissionToken> token;     // for another attempt; only with a refusal

    static RequestOutcome of(rollout::CommandResult result);
    static RequestOutcome refused(Refusal refusal, std::optional<AdmissionToken> token = {});
};

class OpenChanges {
  public:
    using Callback = std::function<void(const RequestOutcome&)>;
    static constexpr std::size_t kMaxChanges = 16'384;

    // Whether the change is a new one, which the caller now has to carry out and finish().
    enum class Joined { is_new, is_repeat, no_room };
    // `done` is called with the outcome, at once if that is known. Not called if there is no room.
    Joined join(const ChangeId& id, base::Micros deadline, base::Micros now, Callback done);
    // `attempts_may_follow`: nothing was proposed, and another attempt is to be carried out anew.
    void finish(const ChangeId& id, const RequestOutcome& outcome, bool attempts_may_follow,
                base::Micros now);

  private:
    struct Change {
        base::Micros deadline = 0;
        std::vector<Callback> waiting;
        std::optional<RequestOutcome> outcome;
    };
    void drop_expired(base::Micros now);

    std::map<ChangeId, Change> changes_;
    std::multimap<base::Micros, ChangeId> deadlines_;
};

}  // namespace sumackeel::consensus
