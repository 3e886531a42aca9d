// Merges records of other members into the table. Internal to src/cluster.
//
// A forged record of a later start, or of a leave, could exclude its member for good. Received from others
// than the member itself, such a record takes as many senders as declaring a death takes suspectors.
#pragma once

#include <string>

#include "cluster/suspicion_tracker.h"

namespace sumackeel::cluster {

class RecordMerger {
  public:
    RecordMerger(LocalState& local, MemberTable& members, SuspicionTracker& suspicions, GossipQueue& gossip)
        : local_(local), members_(members), suspicions_(suspicions), gossip_(gossip) {}

    enum class Result { ignored, added, updated, revived };
    Result merge(const MemberRecord& record, const std::string& source);

  private:
    Result add(const MemberRecord& record);
    Result update(Member& member, const MemberRecord& record);
    // Whether enough members have sent a record that needs several senders.
    bool confirm(Member& member, const MemberRecord& record, const std::string& source) const;

    LocalState& local_;
    MemberTable& members_;
    SuspicionTracker& suspicions_;
    GossipQueue& gossip_;
};

}  // namespace sumackeel::cluster
