// Leases as the daemon uses them: its own drain lease, those that operators request for it or for caches, and
// the upgrade lease of a release. Off unless the operator's settings have [consensus].
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "admin/api.h"
#include "daemon/admin_state_applier.h"
#include "daemon/components.h"

namespace sumackeel::daemon {

class LeaseController {
  public:
    // Both must outlive this.
    LeaseController(Components& components, AdminStateApplier& applier)
        : components_(components), applier_(applier) {}

    // Creates the consensus client and the release coordinator.
    // `max_confirmed_age`: see ConsensusClient::Options.
    void start(const config::Consensus& settings, base::Micros max_confirmed_age);

    // The administrative state was taken over from another process: its drain is this process's own request.
    void adopt_drain_request();
    // Follows the lease of this proxy: an upgrade lease drains it, a finished one ends the drain, and a lease
    // that is no longer needed is returned.
    void follow_own_lease();

    // Whether a call is one for leases; then its reply comes by `respond_later`. Requests and returns leases.
    bool handle_lease_call(const admin::ApiCall& call, const admin_server::DeferredReply& respond_later);
    // Calls under /ops/release. No value: the reply comes by `respond_later`.
    std::optional<admin::ApiReply> handle_release_call(const admin::ApiCall& call,
                                                       const admin_server::DeferredReply& respond_later);

  private:
    // What a lease is requested or returned for.
    struct Target {
        rollout::MemberKind kind;
        std::string member;
    };
    // A lease call of the admin API: its target, the caller, and whether rules are bypassed.
    struct LeaseCall {
        Target target;
        std::string requested_by;
        bool forced = false;
        base::Micros called_at = 0;
    };

    void request_lease(const LeaseCall& call, const admin_server::DeferredReply& respond_later);
    void return_lease(const LeaseCall& call, const admin_server::DeferredReply& respond_later);
    admin::ApiReply on_lease_result(const std::optional<rollout::CommandResult>& result,
                                    const Target& target);
    void on_pop_cache_granted(const std::string& id, std::uint64_t number);
    void reply_when_durable(admin::ApiReply reply, const admin_server::DeferredReply& respond_later,
                            base::Micros called_at);
    void on_upgrade_lease_granted();
    void return_own_lease();
    rollout::MemberMetrics member_metrics() const;

    Components& components_;
    AdminStateApplier& applier_;
    bool drain_wanted_ = false;        // a drain of this proxy was requested, and is granted or may yet be
    bool return_in_progress_ = false;  // of this proxy's own lease
    // The number of the upgrade lease whose drain was stopped by an operator, or by the process that replaces
    // this one; it no longer drains this proxy.
    std::uint64_t stopped_lease_ = 0;
};

}  // namespace sumackeel::daemon
