// The program's version, as `sumackeel version` prints it and as members of a group tell it each other.
#pragma once

namespace sumackeel::base {

inline constexpr const char* kVersion = "0.3.0";

}  // namespace sumackeel::base
