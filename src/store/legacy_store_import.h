// Reads the files that the store of versions before 0.3 left on disk, for a one-time import into the
// key-value store: a snapshot, the records after it, and the last leader. Each line starts with a checksum;
// the formats are the ones those versions wrote.
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
    std::string leader;                         // the last one in the promise file; empty if there is none
    std::size_t records = 0;                    // after the snapshot
};

// Returns false if the folder never held such a store.
bool has_legacy_store(const std::string& folder);
// A torn last record was never acknowledged and is skipped. Throws StoreError on any other inconsistency.
LegacyStore read_legacy_store(const std::string& folder);

}  // namespace sumackeel::store
