// Suspicions and what follows from them: which ones count, when a member is dead, which state is shown.
// Internal to src/cluster.
//
// A suspicion counts when it comes from its suspector, or when as many members as a death takes have passed
// it on: otherwise one faulty member could speak for all.
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

    // A suspicion of another member, as `source` sent it.
    void on_suspicion(const Suspicion& suspicion, const std::string& source);
    // This member's own suspicion. It is repeated while it holds, but not with each failed ping.
    void suspect(Member& subject);
    void withdraw_own_suspicion(Member& subject);
    bool is_suspected_by_self(const Member& member) const;

    // Which suspicions count: of any record of the member, or of its newest alone.
    enum class Scope { any_record, newest_record };
    std::vector<std::string> suspectors_of(const Member& member, Scope scope) const;

    // Declares the member dead where enough members have suspected it for long enough; shows its state.
    void evaluate(Member& member);
    void update_state(Member& member);
    // Lets old suspicions lapse and evaluates all suspected members.
    void evaluate_all();
    // After a pause of this process: no suspicion has lasted longer than since now.
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
