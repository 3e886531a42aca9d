// The operators' calls as the ops address takes them: a method and a path in, a status and a body out, the
// board changed as the call says. Pure: which ids were ever listed, and the figures shown, are handed in.
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
    int status = 200;            // 2xx yes, 4xx or 5xx no
    std::string body;            // one line or a few, text
    bool state_changed = false;  // the board is to be handed over anew
};

// One counter or gauge.
struct Counter {
    std::string name;
    std::uint64_t value = 0;
};

// What GET /ops/stats shows besides the board, as `gw_NAME VALUE` lines.
struct Stats {
    std::size_t requests_open = 0, connections = 0, pop_caches_listed = 0;
    std::size_t timer_count = 0;  // deadlines set
    std::int64_t list_seq = 0;    // the number of the newest change the list has taken
    std::vector<Counter> counters = {};
};

// What a path of the operators' calls asks for.
struct ParsedPath {
    enum class Action { other, down, up, drain_start, drain_stop } action = Action::other;
    std::string id;  // down, up: the pop cache
};
ParsedPath parse_path(std::string_view path);

using IsKnownEndpoint = std::function<bool(const std::string& id)>;

ApiReply handle_call(State& board, const ApiCall& call, const IsKnownEndpoint& listed, const Stats& figures);

}  // namespace sumackeel::admin
