#include "daemon/release_calls.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace sumackeel::daemon {

using rollout::Answer;
using rollout::How;

namespace {

constexpr std::string_view kHead = "/ops/release/", kTurn = "turn/";

ops::Reply no_majority() {
    return {503, "no majority of the voters answered, call again\n", false};
}

// The rule that holds it back, and who is out.
std::string why_not(const Answer& answer) {
    return fmt::format("{}{}{}", answer.reason,
                       answer.waits_for.empty() ? "" : "; out: ", fmt::join(answer.waits_for, ","));
}

std::optional<rollout::Verb> verb_of(std::string_view word) {
    for (const auto verb :
         {rollout::Verb::start, rollout::Verb::halt, rollout::Verb::resume, rollout::Verb::back})
        if (word == name_of(verb)) return verb;
    return std::nullopt;
}

}  // namespace

ops::Reply leave_reply(const std::optional<Answer>& answer, const std::string& member) {
    if (!answer) return no_majority();
    if (answer->how == How::granted)
        return {200,
                fmt::format("{} out by lease {}{}{}\n", member, answer->number,
                            answer->reason.empty() ? "" : ", to run ", answer->reason),
                false};
    return {409, fmt::format("not now: {}\n", why_not(*answer)), false};
}

ops::Reply explained(const peers::Agreed& agreed, const std::string& member) {
    const auto answer = agreed.explain(member);
    if (!answer) return {404, fmt::format("nobody knows {}\n", member), false};
    for (const auto kind : {rollout::Kind::proxy, rollout::Kind::pop_cache})
        if (const rollout::Lease* held = agreed.state().find(kind, member))
            return {200,
                    fmt::format("{} is out by lease {}, asked for by {}\n", member, held->number, held->by),
                    false};
    if (answer->how == How::granted) return {200, fmt::format("{} may leave\n", member), false};
    return {200, fmt::format("{} may not leave: {}\n", member, why_not(*answer)), false};
}

std::optional<ops::Reply> take_release(peers::Agreed& agreed, const ops::Call& call,
                                       const front_ops::Later& later, const std::vector<std::string>& all,
                                       const std::string& self, std::function<void()> own_turn) {
    const bool forced = call.path.ends_with("?force=1");
    std::string_view word = call.path.substr(0, call.path.find('?'));
    word.remove_prefix(std::min(word.size(), kHead.size()));
    if (call.method != "POST") return ops::Reply{405, "POST alone\n", false};
    if (word.starts_with(kTurn)) {
        const std::string member(word.substr(kTurn.size()));
        if (!ops::sound_id(member)) return ops::Reply{400, "no member in the path\n", false};
        agreed.turn(member, forced, [later, member, self, own_turn](const std::optional<Answer>& answer) {
            if (answer && answer->how == How::nothing)
                return later({404, fmt::format("nothing to do: {}\n", answer->reason), false});
            if (answer && answer->how == How::granted && member == self) own_turn();
            later(leave_reply(answer, member));
        });
        return std::nullopt;
    }
    const auto verb = verb_of(word);
    if (!verb) return ops::Reply{404, fmt::format("no call {}\n", call.path), false};
    rollout::Order order{.verb = *verb, .by = self, .plan = {}, .there = {}};
    if (*verb == rollout::Verb::start) try {
            order.plan = rollout::read_plan(std::string(call.body), "plan", all);
        } catch (const std::exception& wrong) {
            return ops::Reply{400, fmt::format("{}\n", wrong.what()), false};
        }
    agreed.order(order, [later, verb](const std::optional<Answer>& answer) {
        if (!answer) return later(no_majority());
        if (answer->how != How::granted)
            return later({409, fmt::format("not now: {}\n", answer->reason), false});
        later({200, fmt::format("release {}: {}\n", answer->number, name_of(*verb)), false});
    });
    return std::nullopt;
}

}  // namespace sumackeel::daemon
