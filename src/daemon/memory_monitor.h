// Keeps the process within its memory limit: what the loop's memory account may hold follows from the limit
// less what the process needs besides, and unused memory goes back to the system.
#pragma once

#include <cstddef>
#include <memory>

#include "net/loop.h"

namespace sumackeel::daemon {

class MemoryMonitor {
  public:
    // Whether another process may run beside this one for a while, before and after it. The limit then holds
    // for both together.
    enum class Replacement { never, possible };

    // `memory_mb`: the limit, in MiB. Measures what the process needs by itself, so it is made once all
    // components are there.
    MemoryMonitor(net::Loop& loop, int memory_mb, Replacement replacement);
    void set_memory_limit(int memory_mb);
    // The process that replaces this one is there.
    void on_shutdown();
    // Bytes in memory at the last check; 0: unknown.
    std::size_t resident() const { return resident_; }
    std::uint64_t trims() const { return trims_; }

  private:
    void check();
    void release_unused();
    void update_limit();
    void log_pressure();
    // Bytes that this process may have at this time.
    std::size_t total_limit() const;
    // Resident bytes that neither the process itself nor the account explains.
    std::size_t unaccounted() const;

    net::Loop& loop_;
    int memory_mb_;
    const Replacement replacement_;
    const base::Micros started_at_;
    bool shutting_down_ = false;
    std::size_t base_ = 0;  // bytes resident at the start
    std::size_t resident_ = 0;
    base::Micros next_check_at_ = 0;
    base::Micros next_trim_at_ = 0;
    base::Micros trim_interval_;
    std::uint64_t trims_ = 0;
    bool under_pressure_ = false;
    std::size_t most_used_ = 0;                                   // since the pressure began
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // checked by callbacks
};

}  // namespace sumackeel::daemon
