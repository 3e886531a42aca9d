// Transfer time of responses at full rate: of one request, and the mean of each class.
#pragma once

#include <vector>

#include "routing/decision_context.h"

namespace sumackeel::routing {

class TransferTimes {
  public:
    explicit TransferTimes(const DecisionContext& context);

    // Microseconds that the response takes at full rate; the mean of its class where its size is not known.
    // A known size enters the mean.
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
