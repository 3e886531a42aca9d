// Reports a write of a voter's log as done once the position that it brings the log to is on disk too, so
// that a log which has lost entries since is told from one whose last write was cut off.
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
    using Status = int;  // the raft library's; 0: done
    // A write that is on disk.
    struct FinishedWrite {
        LogPosition end;  // of the log behind it
        std::function<void(Status)> report;
    };

    // `on_failed` is called once, from the loop, when a position can't be written.
    AcknowledgementRecorder(net::Loop& loop, AcknowledgementFile file, std::function<void()> on_failed)
        : file_(std::move(file)), on_failed_(std::move(on_failed)), writer_(loop) {}

    // The log, of this history, was loaded and ends at `last`. Blocks on the disk. Writes hold `lock`.
    void on_loaded(std::uint64_t history, LogPosition last, std::shared_ptr<void> lock);
    // Puts on disk how far the loaded log goes, unless it is behind. Blocks on the disk. Empty, or the error.
    std::string record_loaded() const;
    // The log ends before what was acknowledged: entries that may be committed are missing.
    bool is_behind() const { return behind_; }
    // In the order of the log.
    void add(FinishedWrite write);
    // Reports all that was not reported with this status, and writes no more.
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
    AcknowledgedPosition acknowledged_;  // as it is on disk, or about to be
    std::deque<FinishedWrite> finished_;
    bool behind_ = false;
    bool stopped_ = false;
};

}  // namespace sumackeel::consensus
