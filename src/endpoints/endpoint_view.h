// The fleet as this instance knows it, as one value: for each member the newest word on it, where that word
// came from, and when the member last answered us; with the purges that still matter. Events and times go in,
// what the decision module may use comes out. Nothing here reads a clock, a file or a socket.
//
// The merge. Words carry the number of the event that brought them (`seq`). For each member the highest
// number wins; two words under one number are put in a fixed order, the worse state first, so the order in
// which words come and how often they come make no difference. A whole list with number S removes whatever
// has an older word and is not in it, and from then on no word older than S is taken: nothing heard as gone
// comes back without a newer word. Numbers are those of one change log, or of several that tell the same
// events.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "endpoints/staleness_policy.h"

namespace sumackeel::endpoints {

// What a word came from, the least trusted first.
enum class RecordSource { seed, snapshot, watch };
const char* name_of(RecordSource source);

// One word on one member. Never changed once made, so that a snapshot may share it with another thread.
struct EndpointRecord {
    std::int64_t sequence = 0;  // 0: a seed list's, older than any event
    RecordSource source = RecordSource::watch;
    config::LocatedEndpoint located;
    Micros received_at = 0;  // when; not part of the merge

    // The fixed order of the merge; `heard` and `source` have no part in it.
    bool supersedes(const EndpointRecord& other) const;
    bool is_equivalent(const EndpointRecord& other) const {
        return !supersedes(other) && !other.supersedes(*this);
    }
};

struct KnownEndpoint {
    std::shared_ptr<const EndpointRecord> record;
    Micros last_response_at = 0;  // when it last answered us; 0: never
};

struct Purge {
    std::string object;  // empty: the whole group
    int purge_group = 0;
    Micros at = 0;  // of the clock by which the view is told the time

    bool operator==(const Purge&) const = default;
};

// A view as it is kept on disk and read back. Ages are counted back from `taken_at`.
struct Snapshot {
    std::string site;
    base::UnixTime taken_at;
    Micros confirmed_age = -1;  // since a live source last confirmed the list; below 0: none ever did
    std::int64_t last_sequence = 0, full_list_sequence = 0, forgotten_through = 0;
    std::vector<KnownEndpoint> endpoints;  // `answered` as an age: how long ago, below 0: never
    std::vector<Purge> purges;             // `at` as a Unix time of the clock of `taken_at`
};

struct ViewOptions {
    StalenessPolicy staleness;
    int origin_kind = -1, parent_kind = -1;
    // A whole list that would leave no cache at all is believed only after this long, or once a second source
    // says the same. 0: at once.
    Micros empty_list_delay = 0;
    Micros purge_retention = 12 * base::kSecond;  // after that no copy from before is about
    std::size_t max_endpoints = 100'000;
    std::size_t max_removed = 16'384;  // members remembered as gone; the oldest go first, and stay gone
    std::size_t max_purges = 60'000;
};

// What became of a change.
enum class ApplyResult {
    applied,
    outdated,  // all of it was known, or older than what is known
    deferred,  // it would empty the fleet and is held back; its purge, if any, was taken
    full,      // some members found no room
};

class EndpointView {
  public:
    explicit EndpointView(ViewOptions options = {}) : set_(options) {}

    // An event of the change log numbered `log`, or of the platform's configuration (log -1).
    ApplyResult apply(const config::WatchEvent& change, Micros now, int log = -1,
                      RecordSource source = RecordSource::watch);
    // What a file held. `wall_now`: the system's clock, by which the file's age is taken; `now`: of this
    // program. Members are used by the bands until a live source confirms the list.
    void load(const Snapshot& saved, base::UnixTime wall_now, Micros now);
    // Of a file whose age can't be told: nobody is to be used for it, but a drain, a removal and a purge that
    // were heard bind all the same.
    void load_warnings(const Snapshot& saved, Micros now);
    // The last resort: a list that somebody keeps by hand. Its members are used with care where no newer word
    // is known, or where the saved list has grown too old; never one that was heard to drain or go.
    void seed(const config::WatchEvent& list, Micros now);

