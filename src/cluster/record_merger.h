// Takes records of other members into the table. Internal to src/cluster.
//
// A record of a later start, and one that says that its member has left, could silence that member for good.
// From others than the member itself they count only once as many have sent them as a death takes.
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
    // Whether enough members have sent a record that takes several.
    bool confirm(Member& member, const MemberRecord& record, const std::string& source) const;

    LocalState& local_;
    MemberTable& members_;
    SuspicionTracker& suspicions_;
    GossipQueue& gossip_;
};

}  // namespace sumackeel::cluster
