// Shares the administrative state (bans and drain) with the other processes of this proxy: takes over the
// state of earlier processes, follows the calls that other processes receive, and stores its own for them and
// for the next process.
//
// Guarantees: once a call is confirmed, it is in force in every process that runs or is started later until a
// later call replaces it, whichever process receives that one. A call is confirmed once it is on disk and no
// record of another process has a later version. The loop never waits for the disk; failed passes are
// retried.
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
        std::function<void()> taken_over;  // the handed-over state was adopted
        std::function<void()> followed;    // a call to another process has changed the state
    };

    // With an empty path no state is taken over or stored.
    AdminStateHandover(net::Loop& loop, admin::State& state, std::string path, Hooks hooks);
    ~AdminStateHandover();
    AdminStateHandover(const AdminStateHandover&) = delete;
    AdminStateHandover& operator=(const AdminStateHandover&) = delete;

    // Reads before take_over(), which then does not have to wait.
    void read_ahead();
    // Reads the handed-over state, waiting until `until` at most. `follows`: other processes may run beside
    // this one at any time, and the calls to them are applied here too.
    void take_over(base::Micros until, bool follows);
    // Takes no state over if that has not happened yet; calls to other processes are still followed.
    void cancel_take_over() { taken_over_ = true; }

    // Records what a call has set, even if it changed nothing.
    void record_ban(const std::string& id);
    void record_drain();
    // Whether any process has recorded a call for it.
    bool knows_ban(const std::string& id) const { return record_.knows_ban(id); }
    bool knows_drain() const { return record_.knows_drain(); }
    // Adds state that this process knows from another source.
    void add_ban(const std::string& id) { record_.add_ban(id); }
    void add_drain() { record_.add_drain(); }

    // Called after each pass over the disk, failed or not.
    void on_pass_finished(std::function<void()> callback) { pass_finished_ = std::move(callback); }
    bool has_unconfirmed_calls() const { return is_enabled() && record_.has_unconfirmed(); }
    // A call is not confirmed yet, and the last pass did not fail.
    bool outcome_unknown() const { return has_unconfirmed_calls() && last_error_.empty(); }
    std::string unconfirmed_reason() const;  // why a call is not confirmed yet; empty: all are
    base::Micros pass_running_for() const { return passes_.running_for(); }
    bool disk_busy() const { return passes_.busy(); }

  private:
    bool is_enabled() const { return !path_.empty(); }
    void on_call_recorded();
    void start_pass();
    bool must_read_before_writing() const;
    HandoverPass next_pass();
    void on_pass_done(const HandoverPass& pass, const HandoverScan& scan);
    void on_pass_failed(const HandoverPass& pass, const std::string& error);
    void merge(const HandoverScan& scan);
    bool merge_legacy(const std::string& text);
    void on_legacy_written(const std::string& text);
    void finish_take_over();
    void schedule_next_pass();
    std::optional<base::Micros> next_pass_delay() const;
    bool legacy_copy_outdated() const;

    net::Loop& loop_;
    admin::State& state_;
    const std::string path_;
    const Hooks hooks_;
    std::shared_ptr<HandoverDirectory> directory_;  // shared with the thread that runs a pass
    net::BackgroundTask passes_;
    std::function<void()> pass_finished_;
    admin::HandoverRecord record_;
    std::string legacy_copy_;                 // as this process last wrote it
    std::string ignored_legacy_text_;         // could not be decoded, and was logged
    std::vector<std::string> ended_writers_;  // merged; their files are removed once the record is written
    std::string last_error_;                  // of the last pass; empty: it succeeded
    const base::Micros started_at_;
    base::Micros read_at_ = 0;  // when the files of the others were last read or found unchanged
    std::optional<base::TimerQueue::Key> take_over_deadline_;
    std::optional<base::TimerQueue::Key> pass_timer_;
    bool follows_ = false;
    bool has_running_writers_ = false;
    bool take_over_started_ = false;   // take_over() was called
    bool taken_over_ = false;          // the state was adopted, or the attempt ended without it
    bool read_once_ = false;           // a pass has read the files of the others
    bool dirty_ = false;               // the record is to be written
    bool read_since_call_ = false;     // a pass that reads has begun after the newest call
    bool has_unwritten_call_ = false;  // the record has a call that no pass has begun to write
};

}  // namespace sumackeel::daemon
