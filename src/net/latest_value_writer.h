// Keeps the newest of a series of texts on disk, off the loop: what was told is owed until it is there.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "net/background_task.h"

namespace sumackeel::net {

class LatestValueWriter {
  public:
    // Puts a text on disk, on another thread, and so holds nothing that dies with the owner. Empty: done;
    // else what went wrong.
    using Write = std::function<std::string(const std::string& text)>;

    // `name`: what is kept, for the log.
    LatestValueWriter(Loop& loop, std::string name, Write put);
    ~LatestValueWriter();
    LatestValueWriter(const LatestValueWriter&) = delete;
    LatestValueWriter& operator=(const LatestValueWriter&) = delete;

    // Takes the place of what is not on disk yet. A write that fails is tried again until it is done.
    void store(std::string text);
    // Called after each write, whether it went well or not.
    void on_write_finished(std::function<void()> what) { settled_ = std::move(what); }

    bool has_unwritten() const { return writes_.busy() || dirty_; }  // something is not on disk yet
    bool writing() const { return writes_.busy(); }
    bool outcome_unknown() const {
        return has_unwritten() && fault_.empty();
    }  // and no write of it has failed so far
    Micros write_running_for() const { return writes_.running_for(); }  // since the write under way began
    std::string unwritten_reason() const;  // why not all is on disk yet; empty: it is
    std::uint64_t written() const { return written_; }
    Micros longest_write() const { return longest_write_; }

  private:
    void write();
    void done(const std::string& fault);
    void try_later();

    Loop& loop_;
    std::string name_;
    Write put_;
    BackgroundTask writes_;
    std::function<void()> settled_;
    std::string text_, fault_;  // the newest, and how the last write failed
    bool dirty_ = false;        // the newest is in no write that is under way or done
    std::uint64_t written_ = 0;
    Micros longest_write_ = 0;
    std::optional<base::TimerQueue::Key> again_;
};

}  // namespace sumackeel::net
