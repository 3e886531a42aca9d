// The two clocks of a process as two types that don't mix: Micros of a monotonic clock, for all deadlines,
// waits, windows and ages, and UnixTime of the system's wall clock, for what wires and files state.
//
// The wall clock may be stepped either way at any moment; the monotonic clock does not follow it.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "base/time.h"

namespace sumackeel::base {

class Clock {
  public:
    // Both clocks of the machine, read at one moment.
    struct Reading {
        UnixTime wall;
        Micros steady = 0;
    };

    Clock() = default;
    // For tests: `read` in place of the machine's clocks.
    explicit Clock(Reading (*read)()) : read_(read) {}

    // The monotonic clock. It is counted from what the wall clock showed at the first call, so that its
    // readings are Unix times for as long as the wall clock is not stepped.
    Micros now() {
        const Reading reading = read_();
        if (!origin_) origin_ = reading.wall.micros - reading.steady;
        const Micros now = *origin_ + reading.steady;
        if (due_ && now > *due_ + kMinStall) stalled_ += now - *due_;
        if (due_) due_ = std::max(now, *due_);
        return now;
    }

    // The wall clock as it stands.
    UnixTime unix_now() const { return read_().wall; }

    // Turns a wall time of another machine into a moment of now(). Where the wall clock was stepped since the
    // first call it is not known which of its two times was right: the later moment counts, as what it dates
    // (a purge, a start) then binds for longer. Never later than now.
    Micros from_unix(UnixTime at) {
        const Micros present = now(), step = unix_now().micros - present;
        const bool stepped = step > kMinStep || step < -kMinStep;
        const Micros moment = stepped ? std::max(at.micros, at.micros - step) : at.micros;
        return std::min(moment, present);
    }

    // The process is to run again at `at`; nothing: it waits for events alone. A reading that comes much
    // later shows that it was stopped, or that one iteration of its loop took too long.
    void expect_wakeup(std::optional<Micros> at) { due_ = at; }
    // How long the process was stalled in all since its start.
    Micros total_stall_time() const { return stalled_; }

    // For test builds: an offset added to the wall clock from now on, in the whole process.
    static void set_wall_offset(Micros offset) { wall_offset_ = offset; }

  private:
    static constexpr Micros kMinStep = 1'000'000;  // us; a difference below this is the wall clock's slew
    static constexpr Micros kMinStall = 100'000;   // us; a busy machine runs a process late by less

    static Reading system() {
        using std::chrono::duration_cast, std::chrono::microseconds;
        return {{duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count() +
                 wall_offset_},
                duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count()};
    }

    static inline Micros wall_offset_ = 0;
    Reading (*read_)() = system;
    std::optional<Micros> origin_;  // what now() adds to the monotonic clock
    std::optional<Micros> due_;
    Micros stalled_ = 0;
};

}  // namespace sumackeel::base
