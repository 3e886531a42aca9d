#include "net/read_scheduler.h"

namespace sumackeel::net {

bool ReadScheduler::may_read(Reader& reader, Micros now) {
    const bool in_slice = reader.iteration_ == iteration_;
    const bool allowed = in_slice ? now < reader.slice_end_ : is_its_turn(reader, now);
    if (!allowed) {
        ++deferred_reads_;
        return false;
    }
    if (in_slice) return true;
    if (budget_end_ == 0) budget_end_ = now + kIterationBudget;
    reader.round_ = round_;
    reader.iteration_ = iteration_;
    reader.slice_end_ = now + kSlice;
    return true;
}

// The first reader of an iteration is never deferred for want of time, so that each iteration makes progress.
bool ReadScheduler::is_its_turn(const Reader& reader, Micros now) {
    if (reader.priority_ == ReadPriority::immediate) return true;
    if (reader.round_ == round_) return false;
    const bool has_time = budget_end_ == 0 || now < budget_end_;
    if (!has_time) round_incomplete_ = true;
    return has_time;
}

void ReadScheduler::end_iteration() {
    if (!round_incomplete_) ++round_;
    round_incomplete_ = false;
    budget_end_ = 0;
    ++iteration_;
}

}  // namespace sumackeel::net
