// The operators' calls as the admin server takes them: a method and a path in, a status and a body out, the
// administrative state changed as the call says. Pure: which ids were ever listed, and the stats, are passed
// in.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/state.h"

namespace sumackeel::admin {

struct ApiCall {
    std::string_view method, path, body = {};
};

struct ApiReply {
    int status = 200;
    std::string body;            // one line or a few, text
    bool state_changed = false;  // it is to be applied and handed over
};

// One counter or gauge.
struct Counter {
    std::string name;
    std::uint64_t value = 0;
};

// What GET /ops/stats shows besides the administrative state, as `gw_NAME VALUE` lines.
struct Stats {
    std::size_t requests_open = 0, connections = 0, pop_caches_listed = 0;
    std::size_t timer_count = 0;  // timers that are set
    std::int64_t list_seq = 0;    // the number of the newest change the list has taken
    std::vector<Counter> counters = {};
};

// What a path requests.
struct ParsedPath {
    enum class Action { other, down, up, drain_start, drain_stop } action = Action::other;
    std::string id;  // down, up: the pop cache
};
ParsedPath parse_path(std::string_view path);

using IsKnownEndpoint = std::function<bool(const std::string& id)>;

// `is_known`: the endpoint list or the configuration ever named that id.
ApiReply handle_call(State& state, const ApiCall& call, const IsKnownEndpoint& is_known, const Stats& stats);

}  // namespace sumackeel::admin
