#include "routing/circuit_breaker.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

constexpr double kFailureGain = 0.25;     // weight of the latest result in the failure rate
constexpr double kOpenThreshold = 0.45;   // failure rate at which a closed breaker opens
constexpr Micros kRecoverySuccesses = 8;  // number of successes after which most of the backoff is gone
constexpr Micros kMinOpenDuration = 1 * kSecond;
constexpr Micros kMaxOpenDuration = 8 * kSecond;

}  // namespace

void CircuitBreaker::on_attempt_sent(Target& target) {
    if (target.health.breaker == BreakerState::open) target.health.breaker = BreakerState::half_open;
}

void CircuitBreaker::on_success(Target& target) {
    Health& health = target.health;
    health.failure_rate *= 1 - kFailureGain;
    if (health.breaker == BreakerState::half_open) {
        health.breaker = BreakerState::closed;
        endpoints_.mirror_breaker(target);
        context_.emit(LogMessage{"breaker closed: " + target.entry.name});
    }
    if (health.breaker == BreakerState::closed)
        health.open_duration -= health.open_duration / kRecoverySuccesses;
}

void CircuitBreaker::on_failure(Target& target, double weight) {
    Health& health = target.health;
    health.failure_rate += kFailureGain * weight * (1 - health.failure_rate);
    if (health.breaker == BreakerState::open) return;
    if (health.breaker == BreakerState::closed && health.failure_rate < kOpenThreshold) return;
    health.open_duration = std::clamp(2 * health.open_duration, kMinOpenDuration, kMaxOpenDuration);
    health.open_until = context_.now + health.open_duration + context_.jitter(health.open_duration / 4);
    health.breaker = BreakerState::open;
    endpoints_.mirror_breaker(target);
    context_.emit(LogMessage{"breaker open: " + target.entry.name});
}

void CircuitBreaker::on_attempt_ended(Target& target) {
    if (target.health.breaker == BreakerState::half_open) target.health.breaker = BreakerState::open;
}

}  // namespace sumackeel::routing
