#include "admin/api.h"

#include <fmt/format.h>

namespace sumackeel::admin {

namespace {

constexpr std::string_view kDown = "/ops/pop-caches/down/", kUp = "/ops/pop-caches/up/";

ApiReply said(ChangeResult verdict, std::string_view what, std::string_view id) {
    switch (verdict) {
        case ChangeResult::accepted:
            return {200, fmt::format("{} {}\n", what, id), true};
        case ChangeResult::unknown:
            return {404, fmt::format("no pop cache {} was ever listed\n", id), false};
        case ChangeResult::rejected:
            break;
    }
    return {409, fmt::format("not now: {} {} does not fit\n", what, id), false};
}

ApiReply drained(ChangeResult verdict, const State& board) {
    if (verdict == ChangeResult::accepted) return {200, fmt::format("{}\n", name_of(board.phase())), true};
    return {409, fmt::format("not while {}\n", name_of(board.phase())), false};
}

}  // namespace

ParsedPath parse_path(std::string_view path) {
    if (path.starts_with(kDown)) return {ParsedPath::Action::down, std::string(path.substr(kDown.size()))};
    if (path.starts_with(kUp)) return {ParsedPath::Action::up, std::string(path.substr(kUp.size()))};
    if (path == "/ops/drain/start") return {ParsedPath::Action::drain_start, {}};
    if (path == "/ops/drain/stop") return {ParsedPath::Action::drain_stop, {}};
    return {};
}

ApiReply handle_call(State& board, const ApiCall& call, const IsKnownEndpoint& listed, const Stats& figures) {
    const std::string_view path = call.path.substr(0, call.path.find('?'));
    const bool get = call.method == "GET", post = call.method == "POST";
    const auto wrong_method = [&](std::string_view allowed) {
        return ApiReply{405, fmt::format("{} takes {} alone\n", path, allowed), false};
    };
    if (path == "/ops/readiness") {
        if (!get) return wrong_method("GET");
        return {board.is_ready() ? 200 : 503, fmt::format("{}\n", name_of(board.phase())), false};
    }
    if (path == "/ops/stats") {
        if (!get) return wrong_method("GET");
        std::string counters;
        for (const Counter& one : figures.counters)
            counters += fmt::format("gw_{} {}\n", one.name, one.value);
        return {200,
                fmt::format("gw_ready {}\ngw_phase {}\ngw_pop_caches_down {}\ngw_pop_caches_listed {}\n"
                            "gw_list_seq {}\ngw_inflight {}\ngw_connections {}\ngw_timers {}\n",
                            board.is_ready() ? 1 : 0, name_of(board.phase()), board.bans().size(),
                            figures.pop_caches_listed, figures.list_seq, figures.requests_open,
                            figures.connections, figures.timer_count) +
                    counters,
                false};
    }
    const ParsedPath asked = parse_path(path);
    using What = ParsedPath::Action;
    if (asked.action == What::other) return {404, fmt::format("no call {}\n", path), false};
    if (!post) return wrong_method("POST");
    if (asked.action == What::drain_start) return drained(board.start_drain(), board);
    if (asked.action == What::drain_stop) return drained(board.stop_drain(), board);
    if (!is_valid_id(asked.id)) return {400, "no pop cache id in the path\n", false};
    const bool down = asked.action == What::down, ever = listed && listed(asked.id);
    return said(down ? board.ban(asked.id, ever) : board.unban(asked.id, ever), down ? "down" : "up",
                asked.id);
}

}  // namespace sumackeel::admin
