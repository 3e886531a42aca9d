// The replicated state as known to this member: from its own log, or from its polled copy if that is newer.
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
    // Both must outlive this object.
    StateView(const LocalVoter& voter, const StateFollower& follower) : voter_(voter), follower_(follower) {}

    const rollout::State& state() const;
    const kv_store::State& kv_store() const;
    // True if the state includes everything that had been committed at some point since this process started:
    // either this member is the leader and has applied what was in its log when it was elected, or its state
    // was confirmed as of such a point. False again after a voter has been without a leader for a while,
    // until the next confirmation.
    bool is_known() const;
    std::string leader() const;  // a member's name; empty if none is known
    // The latest time, by the clock of the loop, before which everything committed is known to be included in
    // the state; no value if it has not been confirmed since the start. See StateConfirmer.
    std::optional<base::Micros> confirmed_at() const { return follower_.confirmed_at(); }
    // The time from then until `now`, which has to be a reading of the clock made after whatever it answers.
    std::optional<base::Micros> confirmed_age(base::Micros now) const;
    // The number of the history that the state is from.
    std::uint64_t history() const;
    // The version a proxy is running: from its member record, or as reported when it returned its last
    // upgrade lease if that was after a later start.
    rollout::RunningVersion running_version_of(const cluster::MemberRecord& record) const;

  private:
    const LocalVoter& voter_;
    const StateFollower& follower_;
};

}  // namespace sumackeel::consensus
