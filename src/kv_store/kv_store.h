// The replicated key-value store of a group of proxies: keys with values, typed by namespace, and purges. A
// deterministic state machine without I/O: the replicated log drives it, and members that apply the same
// commands have the same state.
//
// Guarantees: the revision grows by one with each change and becomes the version of the changed keys; a
// transaction of several keys is atomic; keys with a time to live expire by the leader's clock, through a
// command like any other; the changes since a revision are available while they are among the newest ones,
// and are reported as compacted afterwards. Size limits: the ones below and those of each namespace.
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
constexpr std::size_t kMaxOperations = 64;  // per transaction
constexpr std::size_t kMaxEvents = 4'096;   // events kept for incremental updates
constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::size_t kMaxPurges = 20'000;  // the newest are kept
// Pop caches drop purged objects within seconds, so after this time no copy from before a purge exists.
constexpr Micros kPurgeRetention = 600 * base::kSecond;

// Limits for the keys with a prefix and their values. The first namespace with a matching prefix applies; the
// last one has an empty prefix and matches all keys.
struct Namespace {
    std::string_view prefix;
    std::size_t max_keys, max_bytes;  // the bytes include keys and values
    const char* value_description;    // for error messages; null if any value is valid
    bool (*is_valid_value)(std::string_view value);
};
const std::vector<Namespace>& namespaces();
const Namespace& namespace_of(std::string_view key);

struct Entry {
    std::uint64_t version = 0;  // the revision that set it
    std::string value;
    Micros expires_at = 0;  // by the leader's clock; 0: never
    bool operator==(const Entry&) const = default;
};

enum class OperationKind : std::uint8_t { set, remove, check };
struct Operation {
    std::string key;
    OperationKind kind = OperationKind::set;
    std::string value;                              // for a set
    std::optional<std::uint64_t> expected_version;  // precondition; 0: the key must not exist
    Micros time_to_live = 0;                        // 0: never expires
};
// Applied atomically.
struct Transaction {
    std::vector<Operation> operations;
    std::string by;
    Micros now = 0;  // by the leader's clock
};
// Checks everything that does not depend on the state. Returns the error; empty if the transaction is valid.
std::string validate(const Transaction& change);

struct Purge {
    std::uint64_t number = 0;  // the revision
    int purge_group = 0;
    std::string object;  // empty for the whole group
    std::string by;
    // By the leader's clock and only informational: each receiver measures the age by its own clock.
    Micros at = 0;
    // The Unix time that the origin gave it, if a proxy learned of it from a change log; 0: an operator's
    // call.
    std::int64_t origin_time = 0;
    bool operator==(const Purge&) const = default;
};
struct ExpireKeys {
    Micros now = 0;
};

struct ApplyResult {
    bool applied = false;
    std::uint64_t revision = 0;  // of the change if applied, otherwise of the state
    std::string reason;          // if not applied: the key or limit that prevented it
};

// A changed key; without an entry it was removed.
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
    ApplyResult apply(const ExpireKeys& command);

    const Entry* find(const std::string& key) const;
    const std::map<std::string, Entry>& entries() const { return entries_; }
    const std::deque<Purge>& purges() const { return purges_; }
    std::uint64_t revision() const { return revision_; }
    // Whether a purge with the same object, group and origin time is in the log.
    bool has_purge_of_origin(const Purge& purge) const;
    std::uint64_t last_purge() const { return purges_.empty() ? last_dropped_purge_ : purges_.back().number; }
    // The time, by the leader's clock, from which an ExpireKeys command would change something.
    std::optional<Micros> next_expiry() const;

    // The update for a member that has `revision`: the changes since then, or the complete state if those are
    // compacted. Empty if the member is up to date.
    std::string update_since(std::uint64_t revision) const;
    // Returns false if the update does not follow on this state; the caller then has to request the complete
    // state (revision 0). Throws std::runtime_error on malformed input.
    bool apply_update(std::string_view update);
    // The changes after `revision`, in order; no value if they are compacted.
    std::optional<std::vector<Event>> events_since(std::uint64_t revision) const;

    // MessagePack with a format marker; decode throws std::runtime_error on malformed input.
    std::string encode() const;
    static State decode(std::string_view bytes);
    // Compares the replicated state, without the events kept for incremental updates.
    bool operator==(const State& other) const;

  private:
    struct Usage {
        std::size_t keys = 0, bytes = 0;
    };
    std::string exceeded_limit(const Transaction& change) const;
    void set(const std::string& key, std::optional<Entry> entry);
    void record_event(Event event);

    std::map<std::string, Entry> entries_;
    std::map<std::string_view, Usage> usage_;      // by prefix of the namespace
    std::multimap<Micros, std::string> expiring_;  // keys with a time to live, by expiry
    std::deque<Purge> purges_;                     // in order
    std::uint64_t revision_ = 0, last_dropped_purge_ = 0,
                  compacted_revision_ = 0;  // the newest revision whose events were dropped
    std::deque<Event> events_;
    std::size_t event_bytes_ = 0;
};

// The revision that `update` leads to. Throws std::runtime_error on malformed input.
std::uint64_t revision_of_update(std::string_view update);

// Commands as encoded in the log. apply and with_leader_time throw std::runtime_error on malformed input.
std::string encode(const Transaction& change);
std::string encode(const Purge& purge);
std::string encode(const ExpireKeys& command);
bool is_command(std::string_view bytes);
ApplyResult apply(State& state, std::string_view command);
// The purge in the command, if it is one that a change log told of; throws std::runtime_error.
std::optional<Purge> purge_of_origin(std::string_view command);
// Returns the command with the leader's time set; used by the leader when it proposes another member's
// command.
std::string with_leader_time(std::string_view command, Micros now);

}  // namespace sumackeel::kv_store
