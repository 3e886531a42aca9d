#include "net/connection_state.h"

#include <array>

namespace sumackeel::net {

const char* name_of(CloseReason reason) {
    static constexpr std::array<const char*, kCloseReasonCount> kNames{
        "client",       "broken",          "drain", "process_end", "request_timeout",
        "idle_timeout", "reading_timeout", "room",  "memory",      "front"};
    return kNames[static_cast<std::size_t>(reason)];
}

const char* name_of(ConnectionState state) {
    static constexpr std::array<const char*, kConnectionStateCount> kNames{"arriving", "sending", "idle",
                                                                           "unsent",   "busy",    "leaving"};
    return kNames[static_cast<std::size_t>(state)];
}

}  // namespace sumackeel::net
