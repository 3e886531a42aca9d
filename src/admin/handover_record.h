// The operator calls shared between the processes of an upgrade: a last-writer-wins register for the ban of
// each pop cache and one for the drain. Each process writes its own record and merges those of the others, so
// no process overwrites another's record. A value type without clock or file access.
//
// Guarantees: merging is commutative, associative and idempotent. A call is unconfirmed until its process has
// verified, after writing it, that no other record has a later version; merge() raises an unconfirmed call
// above any later version that it encounters. So a call that was confirmed before another call began has the
// lower version in all processes.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "admin/state.h"

namespace sumackeel::admin {

// Version of one register: a logical clock that each change increments, with the writer as the tie-breaker.
struct ItemVersion {
    std::uint64_t counter = 0;  // 0: never changed
    std::uint64_t writer = 0;   // identifies the process; 0: a process of an earlier program version
    auto operator<=>(const ItemVersion&) const = default;
};

struct HandoverItem {
    ItemVersion version;
    bool on = false;
    bool unconfirmed = false;  // called at this process and not known to be the latest; not encoded
    bool operator==(const HandoverItem&) const = default;
};

// Active and lifted bans; if the limit is reached, the register of a lifted ban is evicted.
constexpr std::size_t kMaxHandoverItems = 2 * kMaxBans;
constexpr int kHandoverRecordVersion = 2;

class HandoverRecord {
  public:
    // `writer`: identifies this process; not 0.
    explicit HandoverRecord(std::uint64_t writer = 0) : writer_(writer) {}

    std::uint64_t writer() const { return writer_; }

    // Records a call at this process, also without a change: another process may have changed the value.
    void set_banned(const std::string& id, bool banned);
    void set_draining(bool draining);
    // Adds state from another source that no record contains; any recorded call has a later version.
    void add_ban(const std::string& id);
    void add_drain();

    struct MergeResult {
        bool changed = false;     // a ban or the drain has changed
        bool reasserted = false;  // an unconfirmed call got a higher version and must be rewritten
    };
    MergeResult merge(const HandoverRecord& other);
    // Merges the state shared by processes of earlier versions, as read now: differences from the last read
    // are treated as calls at such a process. Returns true if the record has changed.
    bool merge_legacy(const State& current);
    // Records that the legacy state was replaced by `written`.
    void set_legacy(const State& written);

    // Marks all calls at this process as the latest.
    void confirm();
    bool has_unconfirmed() const;

    bool empty() const { return bans_.empty() && drain_.version.counter == 0; }
    bool knows_ban(const std::string& id) const { return bans_.contains(id); }
    bool knows_drain() const { return drain_.version.counter > 0; }
    bool draining() const { return drain_.on; }
    // The bans and the drain as a State in phase `starting`.
    State state() const;

    // Text; the format is described in docs/design/service-days.md.
    std::string encode() const;
    // Returns empty on success, otherwise the error, leaving `record` unchanged.
    static std::string decode(std::string_view text, HandoverRecord& record);

    bool operator==(const HandoverRecord&) const = default;

  private:
    struct Legacy {
        std::uint64_t counter = 0;  // 0: never read
        bool draining = false;
        std::set<std::string> bans;
        bool operator==(const Legacy&) const = default;
    };
    HandoverItem* find_or_insert(const std::string& id);
    void record_call(HandoverItem& item, bool on) const;
    void merge_item(HandoverItem& item, const HandoverItem& other, MergeResult& result) const;
    bool decode_line(std::string_view line);

    std::uint64_t writer_ = 0;
    std::map<std::string, HandoverItem> bans_;  // by pop cache id
    HandoverItem drain_;
    Legacy legacy_;
};

// Encodes the state in the format of earlier program versions, for a process of such a version that is
// started later. The drain line is repeated, which they accept; it distinguishes the copy from what such a
// process wrote.
std::string encode_legacy_copy(const State& state);
bool is_legacy_copy(std::string_view text);

}  // namespace sumackeel::admin
