// What all proxies of a group agree on besides leaves: keys with values by namespace, and purges. Pure: the
// agreed log drives it, and each member that applies the same commands has the same state.
//
// Promises: a revision grows by one with each change, and is the version of what was changed; a change of
// several keys is made whole or not at all; a key that is to end by itself ends by the leader's time, in a
// command like any other; what came since a revision can be told while it is among the newest changes, and
// else is said to be compacted. Bounds: those below, and each namespace's.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace sumackeel::kv_store {

using base::Micros;

constexpr std::size_t kMaxKeyLength = 256, kMaxValueBytes = 64 * 1024, kMaxNameLength = 256;
constexpr std::size_t kMaxOperations = 64;  // of one change
constexpr std::size_t kMaxEvents = 4'096;   // kept for those that ask what came since,
constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::size_t kMaxPurges = 20'000;  // the newest
// Boxes drop what was purged within seconds, so after this long no copy from before is about anywhere.
constexpr Micros kPurgeRetention = 600 * base::kSecond;

// What a key may be called and hold. The first whose prefix fits counts; the last has none and fits all.
struct Namespace {
    std::string_view prefix;
    std::size_t max_keys, max_bytes;  // keys and values together
    const char* value_description;    // of a value, in words; null: any
    bool (*is_valid_value)(std::string_view value);
};
const std::vector<Namespace>& namespaces();
const Namespace& namespace_of(std::string_view key);

struct Entry {
    std::uint64_t version = 0;  // the revision that set it
    std::string value;
    Micros expires_at = 0;  // by the leader's clock; 0: it stays
    bool operator==(const Entry&) const = default;
};

enum class OperationKind : std::uint8_t { set, remove, check };
struct Operation {
    std::string key;
    OperationKind kind = OperationKind::set;
    std::string value;                              // of a set
    std::optional<std::uint64_t> expected_version;  // only if it has this version; 0: if it is not there
    Micros time_to_live = 0;                        // 0: it stays
};
// All parts or none.
struct Transaction {
    std::vector<Operation> operations;
    std::string by;
    Micros now = 0;  // the leader's
};
// What is wrong with it whatever the state; empty: nothing.
std::string validate(const Transaction& change);

struct Purge {
    std::uint64_t number = 0;  // the revision
    int purge_group = 0;
    std::string object;  // empty: the whole group
    std::string by;
    Micros at = 0;  // the leader's clock, for people: ages are counted by whoever hears of it
    bool operator==(const Purge&) const = default;
};
struct ExpireKeys {
    Micros now = 0;
};

struct ApplyResult {
    bool applied = false;
    std::uint64_t revision = 0;  // done: of the change; else of the state
    std::string reason;          // not done: which key or bound
};

// A key that changed; none: it is gone.
struct Event {
    std::uint64_t revision = 0;
    std::string key;
    std::optional<Entry> entry;
    bool operator==(const Event&) const = default;
};

class State {
  public:
    ApplyResult apply(const Transaction& change);
    ApplyResult apply(const Purge& purge);
    ApplyResult apply(const ExpireKeys& tick);

    const Entry* find(const std::string& key) const;
    const std::map<std::string, Entry>& entries() const { return entries_; }
    const std::deque<Purge>& purges() const { return purges_; }
    std::uint64_t revision() const { return revision_; }
    std::uint64_t last_purge() const { return purges_.empty() ? purged_ : purges_.back().number; }
    // By the leader's clock: when a tick would change something.
    std::optional<Micros> next_expiry() const;

    // For one that has `revision`: what came since, or all where that is compacted; empty: it has all.
    std::string update_since(std::uint64_t revision) const;
    // What `news` told. False: it fits on nothing that is here, and all is to be asked for (revision 0).
    // Throws std::runtime_error on bytes that are none.
    bool apply_update(std::string_view news);
    // What changed behind `revision`, in order; none: compacted.
    std::optional<std::vector<Event>> events_since(std::uint64_t revision) const;

    // As bytes (MessagePack, with a version); throws std::runtime_error on bytes that are none.
    std::string encode() const;
    static State decode(std::string_view bytes);
    // What is agreed on, without what is kept to tell others.
    bool operator==(const State& other) const;

  private:
    struct Used {
        std::size_t keys = 0, bytes = 0;
    };
    std::string over(const Transaction& change) const;
    void set(const std::string& key, std::optional<Entry> entry);
    void keep(Event event);

    std::map<std::string, Entry> entries_;
    std::map<std::string_view, Used> used_;      // by prefix
    std::multimap<Micros, std::string> ending_;  // of entries that end by themselves
    std::deque<Purge> purges_;                   // in order
    std::uint64_t revision_ = 0, purged_ = 0,
                  compacted_ = 0;  // purged_: newest purge dropped; compacted_: events
    std::deque<Event> events_;
    std::size_t event_bytes_ = 0;
};

// The revision that what `news` told leads to. Throws std::runtime_error on bytes that are none.
std::uint64_t revision_of_update(std::string_view news);

// Commands as the log holds them. decode throws std::runtime_error.
std::string encode(const Transaction& change);
std::string encode(const Purge& purge);
std::string encode(const ExpireKeys& tick);
bool is_command(std::string_view bytes);
ApplyResult apply(State& state, std::string_view command);
// The same with the leader's time in it, for one that proposes what another wants.
std::string with_leader_time(std::string_view command, Micros now);

}  // namespace sumackeel::kv_store
