// Calls to the operators' address of a daemon, for stories that use it.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "support.h"

namespace story {

inline sumackeel::config::Config with_ops(const std::vector<std::string>& hosts, int inherited = -1,
                                          const std::string& changelog = {}) {
    auto config = sumackeel::config::parse_config(config_text(hosts, changelog));
    config.ops = "127.0.0.1:0";
    config.inherited_fd = inherited;
    return config;
}

// Sends one call to the operators' address and returns its status, or 0 without a response; stores the body
// in `body` if given.
inline int admin_request(int port, const std::string& method, const std::string& path,
                         std::string* body = nullptr) {
    Wire wire = Wire::to(port);
    wire.send(method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n");
    const std::string all = wire.rest();
    if (body) *body = all.substr(std::min(all.size(), all.find("\r\n\r\n") + 4));
    return all.starts_with("HTTP/1.1 ") ? std::stoi(all.substr(9, 3)) : 0;
}

// Waits until the proxy reports that it is ready: before that it may not have read the hand-over file, and
// the platform sends it no clients.
inline void wait_until_ready(int ops_port) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (admin_request(ops_port, "GET", "/ops/readiness") != 200)
        REQUIRE(std::chrono::steady_clock::now() < end);
}

}  // namespace story
