// `sumackeel store`: an operator's words to one member of the store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sumackeel::cli {

// Prints the answer as one line of JSON. False: it refused.
struct StoreFlags {
    bool sure = false;                     // get: by the leader and a majority
    std::optional<std::uint64_t> version;  // set, remove: only if it has this one
    double lasts_s = 0;                    // set: it ends by itself after so long; 0: it stays
};
bool store_command(const std::string& address, const std::vector<std::string>& words,
                   const StoreFlags& flags);

}  // namespace sumackeel::cli
