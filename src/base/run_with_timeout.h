// Waits for work that may never end, such as a read from a disk that hangs, for a bounded time. For the start
// of the program, before its loop runs.
#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <optional>
#include <thread>
#include <type_traits>
#include <utility>

namespace sumackeel::base {

// Runs `work` on a thread of its own and returns its result, or nothing if it takes longer than `timeout`. It
// then goes on by itself and its result is dropped, so it may reference nothing that dies with the caller.
// What it throws is thrown here.
template <typename Work>
std::optional<std::invoke_result_t<Work>> run_with_timeout(std::chrono::milliseconds timeout, Work work) {
    std::packaged_task<std::invoke_result_t<Work>()> task(std::move(work));
    auto result = task.get_future();
    std::thread(std::move(task)).detach();
    if (result.wait_for(timeout) != std::future_status::ready) return std::nullopt;
    return result.get();
}

}  // namespace sumackeel::base
