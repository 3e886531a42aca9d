// Reports a log write of a voter as done only once the resulting log position is on disk too. This makes it
// possible to distinguish a log that has lost acknowledged entries from one whose last write was cut off.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "consensus/acknowledged_position.h"
#include "net/background_task.h"
#include "net/loop.h"

namespace sumackeel::consensus {

class AcknowledgementRecorder {
  public:
    using Status = int;  // a status code of the raft library; 0 is success
    // A write that is on disk.
    struct FinishedWrite {
        LogPosition end;  // the end of the log after this write
        std::function<void(Status)> report;
    };

    // `on_failed` is called once, from the loop, if a position can't be written.
    AcknowledgementRecorder(net::Loop& loop, AcknowledgementFile file, std::function<void()> on_failed)
        : file_(std::move(file)), on_failed_(std::move(on_failed)), writer_(loop) {}

    // To be called when the log of this history has been loaded and ends at `last`. Blocks on disk I/O.
    // Writes hold `lock`.
    void on_loaded(std::uint64_t history, LogPosition last, std::shared_ptr<void> lock);
    // Writes the end of the loaded log to disk unless the log is behind. Blocks on disk I/O. Returns an empty
    // string or the error.
    std::string record_loaded() const;
    // True if the log ends before the acknowledged position: entries that may be committed are missing.
    bool is_behind() const { return behind_; }
    // To be called in log order.
    void add(FinishedWrite write);
    // Reports all unreported writes with this status and stops writing positions.
    void cancel(Status status);
    bool is_stuck() const { return writer_.is_stuck(); }

  private:
    void write();
    void on_written(std::size_t count, const std::string& error);
    void report(std::size_t count);

    const AcknowledgementFile file_;
    std::function<void()> on_failed_;
    net::BackgroundTask writer_;
    std::shared_ptr<void> lock_;
    AcknowledgedPosition acknowledged_;  // on disk, or being written
    std::deque<FinishedWrite> finished_;
    bool behind_ = false;
    bool stopped_ = false;
};

}  // namespace sumackeel::consensus
