// The counters of GET /ops/stats: connections by state, their close reasons, the outcomes of requests,
// and how the event loop spends its time.
#pragma once

#include <vector>

#include "admin/api.h"
#include "core/core.h"
#include "daemon/memory_monitor.h"
#include "platform_server/platform_server.h"
#include "signed_url_server/signed_url_server.h"

namespace sumackeel::daemon {

// `signed_server` may be null.
std::vector<admin::Counter> counters_of(const net::Loop& loop, const core::Core& core,
                                        const platform_server::PlatformServer& server,
                                        const signed_url_server::SignedUrlServer* signed_server,
                                        const MemoryMonitor& memory_monitor);

}  // namespace sumackeel::daemon
