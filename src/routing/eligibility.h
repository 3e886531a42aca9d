// Eligibility: rules that no choice of an endpoint may break, whatever it would gain.
#pragma once

#include "routing/request.h"
#include "routing/slow_start.h"

namespace sumackeel::routing {

class Eligibility {
  public:
    Eligibility(const DecisionContext& context, const SlowStart& slow_start)
        : context_(context), slow_start_(slow_start) {}

    // Whether the target is ready, may repeat what the request's attempts may have run already, and has room
    // in its slow start budget.
    bool can_serve(const Target& target, const Request& request) const;

  private:
    bool may_repeat(const Request& request, const Attempt& earlier, const Target& target) const;

    const DecisionContext& context_;
    const SlowStart& slow_start_;
};

}  // namespace sumackeel::routing
