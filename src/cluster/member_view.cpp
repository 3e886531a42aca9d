#include "cluster/member_view.h"

namespace sumackeel::cluster {

const char* name_of(MemberState state) {
    switch (state) {
        case MemberState::joining:
            return "joining";
        case MemberState::alive:
            return "alive";
        case MemberState::suspect:
            return "suspect";
        case MemberState::dead:
            return "dead";
        case MemberState::left:
            return "left";
    }
    return "?";
}

const char* name_of(PartitionSide side) {
    switch (side) {
        case PartitionSide::alone:
            return "alone";
        case PartitionSide::minority:
            return "minority";
        case PartitionSide::majority:
            return "majority";
    }
    return "?";
}

}  // namespace sumackeel::cluster
