#include "daemon/handover_file.h"

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <memory>
#include <utility>

#include "base/files.h"
#include "base/log.h"

namespace sumackeel::daemon {

namespace {

// A hand-over file is a few lines; one far longer is none of ours.
constexpr std::size_t kLongest = 2 << 20;

std::optional<std::string> read_file(const std::string& path) {
    std::string text, fault;
    switch (base::read_regular_file(path, kLongest, text, fault)) {
        case base::ReadStatus::ok:
        case base::ReadStatus::missing:
            return text;
        case base::ReadStatus::unreadable: {
            thread_local log::RateLimitedLogger line;
            line.warn("hand-over file: {}", fault);
            return std::nullopt;
        }
        case base::ReadStatus::not_regular:
            log::warn("hand-over file is passed over: {}", fault);
            return std::string{};
    }
    return std::nullopt;
}

// The process before this one or behind it may write at the same moment, and tests run both in one process:
// each writes beside the file under a name of its own.
std::string temporary_name(const std::string& name) {
    static std::atomic<unsigned> writers = 0;
    return name + "." + std::to_string(getpid()) + "." + std::to_string(writers++) + ".next";
}

}  // namespace

HandoverFile::HandoverFile(net::Loop& loop, std::string path)
    : path_(std::move(path)),
      writes_(loop, "hand-over",
              [path = std::filesystem::path(path_),
               temporary = temporary_name(std::filesystem::path(path_).filename().string())](
                  const std::string& text) {
                  return base::replace_file(path.parent_path().string(), temporary, path.filename().string(),
                                            text);
              }),
      reads_(loop) {}

void HandoverFile::read(std::function<void(const std::optional<std::string>& text)> then) {
    if (path_.empty()) return then(std::string{});
    if (reads_.busy()) return;
    const auto text = std::make_shared<std::optional<std::string>>();
    reads_.run([path = path_, text] { *text = read_file(path); },
               [text, then = std::move(then)] { then(*text); });
}

void HandoverFile::keep(std::string text) {
    if (!path_.empty()) writes_.store(std::move(text));
}

}  // namespace sumackeel::daemon
