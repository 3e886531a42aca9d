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
        return {200,
                fmt::format("gw_ready {}\ngw_phase {}\ngw_pop_caches_down {}\ngw_pop_caches_listed {}\n"
                            "gw_list_seq {}\ngw_inflight {}\ngw_connections {}\n",
                            board.ready() ? 1 : 0, name_of(board.phase()), board.bans().size(),
                            figures.pop_caches_listed, figures.list_seq, figures.requests_open,
                            figures.connections),
                false};
    }
    const bool down = path.starts_with(kDown), up = path.starts_with(kUp);
    if (down || up) {
        if (!post) return wrong_method("POST");
        const std::string_view id = path.substr((down ? kDown : kUp).size());
        const std::string key(id);
        if (!sound_id(id)) return {400, "no pop cache id in the path\n", false};
        const bool ever = listed && listed(key);
        return said(down ? board.ban(id, ever) : board.lift(id, ever), down ? "down" : "up", id);
    }
    if (path == "/ops/drain/start" || path == "/ops/drain/stop") {
        if (!post) return wrong_method("POST");
        return drained(path.ends_with("start") ? board.drain_start() : board.drain_stop(), board);
    }
    return {404, fmt::format("no call {}\n", path), false};
}

}  // namespace sumackeel::ops
