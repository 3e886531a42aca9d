// The replicated state of rollouts, a state machine of the replicated log: granted leases, and releases.
//
// Pure: each command contains all inputs of its evaluation, so that all replicas that apply the same commands
// have the same state.
//
// Invariants: a member has at most one lease, and a repeated request returns the same lease; lease numbers
// only increase; a grant that is not forced never exceeds its disruption budget; a member that is unavailable
// for another reason counts against the budget, and never overrides it. A lease ends only by its return: the
// lease of a dead holder stays granted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "rollout/lease.h"
#include "rollout/release.h"

namespace sumackeel::rollout {

class State {
  public:
    // Result: granted (also if already held), rejected, or none: the upgrade lease is not needed.
    CommandResult apply(const LeaseRequest& request);
    // Result: returned, or none: the member has no lease.
    CommandResult apply(const LeaseReturn& lease_return);
    // An operator's command. Result: granted with the release number, or rejected.
    CommandResult apply(const ReleaseCommand& command);
    // A step of the leader. Result: granted with the release number, or none: another step was applied first.
    CommandResult apply(const ReleaseStep& step);
    // Returns the result that a request would have now, without changing the state.
    CommandResult evaluate(const LeaseRequest& request) const;

    const LeaseMap& leases() const { return leases_; }
    // Null if the member has no lease. Valid until the next change.
    const Lease* find(MemberKind kind, const std::string& member) const;
    std::uint64_t last_number() const { return last_number_; }
    // Increases by one with each change.
    std::uint64_t revision() const { return revision_; }
    // The newest forced leases, including returned ones; at most kMaxForcedRecords.
    const std::vector<Lease>& forced() const { return forced_; }
    const Releases& releases() const { return releases_; }
    bool operator==(const State&) const = default;

    // MessagePack, with a format version. decode() throws CodecError.
    std::string encode() const;
    static State decode(std::string_view bytes);

  private:
    struct ZoneKey {
        MemberKind kind = MemberKind::proxy;
        std::string zone;
        bool operator==(const ZoneKey&) const = default;
        bool operator<(const ZoneKey& other) const {
            return std::tie(kind, zone) < std::tie(other.kind, other.zone);
        }
    };

    std::optional<CommandResult> upgrade_not_needed(const LeaseRequest& request) const;

    LeaseMap leases_;
    std::map<ZoneKey, Micros> last_return_by_zone_;
    std::vector<Lease> forced_;
    std::uint64_t last_number_ = 0;
    std::uint64_t revision_ = 0;
    Releases releases_;
};

}  // namespace sumackeel::rollout
