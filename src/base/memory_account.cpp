#include "base/memory_account.h"

namespace sumackeel::base {

const char* name_of(MemoryHolder holder) {
    switch (holder) {
        case MemoryHolder::connections:
            return "connections";
        case MemoryHolder::partial_requests:
            return "partial_requests";
        case MemoryHolder::open_requests:
            return "open_requests";
        case MemoryHolder::expected_responses:
            return "expected_responses";
        case MemoryHolder::unsent_requests:
            return "unsent_requests";
        case MemoryHolder::arriving_responses:
            return "arriving_responses";
        case MemoryHolder::unsent_responses:
            return "unsent_responses";
        case MemoryHolder::other:
            return "other";
    }
    return "";
}

}  // namespace sumackeel::base
