// Answers to operators' calls that change what is kept on disk: given once it is there, and within a bound
// where the disk fails or takes its time, saying so.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "front_ops/front.h"
#include "net/loop.h"
#include "ops/calls.h"

namespace sumackeel::daemon {

class KeptReplies {
  public:
    // What the disks say. Of all files together.
    struct Disks {
        std::function<bool()> undecided;           // a write is under way, and none has failed
        std::function<std::string()> missing;      // why not all is on disk yet; empty: it is
        std::function<base::Micros()> silent_for;  // for how long a write has been under way
    };

    KeptReplies(net::Loop& loop, Disks disks) : loop_(loop), disks_(std::move(disks)) {}
    ~KeptReplies();

    // The reply at once, or none: then by `later`.
    std::optional<ops::Reply> give(ops::Reply reply, const front_ops::Later& later);
    void look();  // a write has ended

  private:
    struct Waiting {
        ops::Reply reply;
        front_ops::Later later;
        base::Deadlines::Key latest;
    };
    ops::Reply worded(ops::Reply reply) const;
    void answer(std::uint64_t number);

    net::Loop& loop_;
    Disks disks_;
    std::map<std::uint64_t, Waiting> waiting_;  // bounded by the places of the operators' front
    std::uint64_t next_ = 0;
};

}  // namespace sumackeel::daemon
