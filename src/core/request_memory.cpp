// The memory of open requests, and the room kept for their responses.
#include "core/core.h"

namespace sumackeel::core {

namespace {

// Memory of an open request beside its body, with its state in the router, its timers and an attempt.
constexpr std::size_t kRequestMemory = 3 * 1024;  // bytes

}  // namespace

std::size_t Core::memory_needed(const Request& request) const {
    return kRequestMemory + request.body.capacity() +
           response_sizes_.estimate(request.class_index, request.size_kb);
}

void Core::charge_memory(OpenRequest& request) const {
    if (!memory_) return;
    const Request& of_client = request.request;
    request.memory = {*memory_, base::MemoryHolder::open_requests,
                      kRequestMemory + of_client.body.capacity()};
    request.expected_response = {*memory_, base::MemoryHolder::expected_responses,
                                 response_sizes_.estimate(of_client.class_index, of_client.size_kb)};
}

void Core::on_response_arriving(Handle handle, std::size_t bytes) {
    const OpenAttempt* attempt = attempts_.find(handle);
    OpenRequest* request = attempt ? requests_.find(attempt->request) : nullptr;
    if (!request) return;
    request->expected_response.set(0);
    if (bytes > 0) response_sizes_.record(request->request.class_index, request->request.size_kb, bytes);
}

}  // namespace sumackeel::core
