#include "base/log.h"

#include <fmt/chrono.h>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>

namespace sumackeel::log {

namespace {

Level threshold = Level::info;
constexpr std::array<std::string_view, 4> kNames{"debug", "info", "warn", "error"};

constexpr std::size_t kQueuedLines = 1024;
constexpr std::chrono::milliseconds kFlushTimeout{200};
constexpr std::chrono::milliseconds kFlushPollInterval{2};

// Lines that can't be written are lost.
class StandardError final : public spdlog::sinks::base_sink<std::mutex> {
  public:
    std::uint64_t processed() const { return processed_; }  // lines, written or lost

  protected:
    void sink_it_(const spdlog::details::log_msg& line) override {
        std::string_view rest(line.payload.data(), line.payload.size());
        while (!rest.empty()) {
            const ssize_t written = ::write(STDERR_FILENO, rest.data(), rest.size());
            if (written < 0 && errno == EINTR) continue;
            if (written <= 0) break;
            rest.remove_prefix(static_cast<std::size_t>(written));
        }
        ++processed_;
    }
    void flush_() override {}

  private:
    std::atomic<std::uint64_t> processed_ = 0;
};

struct Writer {
    std::shared_ptr<StandardError> sink = std::make_shared<StandardError>();
    std::shared_ptr<spdlog::details::thread_pool> thread =
        std::make_shared<spdlog::details::thread_pool>(kQueuedLines, 1);
    std::shared_ptr<spdlog::async_logger> logger = std::make_shared<spdlog::async_logger>(
        "sumackeel", sink, thread, spdlog::async_overflow_policy::overrun_oldest);
    std::atomic<std::uint64_t> submitted = 0;

    void write(const std::string& line) {
        ++submitted;
        logger->log(spdlog::level::critical, line);
    }
    bool idle() const { return sink->processed() + thread->overrun_counter() >= submitted; }
};

std::atomic<Writer*> writer = nullptr;  // null: lines are written by the calling thread

}  // namespace

AsyncWriter::AsyncWriter() {
    writer = new Writer;
}

// A thread that is blocked in a write can't be joined; it is left running until the process ends.
AsyncWriter::~AsyncWriter() {
    Writer* const current = writer;
    const auto deadline = std::chrono::steady_clock::now() + kFlushTimeout;
    while (!current->idle() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(kFlushPollInterval);
    if (!current->idle()) return;
    writer = nullptr;
    delete current;
}

std::uint64_t dropped_lines() {
    const Writer* const current = writer;
    return current ? current->thread->overrun_counter() : 0;
}

bool set_level(std::string_view name) {
    for (std::size_t i = 0; i < kNames.size(); ++i)
        if (kNames[i] == name) {
            threshold = static_cast<Level>(i);
            return true;
        }
    return false;
}

bool is_enabled(Level level) {
    return level >= threshold;
}

void write(Level level, std::string_view text) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
    // Not fmt::print, which throws where standard error can't be written: most lines come from callbacks of C
    // libraries.
    const std::string line =
        fmt::format("{}.{:03} {} {}\n", ms / 1000, ms % 1000, kNames[static_cast<std::size_t>(level)], text);
    if (Writer* const current = writer) return current->write(line);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

bool RateLimitedLogger::admit() {
    const auto now = std::chrono::steady_clock::now();
    const bool first = last_line_ == decltype(last_line_){};
    if (!first && now - last_line_ < std::chrono::seconds(1)) {
        ++suppressed_;
        return false;
    }
    last_line_ = now;
    return true;
}

}  // namespace sumackeel::log
