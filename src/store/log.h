// What one member of the store keeps on disk: a snapshot, the records after it, and the epoch it has
// promised.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace sumackeel::store {

class StoreError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct Entry {
    std::int64_t version = 0;
    std::string value;
    bool operator==(const Entry&) const = default;
};
using State = std::map<std::string, Entry>;

struct Record {
    std::int64_t seq = 0, epoch = 0, version = 0;
    std::string key, value;
};

// The place of a record: of two histories, the later epoch has seen more.
struct Place {
    std::int64_t epoch = 0, seq = 0;
    auto operator<=>(const Place&) const = default;
};

struct Snapshot {
    Place place;
    State state;
};

class Log {
  public:
    // Opens or makes the folder. A torn last record is cut off, since it was never acknowledged; anything
    // else that does not add up is a StoreError.
    explicit Log(std::string folder);

    Place last() const;
    Place promised() const { return {promised_, 0}; }
    const std::string& leader() const { return leader_; }
    const Snapshot& snapshot() const { return snapshot_; }
    const std::vector<Record>& records() const { return records_; }  // those after the snapshot
    const State& state() const { return state_; }                    // all that is committed
    std::int64_t committed() const { return committed_; }
    std::optional<std::int64_t> epoch_at(
        std::int64_t seq) const;                                // nothing: older than the snapshot, or none
    std::int64_t newest_version(const std::string& key) const;  // counting what is not committed yet

    // Each is on disk when it returns.
    void append(const Record& record);
    void install(const Snapshot& snapshot);
    void promise(std::int64_t epoch, const std::string& leader);

    void commit(std::int64_t seq);

  private:
    std::string path(const char* name) const { return folder_ + '/' + name; }
    void read_log();
    void fold();
    void rewrite_log();

    std::string folder_;
    Snapshot snapshot_;
    std::vector<Record> records_;
    State state_;
    std::int64_t committed_ = 0, promised_ = 0;
    std::string leader_;
};

}  // namespace sumackeel::store
