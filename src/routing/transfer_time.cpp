#include "routing/transfer_time.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

// Number of assumed requests, each taking half the latency objective, that initialize the mean of a class:
// the first actual sizes may be unusual.
constexpr double kInitialSamples = 5;

}  // namespace

TransferTimes::TransferTimes(const DecisionContext& context) : context_(context) {
    for (const ClassSettings& class_settings : context.settings.classes)
        sums_.push_back(
            {kInitialSamples * 0.5 * static_cast<double>(class_settings.latency_objective), kInitialSamples});
}

double TransferTimes::record(const RequestReceived& arrival) {
    const double rate = context_.settings.transfer_rate_kb_per_s;
    if (arrival.size_kb <= 0 || rate <= 0) return mean_of_class(arrival.class_index);
    const double duration = arrival.size_kb / rate * kSecond;
    Sum& sum = sums_[arrival.class_index];
    sum.total += duration;
    sum.count += 1;
    return duration;
}

double TransferTimes::mean_of_class(int class_index) const {
    return sums_[class_index].total / sums_[class_index].count;
}

double TransferTimes::largest_mean() const {
    double largest = 0;
    for (const Sum& sum : sums_) largest = std::max(largest, sum.total / sum.count);
    return largest;
}

}  // namespace sumackeel::routing
