#include "daemon/admin_state_handover.h"

#include <utility>

#include "base/log.h"

namespace sumackeel::daemon {

using base::Micros;

namespace {

// Operators call the process before this one until the platform knows that this one is ready; it is killed
// at most 6 s plus 3.7 s later. Its file shows what it was called for meanwhile.
constexpr Micros kFollowDuration = 10'000'000;
constexpr Micros kFollowInterval = 100'000;
constexpr Micros kReadRetryDelay = 20'000;

}  // namespace

AdminStateHandover::AdminStateHandover(net::Loop& loop, admin::State& board, std::string path, Hooks hooks)
    : loop_(loop), state_(board), path_(std::move(path)), hooks_(std::move(hooks)), file_(loop, path_) {}

void AdminStateHandover::take(Micros until, bool follows) {
    follows_ = follows;
    patience_ = loop_.timers().schedule(until, [this] { took(std::nullopt); });
    read();
}

// Treated as missing, a file that can't be read for a moment would lose its bans.
void AdminStateHandover::read() {
    file_.read([this](const std::optional<std::string>& text) {
        if (text) return took(text);
        if (ended_ || taken_) return;
        loop_.timers().schedule(loop_.clock().now() + kReadRetryDelay, [this] { read(); });
    });
}

// Nothing: it could not be read in time, and is looked for further on.
void AdminStateHandover::took(const std::optional<std::string>& text) {
    if (ended_ || std::exchange(taken_, true)) return;
    read_ = text.has_value();
    if (patience_) loop_.timers().cancel(*patience_);
    state_.on_started();
    text_before_ = text.value_or("");
    if (auto before = board_in(text_before_)) {
        state_.adopt(*before);
        before_ = *before;
        log::info("handover: state_adopted bans={} phase={}", state_.bans().size(),
                  admin::name_of(state_.phase()));
    }
    if ((follows_ || !text) && file_.used()) follow(loop_.clock().now() + kFollowDuration);
    hooks_.taken(read_ && std::exchange(called_early_, false));
}

// A call that the process before this one takes after its file was read here would be lost with it,
// and a pop cache taken out would go on being asked.
void AdminStateHandover::follow(Micros until) {
    if (ended_) return;
    if (loop_.clock().now() >= until) return give_up_reading();
    loop_.timers().schedule(loop_.clock().now() + kFollowInterval, [this, until] {
        // A text of our own that was replaced by a later write of ours is not the other process's.
        if (!file_.disk().has_unwritten())
            file_.read([this, written = own_texts_](const std::optional<std::string>& text) {
                if (text && written == own_texts_) followed(*text);
            });
        follow(until);
    });
}

void AdminStateHandover::followed(const std::string& text) {
    if (ended_) return;
    read_ = true;
    const bool early = std::exchange(called_early_, false);
    if (text != text_before_ && text != own_text_) return heard_from_before(text);
    if (early) return hooks_.owed();
    // The process before may have put its text over ours, late, from a disk that was slow.
    if (text != own_text_ && !own_text_.empty()) write();
}

void AdminStateHandover::heard_from_before(const std::string& text) {
    text_before_ = text;
    if (const auto told = board_in(text)) {
        state_.apply_difference(before_, *told);
        before_ = *told;
        log::info("handover: state_followed bans={} phase={}", state_.bans().size(),
                  admin::name_of(state_.phase()));
        hooks_.followed();
    }
    hooks_.owed();
}

// What is there can't be read at all: what was told since goes over it.
void AdminStateHandover::give_up_reading() {
    read_ = true;
    if (std::exchange(called_early_, false)) hooks_.owed();
}

std::optional<admin::State> AdminStateHandover::board_in(const std::string& text) const {
    if (text.empty()) return std::nullopt;
    admin::DecodedState read = admin::decode_state(text);
    if (!read.state) log::warn("handover: file_ignored path={} reason={}", path_, read.error);
    return std::move(read.state);
}

void AdminStateHandover::keep() {
    own_text_ = state_.encode();
    write();
}

void AdminStateHandover::write() {
    // Written now, the file would lose what the process before handed over and nobody has read yet.
    if (!read_) return void(called_early_ = true);
    ++own_texts_;
    file_.keep(own_text_);
}

}  // namespace sumackeel::daemon
