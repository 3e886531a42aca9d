// Sockets for the tests of streams.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sumackeel::net {

// The two ends of a connection over loopback.
struct SocketPair {
    int client = -1;
    int server = -1;
};

inline SocketPair connect_pair() {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    SocketPair pair;
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), length) == 0 && listen(listener, 1) == 0 &&
        getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
        pair.client = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(pair.client, reinterpret_cast<sockaddr*>(&address), length) == 0)
            pair.server = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    }
    close(listener);
    return pair;
}

}  // namespace sumackeel::net
