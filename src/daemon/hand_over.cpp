#include "daemon/hand_over.h"

#include <unistd.h>

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
    switch (base::read_plain(path, kLongest, text, fault)) {
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

// The process before this one or behind it may write at the same moment: each beside the file under its own
// number.
std::string write_file(const std::filesystem::path& path, const std::string& text) {
    const std::string name = path.filename().string();
    const std::string unfinished = name + "." + std::to_string(getpid()) + ".next";
    return base::put_in_place(path.parent_path().string(), unfinished, name, text);
}

}  // namespace

HandOverFile::HandOverFile(net::Loop& loop, std::string path)
    : path_(std::move(path)),
      writes_(loop, "hand-over", [path = path_](const std::string& text) { return write_file(path, text); }),
      reads_(loop) {}

void HandOverFile::read(std::function<void(const std::optional<std::string>& text)> then) {
    if (path_.empty()) return then(std::string{});
    if (reads_.busy()) return;
    const auto text = std::make_shared<std::optional<std::string>>();
    reads_.run([path = path_, text] { *text = read_file(path); },
               [text, then = std::move(then)] { then(*text); });
}

void HandOverFile::keep(std::string text) {
    if (!path_.empty()) writes_.keep(std::move(text));
}

}  // namespace sumackeel::daemon
