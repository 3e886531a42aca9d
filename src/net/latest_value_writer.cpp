#include "net/latest_value_writer.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/log.h"

namespace sumackeel::net {

namespace {

constexpr Micros kRetryInterval = 100'000;  // us

}  // namespace

LatestValueWriter::LatestValueWriter(Loop& loop, std::string name, Write write)
    : loop_(loop), name_(std::move(name)), write_(std::move(write)), writes_(loop) {}

LatestValueWriter::~LatestValueWriter() {
    if (retry_timer_) loop_.timers().cancel(*retry_timer_);
}

void LatestValueWriter::store(std::string text) {
    text_ = std::move(text);
    dirty_ = true;
    if (!writes_.busy()) start_write();
}

std::string LatestValueWriter::unwritten_reason() const {
    if (!has_unwritten()) return {};
    return last_error_.empty() ? name_ + ": the disk has not answered yet" : last_error_;
}

void LatestValueWriter::start_write() {
    if (retry_timer_) loop_.timers().cancel(*retry_timer_);
    retry_timer_.reset();
    dirty_ = false;
    const auto error = std::make_shared<std::string>();
    writes_.run([write = write_, text = text_, error] { *error = write(text); },
                [this, error] { on_written(*error); });
}

void LatestValueWriter::on_written(const std::string& error) {
    longest_write_ = std::max(longest_write_, writes_.last_duration());
    const bool failed = !error.empty();
    const bool failed_before = !last_error_.empty();
    if (!failed) ++written_;
    if (failed && !failed_before) log::warn("{}: write failed, retrying error={}", name_, error);
    if (!failed && failed_before) log::info("{}: written again", name_);
    last_error_ = error;
    if (failed) {
        dirty_ = true;
        retry_later();
    } else if (dirty_) {
        start_write();
    }
    if (write_finished_) write_finished_();
}

void LatestValueWriter::retry_later() {
    retry_timer_ = loop_.timers().schedule(loop_.clock().now() + kRetryInterval, [this] {
        retry_timer_.reset();
        if (!writes_.busy()) start_write();
    });
}

}  // namespace sumackeel::net
