// Transfer times of responses at full rate: of a single request, and the mean of each class.
#pragma once

#include <vector>

#include "routing/decision_context.h"

namespace sumackeel::routing {

class TransferTimes {
  public:
    explicit TransferTimes(const DecisionContext& context);

    // Returns the transfer time of the response at full rate in microseconds, or the mean of its class if the
    // size is unknown. A known size is added to the mean.
    double record(const RequestReceived& arrival);

    // Mean of one class, in microseconds.
    double mean_of_class(int class_index) const;

    // The largest mean among the classes, in microseconds.
    double largest_mean() const;

  private:
    struct Sum {
        double total = 0;  // microseconds
        double count = 0;
    };

    const DecisionContext& context_;
    std::vector<Sum> sums_;  // by class
};

}  // namespace sumackeel::routing
