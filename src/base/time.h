// The units of time everywhere in this program.
#pragma once

#include <compare>
#include <cstdint>

namespace sumackeel::base {

// A moment or a span in microseconds. Moments are of Clock::now() unless a header says otherwise.
using Micros = std::int64_t;

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

// A moment of some machine's wall clock, in microseconds since 1970.
struct UnixTime {
    Micros micros = 0;
    auto operator<=>(const UnixTime&) const = default;
};
inline Micros operator-(UnixTime late, UnixTime early) {
    return late.micros - early.micros;
}
inline UnixTime operator-(UnixTime at, Micros span) {
    return {at.micros - span};
}
inline UnixTime operator+(UnixTime at, Micros span) {
    return {at.micros + span};
}

}  // namespace sumackeel::base
