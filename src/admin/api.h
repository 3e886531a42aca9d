// Handles operator calls of the admin API: takes a method and a path, updates the administrative state and
// returns a status and a body. Pure: the known endpoint ids and the stats are passed in.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/state.h"
#include "base/time.h"

namespace sumackeel::admin {

struct ApiCall {
    std::string_view method, path, body = {};
    std::optional<base::Micros> received_at = {};  // none: now
};

struct ApiReply {
    int status = 200;
    std::string body;            // text of one or more lines
    bool state_changed = false;  // the caller must apply it and write it to the handover record
};

// One counter or gauge.
struct Counter {
    std::string name;
    std::uint64_t value = 0;
};

// The values that GET /ops/stats returns in addition to the administrative state, as `gw_NAME VALUE` lines.
struct Stats {
    std::size_t requests_open = 0, connections = 0, pop_caches_listed = 0;
    std::size_t timer_count = 0;  // scheduled timers
    std::int64_t list_seq = 0;    // sequence number of the newest applied change of the endpoint list
    std::vector<Counter> counters = {};
};

// The action that a path requests.
struct ParsedPath {
    enum class Action { other, down, up, drain_start, drain_stop } action = Action::other;
    std::string id;  // down, up: the pop cache's id
};
ParsedPath parse_path(std::string_view path);

using IsKnownEndpoint = std::function<bool(const std::string& id)>;

// `is_known`: whether the endpoint list or the configuration has ever contained the id.
ApiReply handle_call(State& state, const ApiCall& call, const IsKnownEndpoint& is_known, const Stats& stats);

}  // namespace sumackeel::admin
