#include "base/pending_calls.h"

#include <algorithm>
#include <utility>

namespace sumackeel::base {

std::vector<CallId> PendingCalls::add(Call call, std::size_t most) {
    std::vector<CallId> given_up;
    while (calls_.size() >= most) {
        const auto crowded = calls_.begin() + static_cast<std::ptrdiff_t>(most_crowded(call.begun_at));
        given_up.push_back(crowded->id);
        calls_.erase(crowded);
    }
    calls_.push_back(call);
    return given_up;
}

// The call between the oldest and the newest whose neighbours' ages have the lowest ratio; of two the newest.
std::size_t PendingCalls::most_crowded(Micros now) const {
    const auto age = [&](std::size_t i) {
        return static_cast<double>(std::max<Micros>(1, now - calls_[i].begun_at));
    };
    std::size_t found = 1;
    for (std::size_t i = 2; i + 1 < calls_.size(); ++i)
        if (age(i - 1) / age(i + 1) < age(found - 1) / age(found + 1)) found = i;
    return found;
}

PendingCalls::Calls::const_iterator PendingCalls::find(CallId id) const {
    return std::find_if(calls_.begin(), calls_.end(), [id](const Call& c) { return c.id == id; });
}

std::optional<PendingCalls::Call> PendingCalls::take(CallId id) {
    const auto found = find(id);
    if (found == calls_.end()) return std::nullopt;
    const Call call = *found;
    calls_.erase(found);
    return call;
}

std::vector<PendingCalls::Call> PendingCalls::take_through(CallId id) {
    const auto found = find(id);
    if (found == calls_.end()) return {};
    const auto end = found + 1;
    std::vector<Call> taken(calls_.cbegin(), end);
    calls_.erase(calls_.cbegin(), end);
    return taken;
}

std::vector<PendingCalls::Call> PendingCalls::take_all() {
    return std::exchange(calls_, {});
}

bool PendingCalls::contains(CallId id) const {
    return find(id) != calls_.end();
}

void ResponseTimeout::on_overdue() {
    current_ = std::min(current_ + current_ / 2, longest_);
}

void ResponseTimeout::on_answer(Micros response_time) {
    current_ = std::clamp(response_time + response_time / 2, shortest_, longest_);
}

}  // namespace sumackeel::base
