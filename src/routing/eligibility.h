// Eligibility: hard constraints on which endpoints may serve a request, regardless of performance.
#pragma once

#include "routing/request.h"
#include "routing/slow_start.h"

namespace sumackeel::routing {

class Eligibility {
  public:
    Eligibility(const DecisionContext& context, const SlowStart& slow_start)
        : context_(context), slow_start_(slow_start) {}

    // Whether the target is ready, has slow start budget left, and may repeat the request's attempts that may
    // have been executed.
    bool can_serve(const Target& target, const Request& request) const;

  private:
    bool may_repeat(const Request& request, const Attempt& earlier, const Target& target) const;

    const DecisionContext& context_;
    const SlowStart& slow_start_;
};

}  // namespace sumackeel::routing
