// The unit of time everywhere in this program.
#pragma once

#include <cstdint>

namespace sumackeel::base {

// A moment or a span in microseconds. Moments are Unix time unless a header says otherwise.
using Micros = std::int64_t;

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

}  // namespace sumackeel::base
