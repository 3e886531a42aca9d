#include "daemon/metrics.h"

#include <array>
#include <string>

#include "base/log.h"

namespace sumackeel::daemon {

namespace {

using Counters = std::vector<admin::Counter>;

void add_connections(Counters& counters, const std::string& prefix, const net::ConnectionManager& manager) {
    for (std::size_t i = 0; i < net::kConnectionStateCount; ++i) {
        const auto state = static_cast<net::ConnectionState>(i);
        counters.push_back({prefix + "connections_" + net::name_of(state), manager.count(state)});
    }
    for (std::size_t i = 0; i < net::kCloseReasonCount; ++i) {
        const auto reason = static_cast<net::CloseReason>(i);
        counters.push_back({prefix + "ended_" + net::name_of(reason), manager.closed_count(reason)});
    }
    const auto& discarded = manager.discard_metrics();
    counters.push_back({prefix + "discarded_at_half_close", discarded.at_half_close});
    counters.push_back({prefix + "discarded_after_half_close", discarded.after_half_close});
    counters.push_back({prefix + "dropped_at_half_close", discarded.dropped_at_half_close});
    counters.push_back({prefix + "interrupted_closes", manager.interrupted_closes()});
}

void add_responses(Counters& counters, const core::Metrics& metrics) {
    constexpr std::array<const char*, 5> kNames{"served", "same", "refused", "failed", "out_of_time"};
    for (std::size_t i = 0; i < kNames.size(); ++i)
        counters.push_back({std::string("answers_") + kNames[i], metrics.responses[i]});
    counters.push_back({"attempts", metrics.attempts});
    counters.push_back({"attempts_purges_unconfirmed", metrics.attempts_purges_unconfirmed});
    constexpr std::array<const char*, routing::kAttemptStatusCount> kEnds{
        "served", "error",     "overloaded", "timed_out", "connect_failed",
        "reset",  "cancelled", "not_sent",   "not_found", "withheld"};
    for (std::size_t i = 0; i < kEnds.size(); ++i)
        counters.push_back({std::string("attempts_ended_") + kEnds[i], metrics.attempts_ended[i]});
    counters.push_back({"attempts_retried", metrics.attempts - metrics.dispatched});
}

void add_rejections(Counters& counters, const platform_server::PlatformServer& server) {
    using Shortage = platform_server::PlatformServer::Shortage;
    counters.push_back({"rejected_memory", server.rejected_count(Shortage::memory)});
    counters.push_back({"rejected_open_requests", server.rejected_count(Shortage::open_requests)});
    counters.push_back({"rejected_unsent_responses", server.rejected_count(Shortage::unsent_responses)});
    counters.push_back({"rejected_time", server.rejected_count(Shortage::time)});
}

void add_loop(Counters& counters, const net::Loop& loop) {
    const net::LoopMetrics& metrics = loop.metrics();
    const auto microseconds = [](net::Micros duration) { return static_cast<std::uint64_t>(duration); };
    counters.push_back({"loop_iterations", metrics.iterations});
    counters.push_back({"loop_catch_up_iterations", metrics.catch_up_iterations});
    counters.push_back({"loop_deferred_reads", loop.deferred_reads()});
    counters.push_back({"loop_longest_input_us", microseconds(metrics.longest_input)});
    counters.push_back({"loop_longest_processing_us", microseconds(metrics.longest_processing)});
    counters.push_back({"loop_longest_timer_delay_us", microseconds(metrics.longest_timer_delay)});
}

void add_memory(Counters& counters, const base::MemoryAccount& memory, const MemoryMonitor& monitor) {
    counters.push_back({"memory_limit_bytes", memory.limit()});
    counters.push_back({"memory_used_bytes", memory.used()});
    counters.push_back({"memory_peak_bytes", memory.peak()});
    counters.push_back({"memory_resident_bytes", monitor.resident()});
    counters.push_back({"memory_trims", monitor.trims()});
    for (std::size_t i = 0; i < base::kMemoryHolderCount; ++i) {
        const auto holder = static_cast<base::MemoryHolder>(i);
        counters.push_back({std::string("memory_") + base::name_of(holder) + "_bytes", memory.used(holder)});
    }
}

}  // namespace

std::vector<admin::Counter> counters_of(const net::Loop& loop, const core::Core& core,
                                        const platform_server::PlatformServer& server,
                                        const signed_url_server::SignedUrlServer* signed_server,
                                        const MemoryMonitor& memory_monitor) {
    Counters counters;
    add_responses(counters, core.metrics());
    counters.push_back({"log_lines_dropped", log::dropped_lines()});
    add_rejections(counters, server);
    const auto& drain = server.drain_metrics();
    counters.push_back({"drain_refused", drain.rejected});
    counters.push_back({"drain_held", drain.held});
    counters.push_back({"drain_hurried", drain.hurried});
    add_connections(counters, "", server.connection_manager());
    add_loop(counters, loop);
    add_memory(counters, loop.memory(), memory_monitor);
    if (signed_server) add_connections(counters, "signed_", signed_server->connection_manager());
    return counters;
}

}  // namespace sumackeel::daemon
