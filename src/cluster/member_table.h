// The members that this one knows, and their state. Internal to src/cluster.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/member_view.h"
#include "cluster/messages.h"
#include "cluster/options.h"

namespace sumackeel::cluster {

// The suspicions of one member by one suspector.
struct SuspicionEntry {
    Suspicion accepted;                // valid if `is_accepted`
    Suspicion latest;                  // the newest received, possibly not accepted yet
    std::vector<std::string> sources;  // who sent `latest`
    Micros confirmed_at = 0;           // when the accepted one was last repeated
    bool is_accepted = false;

    bool is_active() const { return is_accepted && accepted.active; }
};

struct Member {
    MemberRecord record;
    Micros record_at = 0;                              // when that record was received
    std::map<std::string, SuspicionEntry> suspicions;  // by suspector
    MemberState state = MemberState::joining;
    Micros state_since = 0;
    Micros last_received_at = -1;  // -1: never
    Micros last_ping_result = -1;  // when an own ping last ended, with or without an ack
    Micros countdown_since = 0;    // since when suspicions of the newest record are active; 0: none
    Micros gone_since = 0;         // dead, or left
    Micros own_suspicion_at = 0;   // when this member last sent its own suspicion
    bool dead = false;             // ended only by a record of a later incarnation
    bool forgotten = false;
    bool directly_reachable = true;
    bool ping_failed_once = false;  // to be pinged again before it is suspected
    std::string last_relay;         // the relay that last reached it when a direct ping failed
    // A record with a later start, or a leave, that too few members have sent so far.
    MemberRecord unconfirmed_record;
    std::vector<std::string> unconfirmed_sources;

    bool has_left() const { return record.phase == Phase::left; }
    bool is_pinged() const { return !dead && !forgotten && !has_left(); }
    const SuspicionEntry* suspicion_by(const std::string& suspector) const;
};

// All members but this one, by name: at most kMaxMembers.
class MemberTable {
  public:
    explicit MemberTable(const Options& options) : options_(options) {}

    Member* find(const std::string& name);
    const Member* find(const std::string& name) const;
    Member& at(const std::string& name) { return members_.at(name); }
    const Member& at(const std::string& name) const { return members_.at(name); }
    bool empty() const { return members_.empty(); }
    const std::map<std::string, Member>& all() const { return members_; }
    std::map<std::string, Member>& all() { return members_; }

    // Adds a new member; in a full table it replaces a forgotten one. Null: the table is full.
    Member* add(const MemberRecord& record, Micros now);
    // To be called when the phase of a record, or whether a member is forgotten, has changed.
    void on_change() { count_ = 0; }
    // Members about which a suspicion is active.
    const std::set<std::string>& suspected() const { return suspected_; }
    void set_suspected(const std::string& name, bool suspected);
    std::vector<std::string> pinged() const;  // names of the members that are pinged in rounds

    // Members that have neither left nor been forgotten, including this one.
    std::size_t count() const;
    double log_size() const;  // log10 of the count, at least 1
    // How many different members must suspect one before it is declared dead; at most the number of others.
    std::size_t required_suspectors() const;

  private:
    const Options& options_;
    std::map<std::string, Member> members_;
    std::set<std::string> suspected_;
    mutable std::size_t count_ = 0;  // cached; 0: must be recounted
};

// Appends the name unless it is already in the list.
void add_unique(std::vector<std::string>& names, const std::string& name);

}  // namespace sumackeel::cluster
