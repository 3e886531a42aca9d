#include "daemon/admin_state_handover.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/log.h"

namespace sumackeel::daemon {

using base::Micros;

namespace {

// A call to another process is in force here within a second.
constexpr Micros kFollowInterval = 200'000;
constexpr Micros kMaxReadAheadAge = 2 * kFollowInterval;
constexpr Micros kReadRetryDelay = 20'000;  // while startup waits for it
constexpr Micros kRetryInterval = 100'000;
// An older reading does not confirm a call: this process was suspended, and others may have written since.
constexpr Micros kMaxReadingAge = 100'000;
// A file that can't be read for this long is skipped.
constexpr Micros kUnreadableTimeout = 10'000'000;
// Operators call the previous process until the platform knows that this one is ready; the previous one is
// killed at most 6 s plus 3.7 s later. If it is of an earlier version, it reads the legacy file until then.
constexpr Micros kLegacyReadDuration = 10'000'000;

std::uint64_t random_writer() {
    std::random_device device;
    const std::uint64_t high = device();
    const std::uint64_t writer = high << 32U | device();
    return std::max<std::uint64_t>(1, writer);  // 0 stands for earlier versions
}

Micros steady_now() {
    return static_cast<Micros>(uv_hrtime() / 1000);
}

}  // namespace

AdminStateHandover::AdminStateHandover(net::Loop& loop, admin::State& state, std::string path, Hooks hooks)
    : loop_(loop),
      state_(state),
      path_(std::move(path)),
      hooks_(std::move(hooks)),
      passes_(loop),
      record_(random_writer()),
      started_at_(loop.clock().now()) {
    directory_ = std::make_shared<HandoverDirectory>(path_, record_.writer());
}

AdminStateHandover::~AdminStateHandover() {
    if (take_over_deadline_) loop_.timers().cancel(*take_over_deadline_);
    if (pass_timer_) loop_.timers().cancel(*pass_timer_);
}

// --- Taking over ---

void AdminStateHandover::read_ahead() {
    if (is_enabled() && !passes_.busy()) start_pass();
}

// Waits for an unreadable file: if a temporary read error counted as a missing file, its bans would be lost.
void AdminStateHandover::take_over(Micros until, bool follows) {
    follows_ = follows;
    take_over_started_ = true;
    const bool is_fresh = read_once_ && loop_.clock().now() - read_at_ <= kMaxReadAheadAge;
    if (!is_enabled() || is_fresh) return finish_take_over();
    take_over_deadline_ = loop_.timers().schedule(until, [this] {
        take_over_deadline_.reset();
        finish_take_over();
    });
    if (!passes_.busy()) start_pass();
}

void AdminStateHandover::finish_take_over() {
    if (std::exchange(taken_over_, true)) return;
    if (take_over_deadline_) loop_.timers().cancel(*take_over_deadline_);
    take_over_deadline_.reset();
    state_.on_started();
    if (!record_.empty()) {
        state_.adopt(record_.state());
        log::info("handover: state_adopted bans={} phase={}", state_.bans().size(),
                  admin::name_of(state_.phase()));
    }
    hooks_.taken_over();
    if (is_enabled() && !passes_.busy()) schedule_next_pass();
}

// --- Calls ---

void AdminStateHandover::record_ban(const std::string& id) {
    record_.set_banned(id, state_.is_banned(id));
    on_call_recorded();
}

void AdminStateHandover::record_drain() {
    record_.set_draining(state_.drain_requested());
    on_call_recorded();
}

void AdminStateHandover::on_call_recorded() {
    dirty_ = true;
    has_unwritten_call_ = true;
    read_since_call_ = false;
    if (is_enabled() && !passes_.busy()) start_pass();
}

std::string AdminStateHandover::unconfirmed_reason() const {
    if (!has_unconfirmed_calls()) return {};
    if (!last_error_.empty()) return "hand-over: " + last_error_;
    return read_once_ ? "hand-over: the disk has not answered yet" : "hand-over: not read yet";
}

// --- Passes over the disk ---

// The records of the others are read before a call is written: a call written with a version lower than an
// existing one would have to be written again.
bool AdminStateHandover::must_read_before_writing() const {
    const bool others_may_write = follows_ || has_running_writers_ || !read_once_;
    return has_unwritten_call_ && others_may_write && !read_since_call_;
}

HandoverPass AdminStateHandover::next_pass() {
    HandoverPass pass;
    if (dirty_ && !must_read_before_writing()) {
        pass.own_text = record_.encode();
        pass.ended_writers = ended_writers_;
    } else if (!dirty_ && !record_.has_unconfirmed() && legacy_copy_outdated()) {
        pass.legacy_text = admin::encode_legacy_copy(record_.state());
    }
    pass.read_always = dirty_ || record_.has_unconfirmed() || !read_once_;
    pass.skip_unreadable = loop_.clock().now() - started_at_ >= kUnreadableTimeout;
    return pass;
}

void AdminStateHandover::start_pass() {
    if (pass_timer_) loop_.timers().cancel(*pass_timer_);
    pass_timer_.reset();
    const HandoverPass pass = next_pass();
    if (!pass.own_text.empty()) {
        dirty_ = false;
        has_unwritten_call_ = false;
    }
    read_since_call_ = true;
    const auto scan = std::make_shared<HandoverScan>();
    passes_.run([directory = directory_, pass, scan] { *scan = directory->run(pass); },
                [this, pass, scan] { on_pass_done(pass, *scan); });
}

void AdminStateHandover::on_pass_done(const HandoverPass& pass, const HandoverScan& scan) {
    if (!scan.error.empty()) {
        on_pass_failed(pass, scan.error);
    } else {
        if (!std::exchange(last_error_, {}).empty()) log::info("handover: pass succeeded again");
        if (!pass.own_text.empty()) ended_writers_.clear();
        if (scan.legacy_written) on_legacy_written(pass.legacy_text);
        if (scan.was_read) merge(scan);
        read_at_ = loop_.clock().now();
        if (!has_unwritten_call_ && scan.was_read && steady_now() - scan.read_at <= kMaxReadingAge)
            record_.confirm();
        if (take_over_started_ && read_once_) finish_take_over();
    }
    log::debug(
        "handover: pass done took_us={} own_bytes={} read={} records={} ended={} unconfirmed={} error={}",
        passes_.last_duration(), pass.own_text.size(), scan.was_read, scan.records.size(),
        scan.ended_writers.size(), record_.has_unconfirmed(), scan.error);
    if (pass_finished_) pass_finished_();
    if (!passes_.busy()) schedule_next_pass();
}

void AdminStateHandover::on_pass_failed(const HandoverPass& pass, const std::string& error) {
    if (last_error_.empty()) log::warn("handover: pass failed, retrying error={}", error);
    last_error_ = error;
    read_since_call_ = false;
    if (pass.own_text.empty()) return;
    dirty_ = true;
    has_unwritten_call_ = record_.has_unconfirmed();
}

void AdminStateHandover::merge(const HandoverScan& scan) {
    read_once_ = true;
    has_running_writers_ = scan.has_running_writers;
    const admin::State before = record_.state();
    bool reasserted = false;
    for (const admin::HandoverRecord& other : scan.records)
        reasserted = record_.merge(other).reasserted || reasserted;
    if (reasserted) log::info("handover: call reasserted reason=another process was called meanwhile");
    const bool legacy_changed = !scan.legacy_text.empty() && merge_legacy(scan.legacy_text);
    ended_writers_ = scan.ended_writers;
    has_unwritten_call_ = has_unwritten_call_ || reasserted;
    dirty_ = dirty_ || reasserted || legacy_changed || !ended_writers_.empty();
    const admin::State after = record_.state();
    if (!taken_over_ || after == before) return;
    state_.apply_difference(before, after);
    log::info("handover: state_followed bans={} phase={}", state_.bans().size(),
              admin::name_of(state_.phase()));
    hooks_.followed();
}

// Returns whether the record has changed.
bool AdminStateHandover::merge_legacy(const std::string& text) {
    const admin::DecodedState legacy = admin::decode_state(text);
    if (!legacy.state) {
        if (text != ignored_legacy_text_)
            log::warn("handover: file_ignored path={} reason={}", path_, legacy.error);
        ignored_legacy_text_ = text;
        return false;
    }
    return record_.merge_legacy(*legacy.state);
}

// --- The file for processes of earlier versions ---

bool AdminStateHandover::legacy_copy_outdated() const {
    return taken_over_ && !record_.empty() && loop_.clock().now() - started_at_ >= kLegacyReadDuration &&
           admin::encode_legacy_copy(record_.state()) != legacy_copy_;
}

void AdminStateHandover::on_legacy_written(const std::string& text) {
    legacy_copy_ = text;
    if (const admin::DecodedState written = admin::decode_state(text); written.state)
        record_.set_legacy(*written.state);
    dirty_ = true;
}

// --- When the next pass is due ---

std::optional<Micros> AdminStateHandover::next_pass_delay() const {
    if (!last_error_.empty()) return take_over_started_ && !taken_over_ ? kReadRetryDelay : kRetryInterval;
    if (dirty_ || record_.has_unconfirmed()) return 0;
    if (follows_ || has_running_writers_ || !taken_over_) return kFollowInterval;
    const Micros age = loop_.clock().now() - started_at_;
    if (taken_over_ && !record_.empty() && age < kLegacyReadDuration) return kLegacyReadDuration - age;
    if (legacy_copy_outdated()) return kFollowInterval;
    return std::nullopt;
}

void AdminStateHandover::schedule_next_pass() {
    if (pass_timer_) loop_.timers().cancel(*pass_timer_);
    pass_timer_.reset();
    const std::optional<Micros> delay = next_pass_delay();
    if (!delay) return;
    pass_timer_ = loop_.timers().schedule(loop_.clock().now() + *delay, [this] {
        pass_timer_.reset();
        if (!passes_.busy()) start_pass();
    });
}

}  // namespace sumackeel::daemon
