// The replicated state of rollouts, which the replicated log drives: leases that are out, and releases.
//
// Pure: all that a command is judged by is in the command, so that each replica that applies the same
// commands has the same state.
//
// Invariants: a member has one lease at a time, and a repeated request gives the same one; lease numbers only
// grow; no grant that was not forced leaves more members out than its budget allows; a member that is out by
// itself uses up budget, and forces nobody. A lease ends only by its return: the lease of a dead holder is
// out.
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
    // A lease request. granted (also to a member that holds its lease already), rejected, or none: an upgrade
    // lease that is not needed.
    CommandResult apply(const LeaseRequest& request);
    // returned, or none: the member has no lease.
    CommandResult apply(const LeaseReturn& lease_return);
    // An operator's command; granted with the release's number, or rejected.
    CommandResult apply(const ReleaseCommand& command);
    // A step of the leader; granted with the release's number, or none: another step came first.
    CommandResult apply(const ReleaseStep& step);
    // What a request would lead to now; changes nothing.
    CommandResult evaluate(const LeaseRequest& request) const;

    const LeaseMap& leases() const { return leases_; }
    // Null: the member has no lease. Valid until the next change.
    const Lease* find(MemberKind kind, const std::string& member) const;
    std::uint64_t last_number() const { return last_number_; }
    // Grows by one with each change.
    std::uint64_t revision() const { return revision_; }
    // The newest forced leases, also those returned since; at most kMaxForcedRecords.
    const std::vector<Lease>& forced() const { return forced_; }
    const Releases& releases() const { return releases_; }
    bool operator==(const State&) const = default;

    // MessagePack, with a version. decode throws CodecError.
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
