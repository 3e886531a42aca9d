#include "base/log.h"

#include <fmt/chrono.h>

#include <array>
#include <chrono>
#include <cstdio>

namespace sumackeel::log {

namespace {

Level threshold = Level::info;
constexpr std::array<std::string_view, 4> kNames{"debug", "info", "warn", "error"};

}  // namespace

bool set_level(std::string_view name) {
    for (std::size_t i = 0; i < kNames.size(); ++i)
        if (kNames[i] == name) {
            threshold = static_cast<Level>(i);
            return true;
        }
    return false;
}

bool wanted(Level level) {
    return level >= threshold;
}

void write(Level level, std::string_view text) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
    // Danger: fmt::print throws where standard error can't be written, as on a full disk, and most lines are
    // written from calls out of C. A line that can't be written is lost, nothing else.
    const std::string line =
        fmt::format("{}.{:03} {} {}\n", ms / 1000, ms % 1000, kNames[static_cast<std::size_t>(level)], text);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

bool Sparing::turn() {
    const auto now = std::chrono::steady_clock::now();
    if (last_ != decltype(last_){} && now - last_ < std::chrono::seconds(1)) return ++left_out_, false;
    last_ = now;
    return true;
}

}  // namespace sumackeel::log
