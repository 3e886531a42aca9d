// A filter on the segments that a TCP socket receives. What it drops is not acknowledged, and its sender
// sends it again (Linux: SO_ATTACH_FILTER, which needs no privilege).
#pragma once

#include <cstdint>
#include <optional>

namespace sumackeel::net {

// From now on segments with data are dropped. Acknowledgements, ends and resets without data still arrive. No
// effect where the system refuses.
void drop_arriving_data(int fd);
// Ends that.
void accept_arriving_data(int fd);

// Segments that the system has dropped on this socket since it was opened, for whatever reason; wraps around.
// Segments that the filter above dropped are among them (SO_MEMINFO). Empty where the system can't tell.
std::optional<std::uint32_t> dropped_segments(int fd);

}  // namespace sumackeel::net
