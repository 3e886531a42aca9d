#include "net/latest_value_writer.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/log.h"

namespace sumackeel::net {

namespace {

constexpr Micros kTryAgain = 100'000;

}  // namespace

LatestValueWriter::LatestValueWriter(Loop& loop, std::string name, Write put)
    : loop_(loop), name_(std::move(name)), put_(std::move(put)), writes_(loop) {}

LatestValueWriter::~LatestValueWriter() {
    if (again_) loop_.timers().cancel(*again_);
}

void LatestValueWriter::store(std::string text) {
    text_ = std::move(text);
    dirty_ = true;
    if (!writes_.busy()) write();
}

std::string LatestValueWriter::unwritten_reason() const {
    if (!has_unwritten()) return {};
    return fault_.empty() ? name_ + ": the disk has not answered yet" : fault_;
}

void LatestValueWriter::write() {
    if (again_) loop_.timers().cancel(*again_);
    again_.reset();
    dirty_ = false;
    const auto fault = std::make_shared<std::string>();
    writes_.run([put = put_, text = text_, fault] { *fault = put(text); }, [this, fault] { done(*fault); });
}

void LatestValueWriter::done(const std::string& fault) {
    longest_write_ = std::max(longest_write_, writes_.last_duration());
    if (fault.empty()) ++written_;
    if (!fault.empty() && fault_.empty()) log::warn("{} not kept yet, trying again: {}", name_, fault);
    if (fault.empty() && !fault_.empty()) log::info("{} kept again", name_);
    fault_ = fault;
    if (!fault.empty()) {
        dirty_ = true;
        try_later();
    } else if (dirty_) {
        write();
    }
    if (settled_) settled_();
}

void LatestValueWriter::try_later() {
    again_ = loop_.timers().schedule(loop_.clock().now() + kTryAgain, [this] {
        again_.reset();
        if (!writes_.busy()) write();
    });
}

}  // namespace sumackeel::net
