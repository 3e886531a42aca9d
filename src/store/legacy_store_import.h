// What the store of versions before 0.3 kept on disk, for taking it over once into the registry: a snapshot,
// the records after it, and who led last. Each line is sealed by a checksum; formats as those versions wrote
// them.
#pragma once

#include <map>
#include <stdexcept>
#include <string>

namespace sumackeel::store {

class StoreError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct LegacyStore {
    std::map<std::string, std::string> values;  // by key
    std::string leader;                         // the last one promised to; empty: none was
    std::size_t records = 0;                    // behind the snapshot
};

// False: no such store was ever there.
bool has_legacy_store(const std::string& folder);
// A torn last record was never acknowledged and is left out; anything else that does not add up is a
// StoreError.
LegacyStore read_legacy_store(const std::string& folder);

}  // namespace sumackeel::store
