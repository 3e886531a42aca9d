#include "ops/calls.h"

#include <fmt/format.h>

namespace sumackeel::ops {

namespace {

constexpr std::string_view kDown = "/ops/pop-caches/down/", kUp = "/ops/pop-caches/up/";

Reply said(Said verdict, std::string_view what, std::string_view id) {
    switch (verdict) {
        case Said::yes:
            return {200, fmt::format("{} {}\n", what, id), true};
        case Said::unknown:
            return {404, fmt::format("no pop cache {} was ever listed\n", id), false};
        case Said::refused:
            break;
    }
    return {409, fmt::format("not now: {} {} does not fit\n", what, id), false};
}

Reply drained(Said verdict, const Board& board) {
    if (verdict == Said::yes) return {200, fmt::format("{}\n", name_of(board.phase())), true};
    return {409, fmt::format("not while {}\n", name_of(board.phase())), false};
}

}  // namespace

Asked asked_in(std::string_view path) {
    if (path.starts_with(kDown)) return {Asked::What::down, std::string(path.substr(kDown.size()))};
    if (path.starts_with(kUp)) return {Asked::What::up, std::string(path.substr(kUp.size()))};
    if (path == "/ops/drain/start") return {Asked::What::drain_start, {}};
    if (path == "/ops/drain/stop") return {Asked::What::drain_stop, {}};
    return {};
}

Reply take_call(Board& board, const Call& call, const Listed& listed, const Figures& figures) {
    const std::string_view path = call.path.substr(0, call.path.find('?'));
    const bool get = call.method == "GET", post = call.method == "POST";
    const auto wrong_method = [&](std::string_view allowed) {
        return Reply{405, fmt::format("{} takes {} alone\n", path, allowed), false};
    };
    if (path == "/ops/readiness") {
        if (!get) return wrong_method("GET");
        return {board.ready() ? 200 : 503, fmt::format("{}\n", name_of(board.phase())), false};
    }
    if (path == "/ops/stats") {
        if (!get) return wrong_method("GET");
        std::string counters;
        for (const Counter& one : figures.counters)
            counters += fmt::format("gw_{} {}\n", one.name, one.value);
        return {200,
                fmt::format("gw_ready {}\ngw_phase {}\ngw_pop_caches_down {}\ngw_pop_caches_listed {}\n"
                            "gw_list_seq {}\ngw_inflight {}\ngw_connections {}\ngw_timers {}\n",
                            board.ready() ? 1 : 0, name_of(board.phase()), board.bans().size(),
                            figures.pop_caches_listed, figures.list_seq, figures.requests_open,
                            figures.connections, figures.timers) +
                    counters,
                false};
    }
    const Asked asked = asked_in(path);
    using What = Asked::What;
    if (asked.what == What::other) return {404, fmt::format("no call {}\n", path), false};
    if (!post) return wrong_method("POST");
    if (asked.what == What::drain_start) return drained(board.drain_start(), board);
    if (asked.what == What::drain_stop) return drained(board.drain_stop(), board);
    if (!sound_id(asked.id)) return {400, "no pop cache id in the path\n", false};
    const bool down = asked.what == What::down, ever = listed && listed(asked.id);
    return said(down ? board.ban(asked.id, ever) : board.lift(asked.id, ever), down ? "down" : "up",
                asked.id);
}

}  // namespace sumackeel::ops
