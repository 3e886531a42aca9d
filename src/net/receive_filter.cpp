#include "net/receive_filter.h"

#include <linux/filter.h>
#include <linux/sock_diag.h>
#include <sys/socket.h>

#include <array>

namespace sumackeel::net {

namespace {

// Of the TCP header, at which the filter's packet begins: the header's length in 32-bit words, in the upper
// four bits of this byte.
constexpr std::uint32_t kHeaderLengthOffset = 12;  // bytes
constexpr std::uint32_t kHeaderLengthMask = 0xf0;
constexpr std::uint32_t kMaskedLengthToBytes = 2;  // bits to shift by
constexpr std::uint32_t kAcceptAll = 0xffffffff;   // bytes
constexpr std::uint32_t kDrop = 0;                 // bytes

}  // namespace

void drop_arriving_data(int fd) {
    std::array<sock_filter, 8> program{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kHeaderLengthOffset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kHeaderLengthMask),
        BPF_STMT(BPF_ALU | BPF_RSH | BPF_K, kMaskedLengthToBytes),
        BPF_STMT(BPF_MISC | BPF_TAX, 0),
        BPF_STMT(BPF_LD | BPF_W | BPF_LEN, 0),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_X, 0, 0, 1),  // nothing but the header
        BPF_STMT(BPF_RET | BPF_K, kAcceptAll),
        BPF_STMT(BPF_RET | BPF_K, kDrop),
    }};
    const sock_fprog filter{.len = static_cast<unsigned short>(program.size()), .filter = program.data()};
    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter);
}

void accept_arriving_data(int fd) {
    const int unused = 0;
    setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

std::optional<std::uint32_t> dropped_segments(int fd) {
    std::array<std::uint32_t, SK_MEMINFO_VARS> counts{};
    socklen_t length = sizeof counts;
    const bool known = getsockopt(fd, SOL_SOCKET, SO_MEMINFO, counts.data(), &length) == 0 &&
                       length > SK_MEMINFO_DROPS * sizeof counts[0];
    return known ? std::optional(counts[SK_MEMINFO_DROPS]) : std::nullopt;
}

}  // namespace sumackeel::net
