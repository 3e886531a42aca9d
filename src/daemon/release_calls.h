// The operators' calls about leaves and releases in words: orders and turns to the agreed log, and its
// answers as replies.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "front_ops/front.h"
#include "peers/agreed.h"

namespace sumackeel::daemon {

// A leave's or a turn's answer. None: no majority.
ops::Reply leave_reply(const std::optional<rollout::Answer>& answer, const std::string& member);
// Whether it is out, may leave, or why not, by what this proxy knows.
ops::Reply explained(const peers::Agreed& agreed, const std::string& member);

// POST /ops/release/...: start (the plan is the body), halt, resume, back, turn/MEMBER. `all`: every proxy
// that is there, for a plan that names none; `self`: for the record; `own_turn`: the turn granted is this
// proxy's. Answered at once, or (none) by `later`.
std::optional<ops::Reply> take_release(peers::Agreed& agreed, const ops::Call& call,
                                       const front_ops::Later& later, const std::vector<std::string>& all,
                                       const std::string& self, std::function<void()> own_turn);

}  // namespace sumackeel::daemon
