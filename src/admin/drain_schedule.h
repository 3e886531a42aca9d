// The schedule by which a drain closes client connections. A pure value; the time is an argument.
//
// A connection can be closed without loss only while no request is open on it. With overlapping requests this
// never happens by itself, so after a while the drain enforces it: new requests are rejected, and open
// requests get their response by a deadline of the drain.
#pragma once

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace sumackeel::admin {

using base::Micros;

enum class DrainStage {
    none,       // no drain
    serving,    // requests are served; connections are closed once no request is open on them
    rejecting,  // new requests are rejected, open requests continue
    closing,    // as before, and open requests on a connection with a rejected one get their response
    forcing     // connections without an open request are closed, even while data is still being sent
};

// Documented to operators: 4 s after the drain call is accepted, no connection remains that is idle or had a
// request in the last 2 s.
class DrainSchedule {
  public:
    // All times count from the start of the drain, which is not later than the reply to the drain call.
    static constexpr Micros kRejectAfter = 2'000'000;
    static constexpr Micros kResponseDeadline = 3'400'000;
    static constexpr Micros kForceAfter = 3'700'000;
    static constexpr Micros kEndAfter = 4'000'000;
    // Time-outs for a client that has no open request and does not complete a new one. In the last stages
    // only the time for a request in flight is allowed.
    static constexpr Micros kIdleTimeout = 2'000'000, kLateIdleTimeout = 150'000;
    // A rejection is delayed while other requests are open on its connection, so that a client that retries
    // immediately does not do so hundreds of times. The delay is the client's remaining time divided by
    // kRejectionDelayDivisor, at most kMaxRejectionDelay.
    static constexpr Micros kRejectionDelayDivisor = 4, kMaxRejectionDelay = 500'000;

    DrainSchedule() = default;
    explicit DrainSchedule(Micros began) : began_(began) {}

    bool is_active() const { return began_.has_value(); }
    Micros age(Micros now) const { return began_ ? std::max<Micros>(0, now - *began_) : 0; }

    DrainStage stage(Micros now) const {
        if (!began_) return DrainStage::none;
        const Micros elapsed = now - *began_;
        if (elapsed < kRejectAfter) return DrainStage::serving;
        if (elapsed < kResponseDeadline) return DrainStage::rejecting;
        return elapsed < kForceAfter ? DrainStage::closing : DrainStage::forcing;
    }
    // When new requests begin to be rejected; empty: no drain.
    std::optional<Micros> rejects_at() const {
        return began_ ? std::optional(*began_ + kRejectAfter) : std::nullopt;
    }
    // When all connections that the drain closes are closed; empty: no drain.
    std::optional<Micros> ends_at() const {
        return began_ ? std::optional(*began_ + kEndAfter) : std::nullopt;
    }
    bool rejects_new_requests(Micros now) const { return stage(now) >= DrainStage::rejecting; }

    // The response deadline for a request that shares its connection with a rejected one.
    Micros response_deadline(Micros now) const {
        return std::max(now, began_.value_or(now) + kResponseDeadline);
    }

    // The latest time to send the rejection of a request that arrived at `now`. `time_left`: until its client
    // times out.
    Micros rejection_deadline(Micros now, Micros time_left) const {
        const Micros delayed_until = now + std::min(time_left / kRejectionDelayDivisor, kMaxRejectionDelay);
        return std::max(now, std::min(delayed_until, response_deadline(now)));
    }

    // How long a client may be idle or in the middle of a request. `usual`: the time-out without a drain.
    Micros timeout(Micros usual, Micros now) const {
        if (!began_) return usual;
        return std::min(usual, stage(now) >= DrainStage::closing ? kLateIdleTimeout : kIdleTimeout);
    }

    bool operator==(const DrainSchedule&) const = default;

  private:
    std::optional<Micros> began_;
};

}  // namespace sumackeel::admin
