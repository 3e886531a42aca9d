// Replies to operators' calls that change persisted state: sent once the change is on disk, or, if the disk
// fails or is slow, within a time limit and with a note that says so.
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
    // Each reply is due within 1 s, and the callers of this class may have used up to 0.4 s of that. The time
    // runs from when the disk stopped answering: if it hangs, only the first call waits.
    static constexpr base::Micros kDiskTimeout = 300'000;

    // The state of the writes to all files together.
    struct WriteStatus {
        std::function<bool()> outcome_unknown;            // a write is in progress, and none has failed
        std::function<std::string()> unwritten_reason;    // why some state is not on disk yet; empty: all is
        std::function<base::Micros()> write_running_for;  // for how long a write has been in progress
    };

    DurableReplies(net::Loop& loop, WriteStatus write_status)
        : loop_(loop), write_status_(std::move(write_status)) {}
    ~DurableReplies();
    DurableReplies(const DurableReplies&) = delete;
    DurableReplies& operator=(const DurableReplies&) = delete;

    // Returns the reply if it can be sent at once. No value: `respond_later` is called with it within
    // `max_wait`.
    std::optional<admin::ApiReply> reply_when_durable(admin::ApiReply reply,
                                                      const admin_server::DeferredReply& respond_later,
                                                      base::Micros max_wait = kDiskTimeout);
    void on_write_finished();  // a write has ended

  private:
    struct PendingReply {
        admin::ApiReply reply;
        admin_server::DeferredReply respond_later;
        base::TimerQueue::Key timeout;
    };
    admin::ApiReply with_warning(admin::ApiReply reply) const;
    void send_reply(std::uint64_t number);

    net::Loop& loop_;
    WriteStatus write_status_;
    std::map<std::uint64_t, PendingReply> pending_;  // bounded by the connection limit of the admin server
    std::uint64_t next_number_ = 0;
};

}  // namespace sumackeel::daemon
