// The simulator's protocol: converts JSON to the types of the routing library and back.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "routing/router.h"

namespace sumackeel::simulator_adapter {

using routing::Action;
using routing::Event;
using routing::Settings;

// An invalid message; the text says where and why.
class ProtocolError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// The names in one instance's settings, by index; needed to parse its events.
struct Names {
    std::vector<std::string> classes, zones, kinds, tenants;
};

struct Start {
    std::uint64_t seed = 0;
    Settings settings;
    Names names;
};

// The first value of a message.
std::string message_name(const nlohmann::json& message);
Start read_start(const nlohmann::json& message);
Event read_event(const nlohmann::json& message, const Names& names);
nlohmann::json write_action(const Action& action);

}  // namespace sumackeel::simulator_adapter
