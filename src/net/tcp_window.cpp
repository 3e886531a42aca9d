#include "net/tcp_window.h"

// The C library's <netinet/tcp.h> lacks the window, and its tcp_info can't stand beside the kernel's.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace sumackeel::net {

std::size_t peer_receive_window(int fd) {
    constexpr std::size_t kNeeded = offsetof(tcp_info, tcpi_snd_wnd) + sizeof(tcp_info::tcpi_snd_wnd);
    tcp_info info{};
    socklen_t length = sizeof info;
    const bool known = getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 && length >= kNeeded;
    return known ? info.tcpi_snd_wnd : 0;
}

}  // namespace sumackeel::net
