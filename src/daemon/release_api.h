// The operators' calls about leases and releases: translates them into commands to the replicated log, and
// its results into replies.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "admin_server/admin_server.h"
#include "consensus/consensus_client.h"

namespace sumackeel::daemon {

// The reply if no majority of the voters answered a command in time.
admin::ApiReply no_majority_reply();
// The reply to a request for a lease or an upgrade lease. No value in `result`: no majority.
admin::ApiReply lease_reply(const std::optional<rollout::CommandResult>& result, const std::string& member);
// Whether the member is out by lease, may leave, or why not, according to this proxy's copy of the state.
admin::ApiReply explain_lease(const consensus::ConsensusClient& client, const std::string& member);

// POST /ops/release/...: start (the plan is the body), halt, resume, back, turn/MEMBER. `proxies`: all live
// proxies, for a plan that names none; `self`: recorded as the requester; `on_own_lease_granted`: called if
// the upgrade lease granted is this proxy's. No value: the reply comes by `respond_later`.
std::optional<admin::ApiReply> handle_release_call(consensus::ConsensusClient& client,
                                                   const admin::ApiCall& call,
                                                   const admin_server::DeferredReply& respond_later,
                                                   const std::vector<std::string>& proxies,
                                                   const std::string& self,
                                                   const std::function<void()>& on_own_lease_granted);

}  // namespace sumackeel::daemon
