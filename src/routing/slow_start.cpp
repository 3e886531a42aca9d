#include "routing/slow_start.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "routing/hash.h"

namespace sumackeel::routing {
namespace {

// Fraction of the cold budget that is used, since weights are inaccurate.
constexpr double kBudgetSafetyFactor = 0.8;
// Standard deviations of the combined request rate that the budget covers.
constexpr double kTailDeviations = 3;
constexpr double kMinCapacity = 0.1;  // transfers at full rate

// The mean amount of work whose random excess, in requests of `size`, stays within the budget.
double mean_within_tail(double budget, double size) {
    if (std::isinf(budget)) return budget;
    const double step = kTailDeviations * std::sqrt(size);
    const double root = (std::sqrt(step * step + 4 * budget) - step) / 2;
    return root * root;
}

}  // namespace

double SlowStart::ramp(const Target& target, Micros at) const {
    const Settings& settings = context_.settings;
    const bool parent = target.role == Role::parent;
    const double cold_fraction = parent ? settings.parent_cold_fraction : settings.cold_capacity_fraction;
    const Micros duration = parent ? settings.parent_slow_start : settings.warm_up_duration;
    if (target.entry.started_at <= 0 || duration <= 0) return 1;
    if (target.awaiting_first_response) return cold_fraction;
    if (at >= target.entry.started_at + duration) return 1;
    const double progress = static_cast<double>(std::max<Micros>(0, at - target.entry.started_at)) / duration;
    return cold_fraction + (1 - cold_fraction) * progress;
}

double SlowStart::capacity(const Target& target) const {
    return std::max(kMinCapacity, target.entry.weight * ramp(target, context_.now));
}

double SlowStart::sharing_routers(const Target& target) const {
    if (target.role != Role::cache) return std::max(1, context_.settings.instance_count);
    return context_.routers_in_zone(target.entry.zone);
}

void SlowStart::begin(Target& target, Micros started_at) {
    target.cold_debt = {transfer_times_.largest_mean() * unit_hash(context_.random(), target.hash),
                        started_at};
    target.entry.started_at = started_at;
}

// Work that all routers together may send to the target per overload window, in microseconds of transfer
// time. Unlimited for the origin and for warm endpoints.
double SlowStart::budget(const Target& target, Micros at) const {
    const Settings& settings = context_.settings;
    const double multiple =
        target.role == Role::parent ? settings.parent_overload_multiple : settings.cold_overload_multiple;
    const double lowest_ramp = ramp(target, at - settings.overload_window);
    if (target.role == Role::origin || multiple <= 0 || lowest_ramp >= 1)
        return std::numeric_limits<double>::infinity();
    return kBudgetSafetyFactor * multiple * target.entry.weight * lowest_ramp *
           static_cast<double>(settings.overload_window);
}

bool SlowStart::has_budget(const Target& target) const {
    const double total_budget = budget(target, context_.now);
    if (std::isinf(total_budget)) return true;
    const double size = transfer_times_.largest_mean();
    const double max_debt = (total_budget - mean_within_tail(total_budget, size)) / sharing_routers(target);
    return debt(target) <= std::max(0.0, max_debt - size);
}

double SlowStart::debt(const Target& target) const {
    const auto payment_rate = [&](Micros at) {
        return mean_within_tail(budget(target, at), transfer_times_.largest_mean()) /
               (sharing_routers(target) * static_cast<double>(context_.settings.overload_window));
    };
    // The budget rises linearly, so its mean over the interval is the mean of both ends.
    const double mean_rate = (payment_rate(target.cold_debt.at) + payment_rate(context_.now)) / 2;
    return std::max(
        0.0, target.cold_debt.value - mean_rate * static_cast<double>(context_.now - target.cold_debt.at));
}

void SlowStart::charge(Target& target, int class_index) {
    if (!std::isinf(budget(target, context_.now)))
        target.cold_debt = {debt(target) + transfer_times_.mean_of_class(class_index), context_.now};
}

}  // namespace sumackeel::routing
