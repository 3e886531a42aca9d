// Keeps a list on disk while the program runs: snapshots are taken on the loop, packed and written by libuv's
// pool, one at a time and not too often. A disk that is full, slow, read-only or gone costs one line in the
// log when it begins and one when it ends, and never a request.
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
    Micros save_every = 500'000;       // least time from one write's start to the next
    Micros refresh = 2'000'000;        // written this often though nothing changed
    Micros longest_wait = 60'000'000;  // after failures in a row; doubled from save_every up to this
};

// Counted since the start.
struct WriterMetrics {
    std::uint64_t written = 0, failed = 0, bytes = 0;
    std::uint64_t generation = 0;  // on disk
    Micros longest_snapshot = 0;   // that the loop was held by taking one
    std::string last_fault;        // empty: the last write went well
};

class SnapshotWriter {
  public:
    using TakeSnapshot = std::function<endpoints::Snapshot()>;

    // `take` is called on the loop. `found`: what the folder held at the start.
    SnapshotWriter(net::Loop& loop, std::string folder, endpoints::NameTables names, WriteSchedule pace,
                   TakeSnapshot take);
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter&) = delete;
    SnapshotWriter& operator=(const SnapshotWriter&) = delete;

    // The generations that are there. Nothing is written before this was told.
    void start_after(std::uint64_t generation, std::uint64_t good);
    void on_changed();  // something worth keeping is new
    // The list was confirmed: worth a write every Pace::refresh.
    void on_confirmed();
    void flush();  // as soon as the disk allows
    bool writing() const { return job_ != nullptr; }
    const WriterMetrics& metrics() const { return metrics_; }

  private:
    struct Job;
    void look();
    void start(Micros now);
    void done(const std::string& fault, std::uint64_t generation, std::size_t bytes);

    net::Loop& loop_;
    SnapshotDirectory folder_;
    endpoints::NameTables names_;
    WriteSchedule pace_;
    TakeSnapshot take_;
    WriterMetrics metrics_;
    Job* job_ = nullptr;  // its own until the pool has done with it
    bool ready_ = false, changed_ = false, confirmed_ = false;
    std::uint64_t next_ = 1, good_ = 0;
    int failures_ = 0;
    Micros started_ = 0;  // the last write
    std::optional<base::TimerQueue::Key> next_start_;
};

// Locks and reads a folder in a thread of its own, so that a disk that hangs holds nobody up.
class SnapshotLoader {
  public:
    SnapshotLoader(std::string folder, endpoints::NameTables names, std::string site,
                   base::UnixTime wall_now);
    // What was found, once; nothing while it still reads, or when it was taken before.
    std::optional<LoadedSnapshot> take(std::chrono::milliseconds wait);

  private:
    struct Shared;
    std::shared_ptr<Shared> shared_;
};

}  // namespace sumackeel::endpoint_snapshot
