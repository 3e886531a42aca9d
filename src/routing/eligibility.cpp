#include "routing/eligibility.h"

namespace sumackeel::routing {

bool Eligibility::can_serve(const Target& target, const Request& request) const {
    if (target.entry.state != EndpointState::ready) return false;
    for (const Attempt& attempt : request.attempts)
        if (attempt.may_have_run && !may_repeat(request, attempt, target)) return false;
    return slow_start_.has_budget(target);
}

bool Eligibility::may_repeat(const Request& request, const Attempt& earlier, const Target& target) const {
    const ClassSettings& class_settings = class_of(context_.settings, request);
    if (class_settings.retry_safety == RetrySafety::idempotent) return true;
    if (class_settings.retry_safety == RetrySafety::not_idempotent) return false;
    if (context_.now >= earlier.sent_at + class_settings.idempotency_window) return false;
    switch (class_settings.idempotency_scope) {
        case IdempotencyScope::all:
            return true;
        case IdempotencyScope::zone:
            return earlier.cache->entry.zone == target.entry.zone;
        case IdempotencyScope::cell:
            return earlier.cache->entry.cell == target.entry.cell;
    }
    return false;
}

}  // namespace sumackeel::routing
