// Writes the endpoint list to disk while the program runs: snapshots are taken on the loop, and encoded and
// written in libuv's thread pool, one at a time at a limited rate. A disk that is full, slow, read-only or
// gone causes one log line when the failure begins and one when it ends, and never fails a request.
#pragma once

#include <uv.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/timer_queue.h"
#include "endpoint_snapshot/snapshot_directory.h"
#include "net/loop.h"

namespace sumackeel::endpoint_snapshot {

using base::Micros;

struct WriteSchedule {
    Micros save_every = 500'000;       // minimum time between the starts of two writes
    Micros refresh = 2'000'000;        // interval of writes for a confirmed, unchanged list
    Micros longest_wait = 60'000'000;  // after failures the wait doubles from save_every up to this
};

// Counts since the start of the process.
struct WriterMetrics {
    std::uint64_t written = 0, failed = 0, bytes = 0;
    std::uint64_t generation = 0;  // on disk
    Micros longest_snapshot = 0;   // longest time that taking one blocked the loop
    std::string last_fault;        // empty: the last write succeeded
};

class SnapshotWriter {
  public:
    using TakeSnapshot = std::function<endpoints::Snapshot()>;

    // `take` is called on the loop.
    SnapshotWriter(net::Loop& loop, std::string folder, endpoints::NameTables names, WriteSchedule schedule,
                   TakeSnapshot take);
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter&) = delete;
    SnapshotWriter& operator=(const SnapshotWriter&) = delete;

    // Passes the generations found in the folder. Nothing is written before this call.
    void start_after(std::uint64_t generation, std::uint64_t good_generation);
    void on_changed();  // the endpoints have changed
    // The list was confirmed: written at least every WriteSchedule::refresh.
    void on_confirmed();
    void flush();  // writes pending changes now, unless a write is running or the last one failed
    bool writing() const { return job_ != nullptr; }
    const WriterMetrics& metrics() const { return metrics_; }

  private:
    struct Job;
    void schedule_write();
    void start_write(Micros now);
    void on_write_done(const std::string& fault, std::uint64_t generation, std::size_t bytes);

    net::Loop& loop_;
    SnapshotDirectory folder_;
    endpoints::NameTables names_;
    WriteSchedule schedule_;
    TakeSnapshot take_snapshot_;
    WriterMetrics metrics_;
    Job* job_ = nullptr;  // owned by the pool until it has finished
    bool ready_ = false, changed_ = false, confirmed_ = false;
    std::uint64_t next_generation_ = 1, good_generation_ = 0;
    int failures_ = 0;
    Micros started_at_ = 0;  // start of the last write
    std::optional<base::TimerQueue::Key> write_timer_;
};

// Locks and reads a folder in a separate thread, so that a disk that hangs does not block the program.
class SnapshotLoader {
  public:
    SnapshotLoader(std::string folder, endpoints::NameTables names, std::string site,
                   base::UnixTime wall_now);
    // Returns the result once; nothing while it is still reading, or when it was returned before.
    std::optional<LoadedSnapshot> take(std::chrono::milliseconds wait);

  private:
    struct Shared;
    std::shared_ptr<Shared> shared_;
};

}  // namespace sumackeel::endpoint_snapshot
