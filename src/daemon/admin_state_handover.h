// Takes over the board (bans and drain) of the process before this one, and keeps this one's for the next, in
// the hand-over file.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "admin/state.h"
#include "daemon/handover_file.h"
#include "net/loop.h"

namespace sumackeel::daemon {

class AdminStateHandover {
  public:
    struct Hooks {
        // What was handed over is on the board now. `owed`: a call came before, and the board is to be kept.
        std::function<void(bool owed)> taken;
        std::function<void()> followed;  // the board took up a call to the process before
        std::function<void()> owed;      // the board is to be kept
    };

    // An empty path: nothing is taken over or kept.
    AdminStateHandover(net::Loop& loop, admin::State& board, std::string path, Hooks hooks);

    // Reads what was handed over, until then at the longest. `follows`: the process before this one goes on
    // for a while, and what it is told meanwhile is looked for.
    void take(base::Micros until, bool follows);
    // The board as it stands now is owed to the next process.
    void keep();
    void end() { ended_ = true; }  // nothing more is taken over

    net::LatestValueWriter& disk() { return file_.disk(); }
    bool disk_busy() const { return file_.disk_busy(); }
    bool waits_to_be_read() const { return called_early_; }  // nothing is written over what is not read

  private:
    void read();
    void took(const std::optional<std::string>& text);
    void follow(base::Micros until);
    void followed(const std::string& text);
    void heard_from_before(const std::string& text);
    void give_up_reading();
    std::optional<admin::State> board_in(const std::string& text) const;
    void write();

    net::Loop& loop_;
    admin::State& state_;
    const std::string path_;
    const Hooks hooks_;
    HandoverFile file_;
    admin::State before_;  // of the process before this one, as last told
    std::string text_before_, own_text_;
    std::uint64_t own_texts_ = 0;                    // written so far
    std::optional<base::TimerQueue::Key> patience_;  // when the first read is no longer waited for
    bool follows_ = false;
    bool taken_ = false;         // what was handed over, or that there was nothing
    bool read_ = false;          // until then nothing is written over it
    bool called_early_ = false;  // the board was changed before that
    bool ended_ = false;
};

}  // namespace sumackeel::daemon
