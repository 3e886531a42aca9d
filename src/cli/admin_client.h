// One call to a proxy's operators' address: HTTP/1.1, answered within seconds or not at all.
#pragma once

#include <string>

namespace sumackeel::cli {

struct OpsAnswer {
    int status = 0;
    std::string body;
};

// Throws ConfigError where there is no such address, nobody answers in time, or the answer can't be read.
OpsAnswer ops_call(const std::string& address, const std::string& method, const std::string& path,
                   const std::string& body = {});

// Throws ConfigError: whoever listens there has no agreed log.
[[noreturn]] void agreed_off(const std::string& address);

}  // namespace sumackeel::cli
