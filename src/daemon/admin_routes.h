// Routes each call of the admin API to the part of the daemon that answers it.
#pragma once

#include <optional>

#include "admin/api.h"
#include "admin_server/admin_server.h"
#include "daemon/admin_state_applier.h"
#include "daemon/components.h"
#include "daemon/lease_controller.h"

namespace sumackeel::daemon {

class AdminRoutes {
  public:
    // All must outlive this.
    AdminRoutes(Components& components, AdminStateApplier& applier, LeaseController& leases)
        : components_(components), applier_(applier), leases_(leases) {}

    // The reply to a call. No value: it comes by `respond_later`, which is called exactly once.
    std::optional<admin::ApiReply> handle_call(const admin::ApiCall& call,
                                               const admin_server::DeferredReply& respond_later);

  private:
    std::optional<admin::ApiReply> handle_lease_query(const admin::ApiCall& call) const;
    bool is_recovery_call(const admin::ApiCall& call) const;
    std::optional<admin::ApiReply> handle_recovery_call(const admin::ApiCall& call,
                                                        const admin_server::DeferredReply& respond_later);
    std::optional<admin::ApiReply> handle_cluster_call(const admin::ApiCall& call);
    std::optional<admin::ApiReply> handle_state_call(const admin::ApiCall& call,
                                                     const admin_server::DeferredReply& respond_later);
    admin::Stats stats() const;

    Components& components_;
    AdminStateApplier& applier_;
    LeaseController& leases_;
};

}  // namespace sumackeel::daemon
