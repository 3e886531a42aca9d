// The replicated state as it is known here: of this member's own log, or of its copy if that is newer.
#pragma once

#include <optional>
#include <string>

#include "base/time.h"
#include "cluster/membership.h"
#include "consensus/local_voter.h"
#include "consensus/state_follower.h"
#include "kv_store/kv_store.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

class StateView {
  public:
    // Both outlive this.
    StateView(const LocalVoter& voter, const StateFollower& follower) : voter_(voter), follower_(follower) {}

    const rollout::State& state() const;
    const kv_store::State& kv_store() const;
    // It has all that was committed before some moment since this process started: this member leads and has
    // applied what was in its log when it was elected, or was told by one that knows.
    bool is_known() const;
    std::string leader() const;  // a member's name; empty: none is known
    // How long ago what is known here was surely all that had been committed; none: never since the start.
    std::optional<base::Micros> confirmed_age() const;
    // What a proxy runs: by its member record, or as it reported when it returned its last upgrade lease, if
    // that is from a later start.
    rollout::RunningVersion running_version_of(const cluster::MemberRecord& record) const;

  private:
    const LocalVoter& voter_;
    const StateFollower& follower_;
};

}  // namespace sumackeel::consensus
