// The members that this one knows, with what it knows of each. Internal to src/cluster.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/member_view.h"
#include "cluster/messages.h"
#include "cluster/options.h"

namespace sumackeel::cluster {

// The suspicions that one member has uttered about another.
struct SuspicionEntry {
    Suspicion accepted;                // counts, where `is_accepted`
    Suspicion latest;                  // the newest received, which may not be accepted yet
    std::vector<std::string> sources;  // who sent `latest`
    Micros confirmed_at = 0;           // when the accepted one was last repeated
    bool is_accepted = false;

    bool is_active() const { return is_accepted && accepted.active; }
};

struct Member {
    MemberRecord record;
    Micros record_at = 0;                              // when that record came
    std::map<std::string, SuspicionEntry> suspicions;  // by suspector
    MemberState state = MemberState::joining;
    Micros state_since = 0;
    Micros last_received_at = -1;  // -1: never
    Micros last_ping_result = -1;  // when a ping of our own last ended, one way or the other
    Micros countdown_since = 0;    // since when suspicions of the newest record are active; 0: none
    Micros gone_since = 0;         // dead, or left
    Micros own_suspicion_at = 0;   // when this one last sent its own suspicion
    bool dead = false;             // ended only by a record of a later incarnation
    bool forgotten = false;
    bool directly_reachable = true;
    bool ping_failed_once = false;  // to be pinged again before it is suspected
    std::string last_relay;         // who reached it last where this one did not
    // A later start, or a leave, that too few members have sent yet.
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

    // A new member; a forgotten one gives up its place where the table is full. Null: there is no place.
    Member* add(const MemberRecord& record, Micros now);
    // The record's phase, or whether a member is forgotten, has changed.
    void on_change() { count_ = 0; }
    // Members about which a suspicion is active.
    const std::set<std::string>& suspected() const { return suspected_; }
    void set_suspected(const std::string& name, bool suspected);
    std::vector<std::string> pinged() const;  // names of those that are pinged in turn

    // Members that neither left nor were forgotten, this one too.
    std::size_t count() const;
    double log_size() const;  // log10 of the count, at least 1
    // How many different members must suspect one for its death; at most as many as there are others.
    std::size_t required_suspectors() const;

  private:
    const Options& options_;
    std::map<std::string, Member> members_;
    std::set<std::string> suspected_;
    mutable std::size_t count_ = 0;  // 0: to be counted again
};

// Adds a name that is not there yet.
void add_unique(std::vector<std::string>& names, const std::string& name);

}  // namespace sumackeel::cluster
