#include "daemon/hand_over.h"

#include <unistd.h>

#include <filesystem>
#include <utility>

#include "base/files.h"
#include "base/log.h"

namespace sumackeel::daemon {

namespace {

// A hand-over file is a few lines; one far longer is none of ours.
constexpr std::size_t kLongest = 2 << 20;
constexpr base::Micros kTryAgain = 100'000;

}  // namespace

HandOverFile::HandOverFile(net::Loop& loop, std::string path) : loop_(loop), path_(std::move(path)) {}

HandOverFile::~HandOverFile() {
    if (again_) loop_.deadlines().drop(*again_);
}

std::optional<std::string> HandOverFile::read() const {
    std::string text, fault;
    if (path_.empty()) return text;
    switch (base::read_plain(path_, kLongest, text, fault)) {
        case base::Reading::done:
        case base::Reading::missing:
            return text;
        case base::Reading::unreadable: {
            thread_local log::Sparing line;
            line.warn("hand-over file: {}", fault);
            return std::nullopt;
        }
        case base::Reading::unfit:
            log::warn("hand-over file is passed over: {}", fault);
            return std::string{};
    }
    return std::nullopt;
}

std::string HandOverFile::keep(std::string text) {
    if (path_.empty()) return {};
    text_ = std::move(text);
    return write();
}

std::string HandOverFile::write() {
    const std::filesystem::path path(path_);
    // The process before this one or behind it may write at the same moment: each beside it under its own
    // number.
    const std::string unfinished = path.filename().string() + "." + std::to_string(getpid()) + ".next";
    std::string fault =
        base::put_in_place(path.parent_path().string(), unfinished, path.filename().string(), text_);
    if (again_) loop_.deadlines().drop(*again_);
    again_.reset();
    if (fault.empty()) return {};
    thread_local log::Sparing line;
    line.warn("hand-over not kept yet, trying again: {}", fault);
    try_later();
    return fault;
}

void HandOverFile::try_later() {
    again_ = loop_.deadlines().set(loop_.clock().now() + kTryAgain, [this] {
        again_.reset();
        if (write().empty()) log::info("hand-over kept again");
    });
}

}  // namespace sumackeel::daemon
