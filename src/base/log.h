// A small levelled logger on standard error. Nothing is written for each request by default.
//
// Danger: standard error may be a pipe that nobody reads, or a file on a disk that hangs. While a Background
// lives no caller waits for that: lines are queued for a thread, and the oldest are left out where it can't
// keep up.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace sumackeel::log {

enum class Level { debug, info, warn, error };

bool set_level(std::string_view name);  // false: no such level
bool is_enabled(Level level);
void write(Level level, std::string_view text);

// Writes all lines on a thread of its own for as long as it lives; there is one at most.
class AsyncWriter {
  public:
    AsyncWriter();
    ~AsyncWriter();  // waits for lines that are not written yet, within a bound
    AsyncWriter(const AsyncWriter&) = delete;
    AsyncWriter& operator=(const AsyncWriter&) = delete;
};
// Lines that were left out since the start, as nobody took those before them.
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

// For lines that others can bring about as often as they like: one a second, with the number of those left
// out.
class RateLimitedLogger {
  public:
    template <typename... Args>
    void warn(fmt::format_string<Args...> form, Args&&... args) {
        if (!is_enabled(Level::warn) || !turn()) return;
        std::string text = fmt::format(form, std::forward<Args>(args)...);
        if (const int left_out = std::exchange(left_out_, 0))
            text += fmt::format(" (and {} before)", left_out);
        write(Level::warn, text);
    }

  private:
    bool turn();
    std::chrono::steady_clock::time_point last_{};
    int left_out_ = 0;
};

}  // namespace sumackeel::log