    // A source that is sure to tell all of the newest list said that it lives.
    void confirm(Micros now);
    void on_response(const std::string& id, Micros now);
    // A purge that another proxy told.
    void add_purge(const Purge& purge, Micros now);
    // The next changes() tells this member again, changed or not: something outside the view alters it.
    void mark_changed(const std::string& id) { touched_.insert(id), retold_.insert(id); }
    void mark_all_changed() {
        for (const auto& [id, member] : endpoints_) mark_changed(id);
    }
    // What time alone brings: doubts that end, purges that no longer matter.
    void advance(Micros now);

    // Members whose word, or what they may be given, changed since this was asked last, in order of name. One
    // that may be given nothing is told as gone, or as draining where that was the word.
    std::vector<config::LocatedEndpoint> take_changes(Micros now);
    // When pass() and changes() next have something to do by time alone.
    std::optional<Micros> next_deadline(Micros now) const;

    Trust trust_of(const std::string& id, Micros now) const;
    const KnownEndpoint* find(const std::string& id) const;
    // Time since the list was last sure; below 0: it never was.
    Micros age(Micros now) const { return sure_at_ > 0 ? now - sure_at_ : -1; }
    bool is_live() const { return live_; }  // a live source confirmed it since the start
    // The number to take the change log up behind after a restart: what is doubted is asked for again.
    std::int64_t resume_after() const {
        return deferred_update_ ? deferred_update_->change.sequence - 1 : last_seq_;
    }
    std::int64_t last_sequence() const { return last_seq_; }
    // The newest list that any member is known from, a seed list too: for people, not to resume behind.
    std::int64_t newest_list() const { return std::max(last_seq_, seed_seq_); }
    std::size_t size() const { return endpoints_.size(); }
    std::size_t count(Trust use, Micros now) const;
    bool has_deferred_update() const { return deferred_update_.has_value(); }
    const std::map<std::string, KnownEndpoint>& endpoints() const { return endpoints_; }
    std::vector<Purge> purges() const;

    Snapshot snapshot(const std::string& site, base::UnixTime wall_now, Micros now) const;
    // Two views that know the same; times at which words came and members answered have no part in it.
    bool same_knowledge(const EndpointView& other) const;

  private:
    struct DeferredUpdate {
        config::WatchEvent change;
        int log = -1;
        Micros since = 0;
    };
    using PurgesByAge = std::set<std::pair<Micros, std::string>>;
    struct KeptPurge {
        Purge purge;
        std::pair<Micros, std::string> age;  // its place in the order of age
    };
    struct Offered {
        std::shared_ptr<const EndpointRecord> word;
        Trust use = Trust::none;
    };

    void merge(std::shared_ptr<const EndpointRecord> word, bool& news, bool& no_room);
    void merge_fleet(const config::WatchEvent& change, Micros now, RecordSource source, bool& news,
                     bool& no_room);
    void remove_unnamed(const config::WatchEvent& whole);
    void put_purge(const Purge& purge, Micros now, bool& news);
    void load_purges(const Snapshot& saved, Micros now);
    void drop_oldest_purge();
    bool empties(const config::WatchEvent& change) const;
    bool is_cache(const EndpointRecord& word) const;
    Trust use(const KnownEndpoint& member, Micros now) const;
    bool address_taken(const EndpointRecord& word) const;
    void own_address(const std::shared_ptr<const EndpointRecord>& word);
    void forget_gone();

    ViewOptions set_;
    std::map<std::string, KnownEndpoint> endpoints_;
    std::map<std::string, std::shared_ptr<const EndpointRecord>>
        owners_;  // address to the newest word that gave it
    std::map<std::string, Offered> offered_;
    std::set<std::string> touched_, retold_;
    bool all_touched_ = false;
    Micros looked_ = 0;  // the last changes()
    std::set<std::string> seeds_;
    std::map<std::string, KeptPurge> purges_;
    PurgesByAge purges_by_age_;
    std::optional<DeferredUpdate> deferred_update_;
    std::int64_t last_seq_ = 0, whole_at_ = 0, seed_seq_ = 0;
    std::int64_t forgotten_to_ = 0;  // words up to here on members not known are of forgotten gone ones
    std::size_t gone_ = 0;
    Micros sure_at_ = 0;
    bool live_ = false;
};

}  // namespace sumackeel::endpoints
