// Processes requests on the leader: decides which changes are admitted, completes them with the current state
// of the cluster, and proposes them as commands of the log.
//
// A change is proposed only after an empty entry has been committed: a leader without a majority, or whose
// majority can't write, would otherwise commit the change whenever it can again, long after the caller was
// told that it failed.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "consensus/change_admission.h"
#include "consensus/consensus_messages.h"
#include "consensus/local_voter.h"
#include "consensus/open_changes.h"
#include "consensus/state_view.h"
#include "net/loop.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

// Returns the members of a kind as currently seen by this member.
using FleetView = std::function<std::vector<rollout::FleetMember>(rollout::MemberKind)>;

class RequestProcessor {
  public:
    struct Context {
        net::Loop& loop;
        ClusterTransport& transport;
        const config::Consensus& setup;  // always the current settings
        LocalVoter& voter;
        const StateView& view;
        FleetView fleet;
    };
    using Callback = OpenChanges::Callback;
    // Everything that the context refers to must outlive this object.
    explicit RequestProcessor(Context context) : context_(std::move(context)) {}

    // Only valid while this member is the leader. `done` is called once, immediately or from the loop.
    void process(const ConsensusRequest& request, const Callback& done);
    // For this member's own requests. Only valid while it is the leader.
    AdmissionToken issue_token();
    // The result that a lease request for `member` would have now; no value if the member is unknown.
    std::optional<rollout::CommandResult> explain(const std::string& member) const;
    const FleetView& fleet() const { return context_.fleet; }

  private:
    // `proposed`: the outcome is that of a command in the log.
    using Finish = std::function<void(const RequestOutcome&, bool proposed)>;

    void take_leadership(const ConsensusRequest& request, const Callback& done);
    void process_change(const ConsensusRequest& request, const ChangeGuard& guard, const Callback& done);
    void propose_once_confirmed(const ConsensusRequest& request, const ChangeGuard& guard, Finish finish);
    void propose_if_admitted(const ConsensusRequest& request, const ChangeGuard& guard,
                             base::Micros confirming_since, const Finish& finish);
    void propose_repeatable(const ConsensusRequest& request, const Callback& done);
    std::optional<rollout::CommandResult> result_without_change(const ConsensusRequest& request) const;
    ChangeGuard guard_on_arrival();
    RequestOutcome refused_with_token(Refusal refusal);
    LeaderTerm leader_term() const;
    std::string encode_command(const ConsensusRequest& request) const;
    std::string encode_release_command(const ConsensusRequest& request) const;
    rollout::LeaseRequest lease_request(const ConsensusRequest& request) const;

    Context context_;
    ChangeAdmission admission_;
    OpenChanges open_changes_;
    std::uint64_t last_unguarded_ = 0;  // number of the last change without a guard
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::consensus
