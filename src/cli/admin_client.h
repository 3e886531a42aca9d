// Client of a proxy's admin API: one HTTP/1.1 request with a timeout of a few seconds.
#pragma once

#include <string>

namespace sumackeel::cli {

struct AdminResponse {
    int status = 0;
    std::string body;
};

// Throws ConfigError if the address is invalid, the connection fails, or no valid response arrives in time.
AdminResponse call_admin_api(const std::string& address, const std::string& method, const std::string& path,
                             const std::string& body = {});

// Throws ConfigError saying that the agreed log is disabled on the proxy at `address`.
[[noreturn]] void throw_agreed_log_disabled(const std::string& address);

}  // namespace sumackeel::cli
