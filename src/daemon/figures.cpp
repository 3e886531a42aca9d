#include "daemon/figures.h"

#include <array>
#include <string>

#include "base/log.h"

namespace sumackeel::daemon {

namespace {

using Counters = std::vector<ops::Counter>;

void add_door(Counters& counters, const std::string& prefix, const net::Door& door) {
    for (std::size_t i = 0; i < net::kDoings; ++i) {
        const auto doing = static_cast<net::Doing>(i);
        counters.push_back({prefix + "connections_" + net::name_of(doing), door.doing(doing)});
    }
    for (std::size_t i = 0; i < net::kEndReasons; ++i) {
        const auto reason = static_cast<net::EndReason>(i);
        counters.push_back({prefix + "ended_" + net::name_of(reason), door.ended(reason)});
    }
}

void add_answers(Counters& counters, const core::Figures& figures) {
    constexpr std::array<const char*, 5> kNames{"served", "same", "refused", "failed", "out_of_time"};
    for (std::size_t i = 0; i < kNames.size(); ++i)
        counters.push_back({std::string("answers_") + kNames[i], figures.answered[i]});
    counters.push_back({"attempts", figures.attempts});
    counters.push_back({"attempts_retried", figures.attempts - figures.sent});
}

}  // namespace

std::vector<ops::Counter> counters_of(const core::Core& core, const front_platform::Front& front,
                                      const front_signed::Front* signed_front) {
    Counters counters;
    add_answers(counters, core.figures());
    counters.push_back({"log_lines_dropped", log::dropped_lines()});
    const auto& drain = front.drain_figures();
    counters.push_back({"drain_refused", drain.refused});
    counters.push_back({"drain_held", drain.held});
    counters.push_back({"drain_hurried", drain.hurried});
    add_door(counters, "", front.door());
    if (signed_front) add_door(counters, "signed_", signed_front->door());
    return counters;
}

}  // namespace sumackeel::daemon
