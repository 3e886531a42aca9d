// The system's Unix clock in microseconds, held so that it never runs backwards.
#pragma once

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/time.h"

namespace sumackeel::base {

class Clock {
  public:
    // Two clocks read at one moment: the system's Unix time, and one that only ever runs on.
    struct Reading {
        Micros wall = 0, steady = 0;
    };

    Clock() = default;
    // For tests: `read` in place of the machine's clocks.
    explicit Clock(Reading (*read)()) : read_(read) {}

    // Danger: were a clock set back simply waited for, all deadlines would stand still until it has caught
    // up. So past a step back time runs on by the steady clock; a step ahead is followed.
    Micros now() {
        const Reading reading = read_();
        const Micros run_on = last_ + std::max<Micros>(0, reading.steady - steady_);
        const bool stepped_back = last_ > 0 && reading.wall < run_on - kSlew;
        last_ = stepped_back ? run_on : std::max(last_, reading.wall);
        steady_ = reading.steady;
        return last_;
    }

    // For test builds: the system's Unix clock is read as so far off from now on, in all of the process.
    static void set_off(Micros by) { off_ = by; }

    // The system's clock as it stands, which may step either way: for what other processes will read.
    Micros wall() const { return read_().wall; }

  private:
    // Slower than real time by less than this since the last look is slewing, not a step.
    static constexpr Micros kSlew = 100'000;

    static Reading system() {
        using std::chrono::duration_cast, std::chrono::microseconds;
        return {
            duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count() + off_,
            duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count()};
    }

    static inline Micros off_ = 0;
    Reading (*read_)() = system;
    Micros last_ = 0, steady_ = 0;
};

}  // namespace sumackeel::base
