// What attempts that are still out tell of a target before any answer does. A value, fed attempt by attempt.
#pragma once

#include <algorithm>

namespace nettlethread {

// Danger: where one answer in a hundred never comes, each such attempt alone would make a healthy target look
// hung. So one that is overdue while the target has answered others since then is passed over, the longest of
// them; a second one is no chance any more, and a target that is silent is judged by its longest.
class Overdue {
  public:
    // `known`: how late the target is by its answers, as a multiple of the expected time; never less than
    // that.
    explicit Overdue(double known) : late_(known) {}

    // One attempt out: its time over the expected, and whether the target was heard after that was over.
    void add(double ratio, bool heard_since) {
        late_ = std::max(late_, heard_since ? std::min(ratio, longest_) : ratio);
        if (heard_since) longest_ = std::max(longest_, ratio);
    }
    double late() const { return late_; }

  private:
    double late_;
    double longest_ = 0;  // of those overdue at a target that answers
};

}  // namespace nettlethread
