// Runs the recovery of this proxy: polls other members and answers them, persists what is trusted after a
// restart, and admits requests as the phases and the budget of src/recovery say. Off unless the operator's
// file has [recovery].
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
        std::function<std::vector<RecentPurge>()> purges;            // for the replies to others
        std::function<void(const std::vector<RecentPurge>&)> learn;  // from the replies of others
        std::function<std::set<std::string>()> leased;  // pop caches out by lease, for the replies to others
        std::function<void()> leases_learned;           // learned_leases() has grown
        std::function<bool()> sure;                     // the endpoint list was confirmed just now
        std::function<std::size_t()> proxies;           // as many as the cluster counts
        std::function<void(recovery::Phase from)> entered;  // another phase
    };

    // Reads the folder; one that does not answer counts as empty. `elects`: there is a replicated log.
    // `purge_completes_within`: after this no cache has an older copy. `transport` outlives this.
    RecoveryCoordinator(net::Loop& loop, ClusterTransport& transport, const config::Recovery& setup,
                        bool elects, std::vector<double> priority_weights,
                        base::Micros purge_completes_within, std::uint64_t seed, Hooks hooks);
    ~RecoveryCoordinator();
    RecoveryCoordinator(const RecoveryCoordinator&) = delete;
    RecoveryCoordinator& operator=(const RecoveryCoordinator&) = delete;

    const recovery::PersistedState& persisted() const { return persisted_; }
    // Written in the background; a write that fails is logged and retried until it succeeds.
    void persist(const std::set<std::string>& bans, const std::set<std::string>& leased, bool draining);
    // Pop caches out by lease, as others replied that know of them; for as long as the replicated log is not
    // known here. Those that this one learned go to nobody else.
    const std::set<std::string>& learned_leases() const { return learned_leases_; }
    void forget_learned_leases() { learned_leases_.clear(); }
    net::LatestValueWriter& writer() { return writer_; }
    bool disk_busy() const { return writer_.writing(); }
    const recovery::RecoveryPhases& phases() const { return phases_; }
    void on_endpoints_confirmed();
    void on_leader_known(bool known);
    // By an operator's command.
    void advance_to(recovery::Phase phase, const std::string& by);

    // None: admitted. Else when the client may retry.
    std::optional<base::Micros> admit(const recovery::RequestCost& cost);
    void on_request_finished(std::uint64_t key, recovery::FillSource source) {
        budget_.on_request_finished(key, source);
    }
    // The greatest age of a copy that may be served; 0: any.
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
    std::shared_ptr<StateDirectory> directory_;  // shared with the writer's thread
    net::LatestValueWriter writer_;
    recovery::PersistedState persisted_;
    std::set<std::string> learned_leases_;
    recovery::RecoveryPhases phases_;
    recovery::FillBudget budget_;
    MemberPoller poller_;
    base::Micros unconfirmed_since_ = 0;  // purges may have been missed since
    base::Micros members_persisted_at_ = 0;
    std::vector<std::string> rejected_files_;
    std::vector<std::string> operator_commands_;  // the newest last
    std::optional<base::TimerQueue::Key> tick_timer_;
};

}  // namespace sumackeel::recovery_coordinator
