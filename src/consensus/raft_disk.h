// The disk of the raft library (its raft_io), so that the loop does not wait for it. The library writes each
// term and each vote before it goes on; here they are written on another thread, and what tells others of
// them, or stands on them in the log, is held until they are on disk.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/files.h"
#include "consensus/raft_library.h"
#include "net/background_task.h"
#include "net/loop.h"

namespace sumackeel::consensus {

class RaftDisk {
  public:
    // `failed`: told once, from the loop, with the library's status, when the log can't be written. It is to
    // be closed then.
    RaftDisk(net::Loop& loop, std::function<void(int status)> failed);
    RaftDisk(const RaftDisk&) = delete;
    RaftDisk& operator=(const RaftDisk&) = delete;

    // Of the folder that `lock` holds, which it does until nothing is written there any more. 0, or the
    // library's status.
    int open(const std::string& folder, raft_uv_transport* transport,
             std::unique_ptr<base::DirectoryLock> lock);
    raft_io* io() { return &state_->io; }
    // Something has been under way for longer than a disk that works takes.
    bool is_stuck() const;
    // After raft_close(): what is held is called off.
    void close();
    // The library has closed it, or never took it into use: the folder is given back, behind a write that is
    // still under way.
    void release();

  private:
    using Status = int;  // the library's; 0: done
    // What a write under way on another thread needs, also after its owner has gone.
    struct State {
        raft_io io{};  // the first member, by which the library's calls find the rest
        RaftDisk* owner = nullptr;
        std::unique_ptr<base::DirectoryLock> lock;
        ~State();
    };
    // What the library has told of itself and is in no write yet: a vote counts in its term alone.
    struct Ballot {
        std::optional<raft_term> term;
        std::optional<raft_id> vote;
        bool empty() const { return !term && !vote; }
    };
    struct Held {
        std::function<Status()> carry_out;
        std::function<void(Status)> give_up;
    };
    struct Append;

    static RaftDisk& of(raft_io* io);
    void replace_calls();
    void write_ballot();
    void ballot_written(Status status);
    Status send(raft_io_send* request, const raft_message& message, raft_io_send_cb done);
    Status append(raft_io_append* request, const raft_entry* entries, unsigned count, raft_io_append_cb done);
    Status append_now(raft_io_append* request, const raft_entry* entries, unsigned count,
                      raft_io_append_cb done);
    void appended(const Append& append, Status status);
    Status truncate(raft_index index);
    Status put_snapshot(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot* snapshot,
                        raft_io_snapshot_put_cb done);
    bool holds() const { return failed_ || writes_.busy() || !held_.empty(); }
    void release_held();
    void fail(Status status);

    net::Loop& loop_;
    std::function<void(int status)> tell_failed_;
    std::shared_ptr<State> state_;
    raft_io real_{};  // the library's own calls
    net::BackgroundTask writes_;
    Ballot unwritten_;
    std::deque<Held> held_;
    int appends_ = 0;             // under way
    net::Micros progressed_ = 0;  // when the first of those began, or the last of others ended
    bool failed_ = false, closed_ = false;
};

}  // namespace sumackeel::consensus
