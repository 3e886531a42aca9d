// The operators' calls as the processes of an upgrade share them: a last-writer-wins register for the ban of
// each pop cache and one for the drain. Each process writes a record of its own and merges those of the
// others, so none replaces what another wrote. A value: no clock, no file.
//
// Guarantees: merging is commutative, associative and idempotent. A call is unconfirmed until its owner has
// seen, after writing it, that no other record has a later version; merge() puts an unconfirmed call above
// any version that it meets. So a call that was confirmed before another one began is below that one
// everywhere.
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

// Of one register: a logical clock that each change raises, and whose change it was where two are equal.
struct ItemVersion {
    std::uint64_t counter = 0;  // 0: never changed
    std::uint64_t writer = 0;   // of a process; 0: of a process of an earlier version of this program
    auto operator<=>(const ItemVersion&) const = default;
};

struct HandoverItem {
    ItemVersion version;
    bool on = false;
    bool unconfirmed = false;  // a call at this process that is not known to be the latest; not encoded
    bool operator==(const HandoverItem&) const = default;
};

// Bans that hold and bans that were lifted; of these a register goes when there is no room for another.
constexpr std::size_t kMaxHandoverItems = 2 * kMaxBans;
constexpr int kHandoverRecordVersion = 2;

class HandoverRecord {
  public:
    // `writer`: of this process, not 0.
    explicit HandoverRecord(std::uint64_t writer = 0) : writer_(writer) {}

    std::uint64_t writer() const { return writer_; }

    // A call at this process; also one that changes nothing counts, as another process may have changed it.
    void set_banned(const std::string& id, bool banned);
    void set_draining(bool draining);
    // What this process knows from elsewhere and no record has: any version is later.
    void add_ban(const std::string& id);
    void add_drain();

    struct MergeResult {
        bool changed = false;  // a ban or the drain is another one now
        bool reasserted =
            false;  // an unconfirmed call was put above a version met, and is to be written anew
    };
    MergeResult merge(const HandoverRecord& other);
    // The state that processes of earlier versions share, as it was found: what differs from how it was found
    // last was called there.
    // True: the record has changed by it.
    bool merge_legacy(const State& found);
    // The legacy state was replaced by this one.
    void set_legacy(const State& written);

    // All calls here are the latest.
    void confirm();
    bool has_unconfirmed() const;

    bool empty() const { return bans_.empty() && drain_.version.counter == 0; }
    bool knows_ban(const std::string& id) const { return bans_.contains(id); }
    bool knows_drain() const { return drain_.version.counter > 0; }
    bool draining() const { return drain_.on; }
    // Bans and the drain, as a state that has not started.
    State state() const;

    // Text (docs/design/service-days.md has it byte by byte).
    std::string encode() const;
    // Empty: done; else what is wrong, and `record` is as it was.
    static std::string decode(std::string_view text, HandoverRecord& record);

    bool operator==(const HandoverRecord&) const = default;

  private:
    struct Legacy {
        std::uint64_t counter = 0;  // 0: never found
        bool draining = false;
        std::set<std::string> bans;
        bool operator==(const Legacy&) const = default;
    };
    HandoverItem* make_room_for(const std::string& id);
    void call(HandoverItem& item, bool on) const;
    void merge_item(HandoverItem& item, const HandoverItem& other, MergeResult& result) const;
    bool decode_line(std::string_view line);

    std::uint64_t writer_ = 0;
    std::map<std::string, HandoverItem> bans_;  // by the pop cache's id
    HandoverItem drain_;
    Legacy legacy_;
};

// A copy of the state in the form that processes of earlier versions read, for one that is started again
// later. The drain's line stands twice, which they accept, and tells the copy from what such a process wrote.
std::string encode_legacy_copy(const State& state);
bool is_legacy_copy(std::string_view text);

}  // namespace sumackeel::admin
