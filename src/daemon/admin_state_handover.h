// Shares the administrative state (bans and drain) with the other processes of this proxy: takes over that of
// those before it, follows the calls that they get, and keeps its own for them and for the next one.
//
// Guarantees: once a call is kept, it is in force in every process that runs or is started later until a
// later call replaces it, whichever process gets that. A call is kept once it is on disk and no record of
// another process has a later version. The loop never waits for the disk; what fails is tried again.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/handover_record.h"
#include "admin/state.h"
#include "daemon/handover_directory.h"
#include "net/background_task.h"
#include "net/loop.h"

namespace sumackeel::daemon {

class AdminStateHandover {
  public:
    struct Hooks {
        std::function<void()> taken;     // what was handed over is part of the state now
        std::function<void()> followed;  // a call to another process has changed the state
    };

    // An empty path: nothing is taken over or kept.
    AdminStateHandover(net::Loop& loop, admin::State& state, std::string path, Hooks hooks);
    ~AdminStateHandover();
    AdminStateHandover(const AdminStateHandover&) = delete;
    AdminStateHandover& operator=(const AdminStateHandover&) = delete;

    // Reads before take(), which then has nothing to wait for.
    void read_ahead();
    // Reads what was handed over, until then at the longest. `follows`: other processes may run beside this
    // one at any time, and what they are called for is followed.
    void take(base::Micros until, bool follows);
    // Nothing is taken over any more, where it was not yet; calls to other processes are followed on.
    void cancel_take() { taken_ = true; }

    // A call has set this; also one that changed nothing is kept.
    void keep_ban(const std::string& id);
    void keep_drain();
    // Nobody has called for it since, as far as the other processes know.
    bool has_word_on_ban(const std::string& id) const { return record_.knows_ban(id); }
    bool has_word_on_drain() const { return record_.knows_drain(); }
    // What this process knows from elsewhere.
    void add_ban(const std::string& id) { record_.add_ban(id); }
    void add_drain() { record_.add_drain(); }

    // Called after each pass over the disk, failed or not.
    void on_pass_finished(std::function<void()> callback) { pass_finished_ = std::move(callback); }
    bool has_unkept() const { return used() && record_.has_unconfirmed(); }
    // A call is not kept yet, and nothing has failed.
    bool outcome_unknown() const { return has_unkept() && last_error_.empty(); }
    std::string unkept_reason() const;  // why a call is not kept yet; empty: all are
    base::Micros pass_running_for() const { return passes_.running_for(); }
    bool disk_busy() const { return passes_.busy(); }

  private:
    bool used() const { return !path_.empty(); }
    void call_made();
    void start_pass();
    bool reads_before_writing() const;
    HandoverPass next_pass();
    void on_pass_done(const HandoverPass& pass, const HandoverScan& scan);
    void on_pass_failed(const HandoverPass& pass, const std::string& error);
    void merge(const HandoverScan& scan);
    bool merge_legacy(const std::string& text);
    void on_legacy_written(const std::string& text);
    void finish_take();
    void schedule_next_pass();
    std::optional<base::Micros> next_pass_delay() const;
    bool legacy_copy_outdated() const;

    net::Loop& loop_;
    admin::State& state_;
    const std::string path_;
    const Hooks hooks_;
    std::shared_ptr<HandoverDirectory> directory_;  // shared with the thread that makes a pass
    net::BackgroundTask passes_;
    std::function<void()> pass_finished_;
    admin::HandoverRecord record_;
    std::string legacy_copy_;                 // as this process last wrote it
    std::string ignored_legacy_text_;         // can't be decoded, and is in the log
    std::vector<std::string> ended_writers_;  // merged; their files may go once the record is written
    std::string last_error_;                  // of the last pass; empty: it succeeded
    const base::Micros started_at_;
    base::Micros read_at_ = 0;  // the files of the others were read then, or were unchanged
    std::optional<base::TimerQueue::Key> take_deadline_;
    std::optional<base::TimerQueue::Key> pass_timer_;
    bool follows_ = false;
    bool has_running_writers_ = false;
    bool taking_ = false;              // take() was called
    bool taken_ = false;               // what was handed over, or that it can't be read
    bool read_once_ = false;           // a pass has read the files of the others
    bool dirty_ = false;               // the record is to be written
    bool read_since_call_ = false;     // a pass that reads has begun behind the newest call
    bool has_unwritten_call_ = false;  // as the record has a call that no pass has begun to write
};

}  // namespace sumackeel::daemon
