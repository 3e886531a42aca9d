// The bench's wire: JSON to the library's types and back. Nothing is decided here.
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

// What was wrong with a line and where.
class WireError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// Names and places of one instance's settings, needed to read its events.
struct Names {
    std::vector<std::string> classes, zones, kinds, tenants;
};

struct Start {
    std::uint64_t seed = 0;
    Settings settings;
    Names names;
};

// The name that stands first in a message.
std::string message_name(const nlohmann::json& message);
Start read_start(const nlohmann::json& message);
Event read_event(const nlohmann::json& message, const Names& names);
nlohmann::json write_action(const Action& action);

}  // namespace sumackeel::simulator_adapter
