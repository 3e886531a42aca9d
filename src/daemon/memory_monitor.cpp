#include "daemon/memory_monitor.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

#include "base/log.h"
#include "base/resident_memory.h"

namespace sumackeel::daemon {

using base::Micros;

namespace {

constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;
constexpr double kUsableShare = 0.8;  // of the limit; the rest is for what is not counted
// Of that, for the process that begins or ends while another one serves.
constexpr std::size_t kDivisorWhileReplacing = 3;
// From a process's start until the one that it replaces has ended: 6 s until it is ready, and 3.7 s.
constexpr Micros kReplacementTime = 10'000'000;  // us
// The account may always hold this much, however small the limit.
constexpr std::size_t kMinRoom = kBytesPerMegabyte;
// Of a process where the resident memory can't be read.
constexpr std::size_t kUsualBase = 10 * kBytesPerMegabyte;
// Pages of the program and of the heap that are in use without being counted.
constexpr std::size_t kUncountedAllowance = 2 * kBytesPerMegabyte;
constexpr Micros kCheckInterval = 10'000;       // us
constexpr Micros kIdleCheckInterval = 250'000;  // us, while little is held
constexpr Micros kMinTrimInterval = 100'000;    // us
constexpr Micros kMaxTrimInterval = 2'000'000;  // us, where it frees little
constexpr std::size_t kIdleShare = 8;           // one part in so many of the limit is little

std::string describe(const base::MemoryAccount& memory) {
    std::string text = fmt::format("limit={} used={}", memory.limit(), memory.used());
    for (std::size_t i = 0; i < base::kMemoryHolderCount; ++i) {
        const auto holder = static_cast<base::MemoryHolder>(i);
        text += fmt::format(" {}={}", base::name_of(holder), memory.used(holder));
    }
    return text;
}

}  // namespace

MemoryMonitor::MemoryMonitor(net::Loop& loop, int memory_mb, Replacement replacement)
    : loop_(loop),
      memory_mb_(memory_mb),
      replacement_(replacement),
      started_at_(loop.clock().now()),
      trim_interval_(kMinTrimInterval) {
    base::release_unused_memory();
    base_ = base::resident_memory();
    const bool known = base_ > 0;
    if (!known) base_ = kUsualBase;
    resident_ = known ? base_ : 0;
    if (total_limit() < base_ + kMinRoom)
        log::warn("memory: limit too small memory_mb={} process_bytes={}", memory_mb, base_);
    check();
    // No timer of its own: the loop wakes often enough for the connections' timeouts.
    loop_.on_each_iteration([this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired() && loop_.clock().now() >= next_check_at_) check();
    });
}

void MemoryMonitor::set_memory_limit(int memory_mb) {
    memory_mb_ = memory_mb;
    update_limit();
}

void MemoryMonitor::on_shutdown() {
    shutting_down_ = true;
    update_limit();
}

std::size_t MemoryMonitor::total_limit() const {
    const double megabytes = kUsableShare * memory_mb_;
    const auto total = static_cast<std::size_t>(megabytes * static_cast<double>(kBytesPerMegabyte));
    if (replacement_ == Replacement::never) return total;
    const std::size_t while_replacing = std::max(total / kDivisorWhileReplacing, base_ + kMinRoom);
    const bool beside_another = shutting_down_ || loop_.clock().now() < started_at_ + kReplacementTime;
    return beside_another ? while_replacing : total - std::min(total, while_replacing);
}

std::size_t MemoryMonitor::unaccounted() const {
    const std::size_t explained = base_ + loop_.memory().used() + kUncountedAllowance;
    return resident_ - std::min(resident_, explained);
}

void MemoryMonitor::check() {
    resident_ = base::resident_memory();
    if (unaccounted() > 0 && loop_.clock().now() >= next_trim_at_) release_unused();
    update_limit();
    log_pressure();
    const base::MemoryAccount& memory = loop_.memory();
    const bool idle = unaccounted() == 0 && memory.used() < memory.limit() / kIdleShare;
    next_check_at_ = loop_.clock().now() + (idle ? kIdleCheckInterval : kCheckInterval);
}

// Going through the heap takes time, so it is done less often where it frees little.
void MemoryMonitor::release_unused() {
    const std::size_t before = unaccounted();
    base::release_unused_memory();
    ++trims_;
    resident_ = base::resident_memory();
    const bool worthwhile = unaccounted() < before / 2 || resident_ > total_limit();
    trim_interval_ = worthwhile ? kMinTrimInterval : std::min(2 * trim_interval_, kMaxTrimInterval);
    next_trim_at_ = loop_.clock().now() + trim_interval_;
}

void MemoryMonitor::update_limit() {
    const std::size_t needed = base_ + unaccounted();
    const std::size_t total = total_limit();
    loop_.memory().set_limit(std::max(kMinRoom, total - std::min(total, needed)));
}

void MemoryMonitor::log_pressure() {
    const base::MemoryAccount& memory = loop_.memory();
    most_used_ = std::max(most_used_, memory.used());
    if (memory.is_short() == under_pressure_) return;
    if (!under_pressure_) most_used_ = memory.used();
    under_pressure_ = !under_pressure_;
    thread_local log::RateLimitedLogger began, ended;
    if (under_pressure_)
        began.warn("memory: pressure began resident={} {}", resident_, describe(memory));
    else
        ended.warn("memory: pressure ended resident={} most_used={} {}", resident_, most_used_,
                   describe(memory));
}

}  // namespace sumackeel::daemon
