// A filter on the segments that a TCP socket receives. Dropped segments are not acknowledged, and their
// sender retransmits them (Linux: SO_ATTACH_FILTER, which needs no privilege).
#pragma once

#include <cstdint>
#include <optional>

namespace sumackeel::net {

// Drops segments with data from now on. Acknowledgements, FINs and resets without data still arrive. No
// effect where the system refuses.
void drop_arriving_data(int fd);
// Ends drop_arriving_data().
void accept_arriving_data(int fd);

// Segments that the system has dropped on this socket since it was opened, for whatever reason; wraps around.
// Segments that the filter above dropped are among them (SO_MEMINFO). Empty where the system can't tell.
std::optional<std::uint32_t> dropped_segments(int fd);

}  // namespace sumackeel::net
