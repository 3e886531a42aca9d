// What a drain requires of clients' connections as it goes on: a pure value, time as an argument.
//
// A connection may be ended without loss only while no request is open on it. One with overlapping requests
// never has such a moment by itself, so from a moment on the drain makes it: new requests are turned away,
// and those that are open have their answer by a time of the drain's own.
#pragma once

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace sumackeel::admin {

using base::Micros;

enum class DrainStage {
    none,       // no drain
    serving,    // requests are served; connections end whenever nothing is open on them
    rejecting,  // new requests are refused, those open go on
    closing,    // the same, and what is open beside refused requests is to have its answer now
    forcing     // connections end with nothing open, whatever is still being sent on them
};

// The operators' page: 4 s after the yes no connection is held that is idle or had a request in the last 2 s.
class DrainSchedule {
  public:
    // All since the drain began, which is no later than the yes.
    static constexpr Micros kServing = 2'000'000;
    static constexpr Micros kAnswered = 3'400'000;
    static constexpr Micros kForced = 3'700'000;
    static constexpr Micros kEnded = 4'000'000;
    // A client that neither sends a whole request nor has one open is borne with for so long, and from the
    // last stages on only for as long as a request on its way needs.
    static constexpr Micros kSilence = 2'000'000, kLateSilence = 150'000;
    // A refusal is held back while other requests are open on its connection, so that one who asks again at
    // once does not do so hundreds of times: for this part of the time its client gives it, within the bound.
    static constexpr Micros kHoldPart = 4, kHoldMost = 500'000;

    DrainSchedule() = default;
    explicit DrainSchedule(Micros began) : began_(began) {}

    bool is_active() const { return began_.has_value(); }
    Micros age(Micros now) const { return began_ ? std::max<Micros>(0, now - *began_) : 0; }

    DrainStage stage(Micros now) const {
        if (!began_) return DrainStage::none;
        const Micros since = now - *began_;
        if (since < kServing) return DrainStage::serving;
        if (since < kAnswered) return DrainStage::rejecting;
        return since < kForced ? DrainStage::closing : DrainStage::forcing;
    }
    // By when the connections that it ends are over; none: no drain.
    std::optional<Micros> ends_at() const { return began_ ? std::optional(*began_ + kEnded) : std::nullopt; }
    bool rejects_new_requests(Micros now) const { return stage(now) >= DrainStage::rejecting; }

    // When a request that shares its connection with a refused one is to have its answer.
    Micros response_deadline(Micros now) const { return std::max(now, began_.value_or(now) + kAnswered); }

    // When a request that came at `now`, to be refused, has its refusal at the latest. `left`: until its
    // client gives up.
    Micros rejection_deadline(Micros now, Micros left) const {
        const Micros held = now + std::min(left / kHoldPart, kHoldMost);
        return std::max(now, std::min(held, response_deadline(now)));
    }

    // How long a client may be silent, or in the middle of a request, where `usual` is borne otherwise.
    Micros timeout(Micros usual, Micros now) const {
        if (!began_) return usual;
        return std::min(usual, stage(now) >= DrainStage::closing ? kLateSilence : kSilence);
    }

    bool operator==(const DrainSchedule&) const = default;

  private:
    std::optional<Micros> began_;
};

}  // namespace sumackeel::admin
