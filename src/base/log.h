// Levelled log lines on standard error. Nothing is logged for each request by default.
//
// Standard error may be a pipe that nobody reads, or a file on a disk that hangs. While an AsyncWriter lives
// no caller waits for that: lines are queued for a thread, and the oldest are dropped where it can't keep up.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace sumackeel::log {

enum class Level { debug, info, warn, error };

bool set_level(std::string_view name);  // false: no level has that name
bool is_enabled(Level level);
void write(Level level, std::string_view text);

// Writes all lines on a thread of its own for as long as it lives. One at a time.
class AsyncWriter {
  public:
    AsyncWriter();
    ~AsyncWriter();  // waits a bounded time for queued lines
    AsyncWriter(const AsyncWriter&) = delete;
    AsyncWriter& operator=(const AsyncWriter&) = delete;
};
// Lines dropped since the start.
std::uint64_t dropped_lines();

template <typename... Args>
void debug(fmt::format_string<Args...> form, Args&&... args) {
    if (is_enabled(Level::debug)) write(Level::debug, fmt::format(form, std::forward<Args>(args)...));
}
template <typename... Args>
void info(fmt::format_string<Args...> form, Args&&... args) {
    if (is_enabled(Level::info)) write(Level::info, fmt::format(form, std::forward<Args>(args)...));
}
template <typename... Args>
void warn(fmt::format_string<Args...> form, Args&&... args) {
    if (is_enabled(Level::warn)) write(Level::warn, fmt::format(form, std::forward<Args>(args)...));
}
template <typename... Args>
void error(fmt::format_string<Args...> form, Args&&... args) {
    if (is_enabled(Level::error)) write(Level::error, fmt::format(form, std::forward<Args>(args)...));
}

// For lines that peers or clients can bring about as often as they like: one a second, with the number of
// those suppressed.
class RateLimitedLogger {
  public:
    template <typename... Args>
    void warn(fmt::format_string<Args...> form, Args&&... args) {
        if (!is_enabled(Level::warn) || !admit()) return;
        std::string text = fmt::format(form, std::forward<Args>(args)...);
        if (const int suppressed = std::exchange(suppressed_, 0))
            text += fmt::format(" (and {} before)", suppressed);
        write(Level::warn, text);
    }

  private:
    bool admit();
    std::chrono::steady_clock::time_point last_line_{};
    int suppressed_ = 0;
};

}  // namespace sumackeel::log
