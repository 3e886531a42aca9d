// Work that may never end, such as reading from a disk that hangs, waited for only so long: for the start of
// the program, before its loop runs.
#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <optional>
#include <thread>
#include <type_traits>
#include <utility>

namespace sumackeel::base {

// Runs `work` on a thread of its own and gives its result; nothing: it was not over within `span`. It then
// goes on by itself, unheard, so it may hold nothing that dies with the caller. What it throws is thrown
// here.
template <typename Work>
std::optional<std::invoke_result_t<Work>> run_with_timeout(std::chrono::milliseconds span, Work work) {
    std::packaged_task<std::invoke_result_t<Work>()> task(std::move(work));
    auto result = task.get_future();
    std::thread(std::move(task)).detach();
    if (result.wait_for(span) != std::future_status::ready) return std::nullopt;
    return result.get();
}

}  // namespace sumackeel::base
