// How many bytes the response to a request may have, learned from earlier responses. Pure.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace sumackeel::core {

// The bytes of a response are in proportion to the size that its request states. The largest proportion that
// a class has had counts, so an estimate is too small only for a larger one than any before.
class ResponseSizeEstimate {
  public:
    // `size_kb`: as the request states it, in KB; `bytes`: of the body of its response.
    void record(int class_index, double size_kb, std::size_t bytes) {
        const auto index = static_cast<std::size_t>(class_index);
        if (index >= bytes_per_kb_.size()) bytes_per_kb_.resize(index + 1, 0);
        bytes_per_kb_[index] = std::max(bytes_per_kb_[index], static_cast<double>(bytes) / divisor(size_kb));
    }
    // Bytes; 0 before the class's first response.
    std::size_t estimate(int class_index, double size_kb) const {
        const auto index = static_cast<std::size_t>(class_index);
        if (index >= bytes_per_kb_.size()) return 0;
        return static_cast<std::size_t>(std::min(kMaxBytes, bytes_per_kb_[index] * divisor(size_kb)));
    }

  private:
    static constexpr double kMaxBytes = 240'000;  // of any object, by the protocol
    static constexpr double kMinSizeKb = 1;       // some requests state none
    static double divisor(double size_kb) { return std::max(kMinSizeKb, size_kb); }

    std::vector<double> bytes_per_kb_;  // by class
};

}  // namespace sumackeel::core
