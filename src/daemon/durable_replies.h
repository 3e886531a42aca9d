// Answers to operators' calls that change what is kept on disk: given once it is there, and within a bound
// where the disk fails or takes its time, saying so.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "admin/api.h"
#include "admin_server/admin_server.h"
#include "net/loop.h"

namespace sumackeel::daemon {

class DurableReplies {
  public:
    // Each answer is due within 1 s, and callers before it may have taken up to 0.4 s of that. Counted from
    // when the disk fell silent: where it hangs only the first call waits.
    static constexpr base::Micros kWaitForDisk = 300'000;

    // What the disks say. Of all files together.
    struct Disks {
        std::function<bool()> undecided;           // a write is under way, and none has failed
        std::function<std::string()> missing;      // why not all is on disk yet; empty: it is
        std::function<base::Micros()> silent_for;  // for how long a write has been under way
    };

    DurableReplies(net::Loop& loop, Disks disks) : loop_(loop), disks_(std::move(disks)) {}
    ~DurableReplies();
    DurableReplies(const DurableReplies&) = delete;
    DurableReplies& operator=(const DurableReplies&) = delete;

    // The reply at once, or none: then by `later`, within `max_wait` at the longest.
    std::optional<admin::ApiReply> reply_when_durable(admin::ApiReply reply,
                                                      const admin_server::DeferredReply& later,
                                                      base::Micros max_wait = kWaitForDisk);
    void on_write_finished();  // a write has ended

  private:
    struct Waiting {
        admin::ApiReply reply;
        admin_server::DeferredReply later;
        base::TimerQueue::Key latest;
    };
    admin::ApiReply worded(admin::ApiReply reply) const;
    void answer(std::uint64_t number);

    net::Loop& loop_;
    Disks disks_;
    std::map<std::uint64_t, Waiting> waiting_;  // bounded by the places of the operators' front
    std::uint64_t next_ = 0;
};

}  // namespace sumackeel::daemon
