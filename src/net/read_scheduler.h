// Decides which streams are read in an iteration of the loop, so that no amount of input keeps the loop from
// its timers or one stream from being read. Pure: times are arguments.
//
// Reads are scheduled round-robin under a time budget. In each iteration a stream is read for kSlice at the
// most. Once an iteration has spent kIterationBudget, the streams that were not read yet are deferred, and in
// the following iterations only they are read, until each of them has had its slice. The next round begins
// then. Reads overrun both bounds by the time of one read at most.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace sumackeel::net {

using base::Micros;

// Whether reads of a stream can be deferred.
enum class ReadPriority : std::uint8_t {
    fair,       // takes turns with all others
    immediate,  // read for a slice in each iteration, so that timers run with its input known
};

class ReadScheduler {
  public:
    static constexpr Micros kSlice = 500;               // us
    static constexpr Micros kIterationBudget = 10'000;  // us

    // The state of one stream.
    class Reader {
      public:
        explicit Reader(ReadPriority priority) : priority_(priority) {}

      private:
        friend class ReadScheduler;
        ReadPriority priority_;
        std::uint64_t round_ = 0;      // the last one in which it was read
        std::uint64_t iteration_ = 0;  // the last one in which it was read
        Micros slice_end_ = 0;         // in that iteration
    };

    // Whether the reader may read now. False: its input has to wait for a later iteration.
    bool may_read(Reader& reader, Micros now);
    void end_iteration();
    std::uint64_t deferred_reads() const { return deferred_reads_; }  // since the start

  private:
    bool is_its_turn(const Reader& reader, Micros now);

    std::uint64_t round_ = 1;
    std::uint64_t iteration_ = 1;
    bool round_incomplete_ = false;  // a reader that is due in this round was deferred in this iteration
    Micros budget_end_ = 0;          // of this iteration; 0: nothing was read yet
    std::uint64_t deferred_reads_ = 0;
};

}  // namespace sumackeel::net
