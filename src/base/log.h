// A small levelled logger on standard error. Nothing is written for each request by default.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace sumackeel::log {

enum class Level { debug, info, warn, error };

bool set_level(std::string_view name);  // false: no such level
bool wanted(Level level);
void write(Level level, std::string_view text);

template <typename... Args>
void debug(fmt::format_string<Args...> form, Args&&... args) {
    if (wanted(Level::debug)) write(Level::debug, fmt::format(form, std::forward<Args>(args)...));
}
template <typename... Args>
void info(fmt::format_string<Args...> form, Args&&... args) {
    if (wanted(Level::info)) write(Level::info, fmt::format(form, std::forward<Args>(args)...));
}
template <typename... Args>
void warn(fmt::format_string<Args...> form, Args&&... args) {
    if (wanted(Level::warn)) write(Level::warn, fmt::format(form, std::forward<Args>(args)...));
}
template <typename... Args>
void error(fmt::format_string<Args...> form, Args&&... args) {
    if (wanted(Level::error)) write(Level::error, fmt::format(form, std::forward<Args>(args)...));
}

// For lines that others can bring about as often as they like: one a second, with the number of those left
// out.
class Sparing {
  public:
    template <typename... Args>
    void warn(fmt::format_string<Args...> form, Args&&... args) {
        if (!wanted(Level::warn) || !turn()) return;
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
