// Runs the recovery of this proxy: polls other members and replies to their polls, persists the state that is
// trusted after a restart, and admits requests according to the phases and the fill budget of src/recovery.
// Enabled by [recovery] in the operator's file.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "net/latest_value_writer.h"
#include "net/loop.h"
#include "recovery/fill_budget.h"
#include "recovery/persisted_state.h"
#include "recovery/recovery_phases.h"
#include "recovery_coordinator/member_poller.h"
#include "recovery_coordinator/recovery_messages.h"
#include "recovery_coordinator/state_directory.h"

namespace sumackeel::recovery_coordinator {

class RecoveryCoordinator {
  public:
    using RecentPurge = recovery_coordinator::RecentPurge;
    struct Hooks {
        std::function<std::vector<RecentPurge>()> purges;            // sent in replies
        std::function<void(const std::vector<RecentPurge>&)> learn;  // received in replies
        std::function<std::set<std::string>()> leased;      // pop caches with a drain lease, sent in replies
        std::function<void()> leases_learned;               // learned_leases() has new entries
        std::function<bool()> sure;                         // the endpoint list was confirmed recently
        std::function<std::size_t()> proxies;               // the number of proxies in the cluster
        std::function<void(recovery::Phase from)> entered;  // called after a phase change
    };

    // Reads the state directory; a directory that does not respond counts as empty. `wait_for_leader`: there
    // is a replicated log. `purge_completes_within`: the time after which no cache holds a copy from before a
    // purge. `transport` must outlive this object.
    RecoveryCoordinator(net::Loop& loop, ClusterTransport& transport, const config::Recovery& setup,
                        bool wait_for_leader, std::vector<double> priority_weights,
                        base::Micros purge_completes_within, std::uint64_t seed, Hooks hooks);
    ~RecoveryCoordinator();
    RecoveryCoordinator(const RecoveryCoordinator&) = delete;
    RecoveryCoordinator& operator=(const RecoveryCoordinator&) = delete;

    const recovery::PersistedState& persisted() const { return persisted_; }
    // Writes in the background; a failed write is logged and retried until it succeeds.
    void persist(const std::set<std::string>& bans, const std::set<std::string>& leased, bool draining);
    // Pop caches with a drain lease according to other members' replies, used until the replicated log is
    // available here. They are not passed on in this proxy's own replies.
    const std::set<std::string>& learned_leases() const { return learned_leases_; }
    void forget_learned_leases() { learned_leases_.clear(); }
    net::LatestValueWriter& writer() { return writer_; }
    bool disk_busy() const { return writer_.writing(); }
    const recovery::RecoveryPhases& phases() const { return phases_; }
    void on_endpoints_confirmed();
    void on_leader_known(bool known);
    // Operator command.
    void advance_to(recovery::Phase phase, const std::string& by);

    // Returns nullopt if the request is admitted, otherwise the time after which the client may retry.
    std::optional<base::Micros> admit(const recovery::RequestCost& cost);
    void on_request_finished(std::uint64_t key, recovery::FillSource source) {
        budget_.on_request_finished(key, source);
    }
    // The maximum age of a copy that may be served; 0: unlimited.
    base::Micros max_copy_age() const;
    std::string as_json() const;

  private:
    void load();
    void write();
    void tick();
    void persist_members(base::Micros now);
    void on_reply(const std::string& from, const RecoveryReply& reply);
    void learn_leases(const std::set<std::string>& leased);
    RecoveryReply reply() const;
    void on_phase_change(recovery::Phase before);
    double budget_proxies(base::Micros primed_for) const;
    bool is_priming() const { return phases_.phase() == recovery::Phase::priming; }

    net::Loop& loop_;
    ClusterTransport& transport_;
    const config::Recovery setup_;
    const base::Micros purge_completes_within_;
    Hooks hooks_;
    std::shared_ptr<StateDirectory> directory_;  // shared with the writer thread
    net::LatestValueWriter writer_;
    recovery::PersistedState persisted_;
    std::set<std::string> learned_leases_;
    recovery::RecoveryPhases phases_;
    recovery::FillBudget budget_;
    MemberPoller poller_;
    base::Micros unconfirmed_since_ = 0;  // purges may have been missed since then
    base::Micros members_persisted_at_ = 0;
    std::vector<std::string> rejected_files_;
    std::vector<std::string> operator_commands_;  // oldest first
    std::optional<base::TimerQueue::Key> tick_timer_;
};

}  // namespace sumackeel::recovery_coordinator
