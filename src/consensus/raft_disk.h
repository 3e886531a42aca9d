// The disk of the raft library (its raft_io), so that the loop does not wait for it. The library writes each
// term and each vote before it goes on; here they are written on another thread, and the messages and log
// entries that depend on them are deferred until they are on disk.
//
// An append or a snapshot of the leader's counts as done once the position that it brings the log to is
// recorded too. A log that ends before that position when it is loaded has lost entries that this voter
// acknowledged: until a leader has sent it as much, it grants no vote and asks for none.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/files.h"
#include "consensus/acknowledgement_recorder.h"
#include "consensus/raft_library.h"
#include "net/background_task.h"
#include "net/loop.h"

namespace sumackeel::consensus {

class RaftDisk {
  public:
    // `on_failed` is called once, from the loop, with the library's status, when the log can't be written. It
    // is to be closed then.
    RaftDisk(net::Loop& loop, AcknowledgementFile acknowledgement_file,
             std::function<void(int status)> on_failed);
    ~RaftDisk() = default;
    RaftDisk(const RaftDisk&) = delete;
    RaftDisk& operator=(const RaftDisk&) = delete;

    // Keeps `lock`, of that directory, until nothing is written there any more. 0, or the library's status.
    int open(const std::string& folder, raft_uv_transport* transport,
             std::unique_ptr<base::DirectoryLock> lock);
    raft_io* io() { return &state_->io; }
    // Of the log; to be called before it is loaded.
    void set_history(std::uint64_t history) { history_ = history; }
    // Its files could not be read; to be asked once the library has failed to start.
    bool load_failed() const { return load_failed_; }
    // Once it is loaded: puts on disk how far it goes, unless it is behind what was acknowledged. Blocks on
    // the disk. Empty, or the error.
    std::string record_loaded() const { return recorder_.record_loaded(); }
    // A write has been under way for longer than a disk that works takes.
    bool is_stuck() const;
    // After raft_close(): cancels the deferred operations.
    void close();
    // The library has closed it, or never took it into use: the lock is released, once a write that is still
    // under way has ended.
    void release();

  private:
    using Status = int;  // the library's; 0: done
    // What a write under way on another thread needs, also after the end of its owner.
    struct State {
        raft_io io{};  // the first member, by which the library's calls find the rest
        RaftDisk* owner = nullptr;
        std::unique_ptr<base::DirectoryLock> lock;
        State() = default;
        ~State();
        State(const State&) = delete;
        State& operator=(const State&) = delete;
    };
    // Of the library, and in no write yet. A vote counts in its term alone.
    struct Ballot {
        std::optional<raft_term> term;
        std::optional<raft_id> vote;
        bool empty() const { return !term && !vote; }
    };
    struct DeferredOperation {
        std::function<Status()> run;
        std::function<void(Status)> fail;
    };
    struct Append;
    struct SnapshotPut;

    static RaftDisk& of(raft_io* io);
    void replace_calls();
    Status load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                raft_entry** entries, std::size_t* count);
    void write_ballot();
    void on_ballot_written(Status status);
    Status send(raft_io_send* request, const raft_message& message, raft_io_send_cb done);
    Status append(raft_io_append* request, const raft_entry* entries, unsigned count, raft_io_append_cb done);
    Status append_now(raft_io_append* request, const raft_entry* entries, unsigned count,
                      raft_io_append_cb done);
    void on_appended(const Append& append, Status status);
    Status truncate(raft_index index);
    Status truncate_now(raft_index index);
    Status put_snapshot(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot* snapshot,
                        raft_io_snapshot_put_cb done);
    Status put_snapshot_now(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot* snapshot,
                            raft_io_snapshot_put_cb done);
    Status send_now(raft_io_send* request, const raft_message& message, raft_io_send_cb done);
    bool must_defer() const { return failed_ || ballot_writer_.busy() || !deferred_.empty(); }
    void run_deferred();
    void fail(Status status);

    net::Loop& loop_;
    std::function<void(int status)> on_failed_;
    std::shared_ptr<State> state_;
    raft_io library_calls_{};
    net::BackgroundTask ballot_writer_;
    Ballot unwritten_ballot_;
    std::deque<DeferredOperation> deferred_;
    AcknowledgementRecorder recorder_;
    std::uint64_t history_ = 0;
    raft_index last_index_ = 0;  // of the log, with all that was handed to the library
    bool load_failed_ = false;
    int appends_in_flight_ = 0;
    net::Micros last_progress_at_ = 0;  // the first of those began, or an earlier one ended
    bool failed_ = false;
    bool closed_ = false;
};

}  // namespace sumackeel::consensus
