// Writes the newest of a series of texts to disk, on another thread than the loop, with retries until it
// succeeds.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "net/background_task.h"

namespace sumackeel::net {

class LatestValueWriter {
  public:
    // Writes a text to disk, on another thread, so it may reference nothing that dies with the owner. Empty:
    // done; else what went wrong.
    using Write = std::function<std::string(const std::string& text)>;

    // `name`: of what is written, for the log and for unwritten_reason().
    LatestValueWriter(Loop& loop, std::string name, Write write);
    ~LatestValueWriter();
    LatestValueWriter(const LatestValueWriter&) = delete;
    LatestValueWriter& operator=(const LatestValueWriter&) = delete;

    // Replaces what is not on disk yet. A write that fails is retried until it succeeds.
    void store(std::string text);
    // `callback` is called after each write, failed or not.
    void on_write_finished(std::function<void()> callback) { write_finished_ = std::move(callback); }

    bool has_unwritten() const { return writes_.busy() || dirty_; }  // the newest is not on disk yet
    bool writing() const { return writes_.busy(); }
    bool outcome_unknown() const {
        return has_unwritten() && last_error_.empty();
    }                                                                   // and no write of it has failed
    Micros write_running_for() const { return writes_.running_for(); }  // the write in progress; 0: none
    std::string unwritten_reason() const;  // why it is not on disk yet; empty: it is
    std::uint64_t written() const { return written_; }
    Micros longest_write() const { return longest_write_; }

  private:
    void start_write();
    void on_written(const std::string& error);
    void retry_later();

    Loop& loop_;
    std::string name_;
    Write write_;
    BackgroundTask writes_;
    std::function<void()> write_finished_;
    std::string text_;        // the newest
    std::string last_error_;  // of the last write; empty: it succeeded
    bool dirty_ = false;      // the newest is in no write that is in progress or done
    std::uint64_t written_ = 0;
    Micros longest_write_ = 0;
    std::optional<base::TimerQueue::Key> retry_timer_;
};

}  // namespace sumackeel::net
