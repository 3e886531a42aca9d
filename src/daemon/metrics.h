// The counters that GET /ops/stats shows: connections by state, why they ended, what requests came to.
#pragma once

#include <vector>

#include "admin/api.h"
#include "core/core.h"
#include "platform_server/platform_server.h"
#include "signed_url_server/signed_url_server.h"

namespace sumackeel::daemon {

// `signed_front` may be null.
std::vector<admin::Counter> counters_of(const core::Core& core, const platform_server::PlatformServer& front,
                                        const signed_url_server::SignedUrlServer* signed_front);

}  // namespace sumackeel::daemon
