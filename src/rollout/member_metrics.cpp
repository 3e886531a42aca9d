#include "rollout/member_metrics.h"

namespace sumackeel::rollout {

MetricsSum& MetricsSum::operator+=(const MetricsSum& other) {
    requests += other.requests;
    in_time += other.in_time;
    rejected += other.rejected;
    failed += other.failed;
    dispatch_time_us += other.dispatch_time_us;
    dispatched += other.dispatched;
    memory_kb += other.memory_kb;
    members += other.members;
    return *this;
}

}  // namespace sumackeel::rollout
