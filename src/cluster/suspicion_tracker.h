// Suspicions and their effects: which ones are accepted, when a member is declared dead, which state it has.
// Internal to src/cluster.
//
// A suspicion is accepted from its suspector, or once as many members have forwarded it as declaring a death
// takes suspectors: otherwise one faulty member could forge suspicions of all others.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "cluster/gossip_queue.h"
#include "cluster/local_state.h"

namespace sumackeel::cluster {

class SuspicionTracker {
  public:
    SuspicionTracker(LocalState& local, MemberTable& members, GossipQueue& gossip)
        : local_(local), members_(members), gossip_(gossip) {}

    // Handles a suspicion of another member, received from `source`.
    void on_suspicion(const Suspicion& suspicion, const std::string& source);
    // Raises this member's own suspicion. While it holds it is repeated, but not with each failed ping.
    void suspect(Member& subject);
    void withdraw_own_suspicion(Member& subject);
    bool is_suspected_by_self(const Member& member) const;

    // Which suspicions are counted: of any record of the member, or only of its newest.
    enum class Scope { any_record, newest_record };
    std::vector<std::string> suspectors_of(const Member& member, Scope scope) const;

    // Declares the member dead if enough members have suspected it for long enough, and updates its state.
    void evaluate(Member& member);
    void update_state(Member& member);
    // Lets old suspicions lapse and evaluates all suspected members.
    void evaluate_all();
    // To be called after a pause of this process: all suspicions count from now on.
    void restart_countdowns();

    std::vector<MemberChange> take_changes() { return std::exchange(changes_, {}); }

  private:
    void accept(Member& subject, const Suspicion& suspicion, const std::string& source);
    SuspicionEntry* entry_for(Member& subject, const std::string& suspector);
    void record_own(Member& subject, bool active);
    void declare_dead(Member& member);
    void lapse_unconfirmed(Member& member);
    MemberState state_of(const Member& member, bool suspected) const;
    Micros suspicion_timeout(std::size_t suspectors) const;
    Micros renewal_interval() const;

    LocalState& local_;
    MemberTable& members_;
    GossipQueue& gossip_;
    std::uint64_t last_number_ = 0;  // of this member's own suspicions
    std::vector<MemberChange> changes_;
};

}  // namespace sumackeel::cluster
