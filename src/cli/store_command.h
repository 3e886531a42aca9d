// `sumackeel store`: operator requests to one member of the replicated store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sumackeel::cli {

// store_command prints the response as one line of JSON and returns false if the request was refused.
struct StoreFlags {
    bool sure = false;                     // get: confirmed by the leader and a majority
    std::optional<std::uint64_t> version;  // set, remove: only at this version
    double lasts_s = 0;                    // set: seconds until the key expires; 0: never
};
bool store_command(const std::string& address, const std::vector<std::string>& arguments,
                   const StoreFlags& flags);

}  // namespace sumackeel::cli
