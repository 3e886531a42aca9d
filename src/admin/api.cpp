#include "admin/api.h"

#include <fmt/format.h>

#include <utility>

namespace sumackeel::admin {

namespace {

constexpr std::string_view kDownPrefix = "/ops/pop-caches/down/";
constexpr std::string_view kUpPrefix = "/ops/pop-caches/up/";

ApiReply ban_reply(ChangeResult result, std::string_view verb, std::string_view id) {
    switch (result) {
        case ChangeResult::accepted:
            return {200, fmt::format("{} {}\n", verb, id), true};
        case ChangeResult::unknown:
            return {404, fmt::format("no pop cache {} was ever listed\n", id), false};
        case ChangeResult::rejected:
            break;
    }
    return {409, fmt::format("not now: {} {} does not fit\n", verb, id), false};
}

ApiReply drain_reply(ChangeResult result, const State& state) {
    const char* phase = name_of(state.phase());
    if (result == ChangeResult::accepted) return {200, fmt::format("{}\n", phase), true};
    return {409, fmt::format("not while {}\n", phase), false};
}

ApiReply method_not_allowed(std::string_view path, std::string_view allowed) {
    return {405, fmt::format("{} takes {} alone\n", path, allowed), false};
}

ApiReply readiness_reply(const State& state) {
    return {state.is_ready() ? 200 : 503, fmt::format("{}\n", name_of(state.phase())), false};
}

ApiReply stats_reply(const State& state, const Stats& stats) {
    std::string text = fmt::format(
        "gw_ready {}\ngw_phase {}\ngw_pop_caches_down {}\ngw_pop_caches_listed {}\ngw_list_seq {}\n"
        "gw_inflight {}\ngw_connections {}\ngw_timers {}\n",
        state.is_ready() ? 1 : 0, name_of(state.phase()), state.bans().size(), stats.pop_caches_listed,
        stats.list_seq, stats.requests_open, stats.connections, stats.timer_count);
    for (const Counter& counter : stats.counters)
        text += fmt::format("gw_{} {}\n", counter.name, counter.value);
    return {200, std::move(text), false};
}

ApiReply change_state(State& state, const ParsedPath& path, const IsKnownEndpoint& is_known) {
    using Action = ParsedPath::Action;
    if (path.action == Action::drain_start) return drain_reply(state.start_drain(), state);
    if (path.action == Action::drain_stop) return drain_reply(state.stop_drain(), state);
    if (!is_valid_id(path.id)) return {400, "no pop cache id in the path\n", false};
    const bool listed = is_known && is_known(path.id);
    if (path.action == Action::down) return ban_reply(state.ban(path.id, listed), "down", path.id);
    return ban_reply(state.unban(path.id, listed), "up", path.id);
}

}  // namespace

ParsedPath parse_path(std::string_view path) {
    using Action = ParsedPath::Action;
    if (path.starts_with(kDownPrefix)) return {Action::down, std::string(path.substr(kDownPrefix.size()))};
    if (path.starts_with(kUpPrefix)) return {Action::up, std::string(path.substr(kUpPrefix.size()))};
    if (path == "/ops/drain/start") return {Action::drain_start, {}};
    if (path == "/ops/drain/stop") return {Action::drain_stop, {}};
    return {};
}

ApiReply handle_call(State& state, const ApiCall& call, const IsKnownEndpoint& is_known, const Stats& stats) {
    const std::string_view path = call.path.substr(0, call.path.find('?'));
    if (path == "/ops/readiness")
        return call.method == "GET" ? readiness_reply(state) : method_not_allowed(path, "GET");
    if (path == "/ops/stats")
        return call.method == "GET" ? stats_reply(state, stats) : method_not_allowed(path, "GET");
    const ParsedPath parsed = parse_path(path);
    if (parsed.action == ParsedPath::Action::other) return {404, fmt::format("no call {}\n", path), false};
    return call.method == "POST" ? change_state(state, parsed, is_known) : method_not_allowed(path, "POST");
}

}  // namespace sumackeel::admin
