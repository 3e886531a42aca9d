// Cluster membership of the edge proxies, as one of them sees it: SWIM's failure detector and suspicions with
// Lifeguard's local health; declaring a death takes suspicions of several members (docs/design/group.md).
//
// Performs no I/O: times are microseconds of any monotonic clock, random numbers come from the seed, and the
// caller takes the outgoing messages. The same calls give the same messages.
//
// Guarantees: no member is declared dead before `required_suspectors` different members have suspected it for
// a whole suspicion timeout; a member's own newer record refutes any number of suspicions; a dead member is
// not revived by an old record; after a pause of its own process a member pings again before it declares a
// death.
// Bounds: kMaxMembers members, kMaxSuspectors suspicions of each.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_size.h"
#include "cluster/failure_detector.h"
#include "cluster/gossip_queue.h"
#include "cluster/local_state.h"
#include "cluster/member_table.h"
#include "cluster/member_view.h"
#include "cluster/membership_metrics.h"
#include "cluster/messages.h"
#include "cluster/options.h"
#include "cluster/outbox.h"
#include "cluster/record_merger.h"
#include "cluster/self_record.h"
#include "cluster/state_exchange.h"
#include "cluster/suspicion_tracker.h"

namespace sumackeel::cluster {

class Membership {
  public:
    Membership(const Options& options, const MemberRecord& self, std::uint64_t seed, Micros now);
    ~Membership() = default;
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    // Runs what is due. To be called at due(); a late call counts as a pause of this process.
    void tick(Micros now);
    Micros due() const { return due_; }
    // Handles an authenticated, not replayed datagram to this member.
    void receive(Micros now, const Datagram& datagram);

    // State exchanges. Members with the same state have the same digest.
    std::uint64_t digest() const { return exchange_.digest(); }
    FullState full_state() const { return exchange_.full_state(); }
    void merge(Micros now, const FullState& state);
    // The peer to exchange states with now: set when an exchange is due, and returned once.
    std::optional<std::string> take_exchange() { return exchange_.take_peer(); }
    // To be called after the first exchange, or when there is no peer for one.
    void mark_joined(Micros now);

    // Notifies a few reachable members that this one leaves; it sends nothing from then on.
    void leave(Micros now);

    std::vector<OutgoingDatagram> take_outgoing() { return outbox_.take(); }
    std::vector<MemberChange> take_changes() { return suspicions_.take_changes(); }

    const MemberRecord& self() const { return local_.self; }
    // Another process uses this name with a later start; this one has stopped sending.
    bool is_displaced() const { return self_record_.is_displaced(); }
    // The start number that is to be stored on disk and then passed to set_start(); 0: none.
    std::uint64_t requested_start() const { return self_record_.requested_start(); }
    void set_start(Micros now, std::uint64_t start);
    // Sets the program version in a newer record of this member.
    void set_software_version(Micros now, const std::string& version);

    // Lifeguard's local health score, from 0, healthy, to kWorstHealth.
    int local_health() const { return local_.health; }
    std::vector<MemberView> members() const;  // all but this one
    std::optional<MemberState> state_of(const std::string& name) const;
    std::string address_of(const std::string& name) const;  // empty: not known
    // Members that have neither left nor been forgotten, including this one.
    std::size_t member_count() const { return members_.count(); }
    // Those of them that this one neither suspects nor has declared dead, including this one.
    std::size_t reachable_count() const;
    PartitionSide side() const;
    const ClusterSize& cluster_size() const { return cluster_size_; }
    // The configured size by zone, used until the first update.
    void seed_cluster_size(const std::map<std::string, int>& by_zone) { cluster_size_.seed(by_zone); }
    const MembershipMetrics& metrics() const { return local_.metrics; }

  private:
    bool is_silent() const { return is_displaced() || local_.self.phase == Phase::left; }
    void update_clock(Micros now);
    void on_pause();
    void on_record(const MemberRecord& record, const std::string& source);
    void on_suspicion(const Suspicion& suspicion, const std::string& source);
    void on_message(Member& sender, const Datagram& datagram);
    void update_cluster_size();

    LocalState local_;
    MemberTable members_;
    GossipQueue gossip_;
    Outbox outbox_;
    SuspicionTracker suspicions_;
    SelfRecord self_record_;
    RecordMerger merger_;
    FailureDetector detector_;
    StateExchange exchange_;
    ClusterSize cluster_size_;
    Micros due_ = 0;
};

}  // namespace sumackeel::cluster
