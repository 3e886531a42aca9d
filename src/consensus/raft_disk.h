// Implements the raft library's disk interface (raft_io) without blocking the loop. The library itself writes
// each term and each vote synchronously; here they are written on another thread, and the messages and log
// entries that depend on them are deferred until they are on disk.
//
// An append, or a snapshot sent by the leader, is done only once the resulting log position is recorded too.
// A log that ends before the recorded position when it is loaded has lost entries that this voter
// acknowledged: the voter neither grants nor requests votes until a leader has sent the missing entries.
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
    // `on_failed` is called once, from the loop, with the library's status, if the log can't be written. The
    // caller must close the log then.
    RaftDisk(net::Loop& loop, AcknowledgementFile acknowledgement_file,
             std::function<void(int status)> on_failed);
    ~RaftDisk() = default;
    RaftDisk(const RaftDisk&) = delete;
    RaftDisk& operator=(const RaftDisk&) = delete;

    // Holds `lock`, the lock of `folder`, until the last write there has ended. Returns 0 or the library's
    // status.
    int open(const std::string& folder, raft_uv_transport* transport,
             std::unique_ptr<base::DirectoryLock> lock);
    raft_io* io() { return &state_->io; }
    // Sets the history of the log; to be called before the log is loaded.
    void set_history(std::uint64_t history) { history_ = history; }
    // True if the log's files could not be read; meaningful after the library has failed to start.
    bool load_failed() const { return load_failed_; }
    // After loading: writes the end of the log to disk unless the log is behind the acknowledged position.
    // Blocks on disk I/O. Returns an empty string or the error.
    std::string record_loaded() const { return recorder_.record_loaded(); }
    // True if the log lacks entries that this voter acknowledged.
    bool is_log_behind() const { return recorder_.is_behind(); }
    // True if a write has been in progress for longer than a working disk needs.
    bool is_stuck() const;
    // To be called after raft_close(): cancels the deferred operations.
    void close();
    // To be called once the library has closed its raft_io or if it never used it: releases the lock as soon
    // as a write that is still in progress has ended.
    void release();

  private:
    using Status = int;  // a status code of the library; 0 is success
    // What a write on another thread needs; it may outlive the owner.
    struct State {
        raft_io io{};  // must be the first member: the library's callbacks cast its address to State
        RaftDisk* owner = nullptr;
        std::unique_ptr<base::DirectoryLock> lock;
        State() = default;
        ~State();
        State(const State&) = delete;
        State& operator=(const State&) = delete;
    };
    // The term and vote (Raft's hard state) that the library has set and that no write covers yet. A vote is
    // only valid in its term.
    struct HardState {
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

    static RaftDisk& disk_of(raft_io* io);
    void replace_calls();
    Status load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                raft_entry** entries, std::size_t* count);
    void write_hard_state();
    void on_hard_state_written(Status status);
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
    bool must_defer() const { return failed_ || hard_state_writer_.busy() || !deferred_.empty(); }
    void run_deferred();
    void fail(Status status);

    net::Loop& loop_;
    std::function<void(int status)> on_failed_;
    std::shared_ptr<State> state_;
    std::string directory_;
    raft_io library_calls_{};
    net::BackgroundTask hard_state_writer_;
    HardState unwritten_hard_state_;
    std::deque<DeferredOperation> deferred_;
    AcknowledgementRecorder recorder_;
    std::uint64_t history_ = 0;
    raft_index last_index_ = 0;  // of the log, including everything passed to the library
    bool load_failed_ = false;
    int appends_in_flight_ = 0;
    net::Micros last_progress_at_ = 0;  // when the first append in flight began or the latest one ended
    bool failed_ = false;
    bool closed_ = false;
};

}  // namespace sumackeel::consensus
