// The files through which the processes of one proxy hand over operators' calls. Beside the legacy file PATH
// there is a directory PATH.d with one file per process, which only that process writes and which stays
// locked while the process lives. A process that has merged the file of an ended process removes it.
//
// Every file is replaced atomically and synced: a reader finds the old or the new content. All calls block on
// the disk and are made by one thread at a time.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "admin/handover_record.h"

namespace sumackeel::daemon {

// The steps of one pass, in this order.
struct HandoverPass {
    std::string own_text;                    // empty: the own file stays as it is
    std::vector<std::string> ended_writers;  // their files were merged into the own text
    std::string legacy_text;       // empty: the legacy file stays as it is; else written unless another did
    bool read_always = true;       // else only if something may have changed since the last pass
    bool skip_unreadable = false;  // a file that can't be read counts as empty
};

// The result of a pass.
struct HandoverScan {
    std::string error;            // empty: the pass succeeded
    bool legacy_written = false;  // false also if another process changed it
    bool was_read = false;        // the files of the others are below
    std::int64_t read_at = 0;     // when reading began, steady clock in microseconds
    std::vector<admin::HandoverRecord> records;
    std::string legacy_text;  // empty: none, or one that was written by this version
    std::vector<std::string> ended_writers;
    bool has_running_writers = false;  // besides this process
};

class HandoverDirectory {
  public:
    // `writer`: the number of this process; no other process has it.
    HandoverDirectory(std::string legacy_path, std::uint64_t writer);
    ~HandoverDirectory();
    HandoverDirectory(const HandoverDirectory&) = delete;
    HandoverDirectory& operator=(const HandoverDirectory&) = delete;

    HandoverScan run(const HandoverPass& pass);
    std::string own_path() const { return directory_ + '/' + own_name_; }

  private:
    // Changes whenever a file is replaced or removed.
    struct Signature {
        std::int64_t directory_changed_ns = 0;
        std::int64_t legacy_changed_ns = 0;
        std::uint64_t legacy_inode = 0;
        bool operator==(const Signature&) const = default;
    };
    enum class LockState { free, held, unknown };

    std::string write_own(const std::string& text);
    std::string lock_own();
    void remove_ended(const std::vector<std::string>& writers) const;
    std::string write_legacy(const std::string& text) const;
    Signature signature() const;
    bool may_have_changed();
    // Lists all processes that have a file here, except this one. Returns an error text; empty: success.
    std::string list(std::set<std::string>& writers) const;
    std::string read_others(const HandoverPass& pass, HandoverScan& scan);
    std::string read_writers(const std::set<std::string>& writers, const HandoverPass& pass,
                             HandoverScan& scan);
    std::string read_writer(const std::string& writer, const HandoverPass& pass, HandoverScan& scan);
    std::string read_legacy(const HandoverPass& pass, HandoverScan& scan);
    LockState lock_state(const std::string& writer) const;
    void report_ignored(const std::string& path, const std::string& reason);

    const std::string legacy_path_;
    const std::string directory_;
    const std::string own_name_;
    int lock_ = -1;
    Signature last_signature_;
    std::int64_t signature_seen_at_ = 0;  // steady clock in microseconds
    bool settled_ = false;                // the files were read well after their last change
    std::set<std::string> reported_;      // files that were ignored, for one log line each
};

}  // namespace sumackeel::daemon
