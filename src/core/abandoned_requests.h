// Requests that may have run and whose client left without a response. If such an id comes again, it must not
// run a second time.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace sumackeel::core {

using base::Micros;

// Bounded: once kMaxEntries are kept, no request that could need one may be accepted, see has_room().
class AbandonedRequests {
  public:
    static constexpr std::size_t kMaxEntries = 20'000;

    struct Entry {
        Micros may_have_run_since = 0;  // when its first attempt that may have run was sent
    };

    // Kept for `retention` from now on. Ids that come again later are taken for other requests.
    void add(const std::string& id, Micros may_have_run_since, Micros now, Micros retention);
    std::optional<Entry> find(const std::string& id, Micros now);
    bool has_room(Micros now);

  private:
    struct Expiry {
        std::string id;
        Micros at = 0;
    };
    void forget_expired(Micros now);

    std::unordered_map<std::string, Entry> entries_;
    std::deque<Expiry> expiries_;  // in the order of add(), whose retention is the same for all
};

}  // namespace sumackeel::core
