// The receive window that a TCP connection's other side has announced.
#pragma once

#include <cstddef>

namespace sumackeel::net {

// Bytes, counted from the oldest unacknowledged one; 0 where the system can't tell.
std::size_t peer_receive_window(int fd);

}  // namespace sumackeel::net
