// The endpoints that this instance knows: for each the newest record, the source of that record and the time
// of the endpoint's last response; together with the purges that are still in effect. Takes events and times,
// and returns what the routing module may use. Nothing here reads a clock, a file or a socket.
//
// Merging: each record carries the sequence number of its event. For each endpoint the record with the
// highest number wins; two records with the same number have a fixed order in which the worse state wins, so
// the result depends neither on the order of arrival nor on repetitions. A full list with sequence number S
// removes every endpoint that has an older record and is not listed, and from then on records older than S
// are ignored: an endpoint that was reported as removed returns only with a newer record. Sequence numbers
// are those of one change log, or of several change logs that carry the same events.
//
// A change log that was set up anew numbers its events from 1 again. Such a numbering has a base, the highest
// number known before it, and each of its events counts by base and number together. So what was known before
// binds until the new events say otherwise, and is older than any of them. Numbers within the view include
// the base; those of events passed in and of resume_after() are the change log's.
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

// Where a record came from, the least trusted source first.
enum class RecordSource { seed, snapshot, watch };
const char* name_of(RecordSource source);

// One state of one endpoint. Immutable after construction, so that a snapshot can share it with another
// thread.
struct EndpointRecord {
    std::int64_t sequence = 0;  // 0: from a seed list, older than any event
    RecordSource source = RecordSource::watch;
    config::LocatedEndpoint located;
    Micros received_at = 0;  // not compared when merging

    // The order used for merging; `received_at` and `source` are not compared.
    bool supersedes(const EndpointRecord& other) const;
    bool is_equivalent(const EndpointRecord& other) const {
        return !supersedes(other) && !other.supersedes(*this);
    }
};

struct KnownEndpoint {
    std::shared_ptr<const EndpointRecord> record;
    Micros last_response_at = 0;  // of the endpoint, to this instance; 0: never
};

struct Purge {
    std::string object;  // empty: the whole purge group
    int purge_group = 0;
    Micros at = 0;  // on the clock whose times are passed to the view

    bool operator==(const Purge&) const = default;
};
// "group NUMBER" or "object ID".
std::string name_of(const Purge& purge);
// The purge that an event tells of, which was issued `at`.
Purge purge_of(const config::WatchEvent& event, Micros at);

// A view as it is stored on disk. Ages are relative to `taken_at`.
struct Snapshot {
    std::string site;
    base::UnixTime taken_at;
    Micros confirmed_age = -1;  // since a live source last confirmed the list; below 0: never confirmed
    std::int64_t last_sequence = 0, full_list_sequence = 0, forgotten_through = 0;
    std::int64_t numbering_base = 0;       // included in all sequence numbers above
    std::uint64_t last_purge_digest = 0;   // of the purge that `last_sequence` told; 0: it told none
    std::vector<KnownEndpoint> endpoints;  // `last_response_at` holds an age; below 0: never
    std::vector<Purge> purges;             // `at` holds a Unix time of the clock of `taken_at`
};

struct ViewOptions {
    StalenessPolicy staleness;
    int origin_kind = -1, parent_kind = -1;
    // A full list that would leave no pop cache in use is applied only after this time, or once a second
    // source sends it too. 0: immediately.
    Micros empty_list_delay = 0;
    Micros purge_retention = 12 * base::kSecond;  // after this time no copy from before the purge is left
    std::size_t max_endpoints = 100'000;
    std::size_t max_removed = 16'384;  // removed endpoints that are remembered; the oldest are evicted first
    std::size_t max_purges = 60'000;
};

// What an event with a known number says of its change log's numbering.
enum class Continuity {
    same_numbering,   // it is the event that had this number before
    other_numbering,  // it can't be
    unknown,
};

enum class ApplyResult {
    applied,
    outdated,  // everything in it was known, or older than what is known
    deferred,  // it would leave no pop cache and is held back; its purge, if any, was applied
    full,      // some endpoints did not fit into the table
};

class EndpointView {
  public:
    explicit EndpointView(ViewOptions options = {}) : options_(options) {}

    // An event of the change log with the index `watch_source`, or of the platform's configuration (-1).
    ApplyResult apply(config::WatchEvent change, Micros now, int watch_source = -1,
                      RecordSource source = RecordSource::watch);
    // The events passed in from now on are of a change log that counts from 1 again.
    void begin_numbering();
    // Compares an event whose number is known with what that number left behind.
    Continuity compare(const config::WatchEvent& change) const;
    // Loads a snapshot file, with its numbering. `wall_now`: the system clock, which gives the file's age;
    // `now`: this program's clock. Until a live source confirms the list, the staleness policy decides how
    // its endpoints are used.
    void load(const Snapshot& saved, base::UnixTime wall_now, Micros now);
    // Loads a snapshot whose age can't be determined: no endpoint is used because of it, but its drains,
    // removals and purges apply.
    void load_warnings(const Snapshot& saved, Micros now);
    // Adds the operator's static fallback list. Its endpoints are used as unverified where no newer record is
    // known or the snapshot has grown too old; never one that was reported as draining or removed.
    void seed(const config::WatchEvent& list, Micros now);

    // A source that is known to be current has sent a sign of life.
    void confirm(Micros now);
    void on_response(const std::string& id, Micros now);
    // A purge that another edge proxy reported.
    void add_purge(const Purge& purge, Micros now);
    // The next take_changes() returns this endpoint even if its record is the same: a state outside the view
    // has changed how it is used.
    void mark_changed(const std::string& id) { changed_ids_.insert(id), forced_ids_.insert(id); }
    void mark_all_changed() {
        for (const auto& [id, endpoint] : endpoints_) mark_changed(id);
    }
    // Applies what is due by time alone: deferred updates, and purges that expire.
    void advance(Micros now);

    // Endpoints whose record or trust has changed since the last call, ordered by name. One with no trust is
    // returned as removed, or as draining where its record says so.
    std::vector<config::LocatedEndpoint> take_changes(Micros now);
    // When advance() and take_changes() next have something to do by time alone.
    std::optional<Micros> next_deadline(Micros now) const;

    Trust trust_of(const std::string& id, Micros now) const;
    const KnownEndpoint* find(const std::string& id) const;
    // Time since the list was last confirmed; below 0: never.
    Micros age(Micros now) const { return confirmed_at_ > 0 ? now - confirmed_at_ : -1; }
    bool is_live() const { return live_; }  // confirmed by a live source since the start
    // The sequence number after which to resume the change log on a restart: a deferred update is requested
    // again.
    std::int64_t resume_after() const {
        return (deferred_update_ ? deferred_update_->change.sequence - 1 : last_sequence_) - numbering_base_;
    }
    std::int64_t last_sequence() const { return last_sequence_; }
    // Sequence number of the newest list, seed lists included: for display only, not for resuming a change
    // log.
    std::int64_t newest_list() const { return std::max(last_sequence_, seed_sequence_); }
    std::size_t size() const { return endpoints_.size(); }
    std::size_t count(Trust trust, Micros now) const;
    bool has_deferred_update() const { return deferred_update_.has_value(); }
    const std::map<std::string, KnownEndpoint>& endpoints() const { return endpoints_; }
    std::vector<Purge> purges() const;

    Snapshot snapshot(const std::string& site, base::UnixTime wall_now, Micros now) const;
    // Whether both views hold the same records and purges; times of receipt and of responses are not
    // compared.
    bool same_knowledge(const EndpointView& other) const;

  private:
    struct DeferredUpdate {
        config::WatchEvent change;
        int watch_source = -1;
        Micros since = 0;
    };
    using PurgesByAge = std::set<std::pair<Micros, std::string>>;
    struct StoredPurge {
        Purge purge;
        std::pair<Micros, std::string> age;  // its key in purges_by_age_
    };
    struct Reported {
        std::shared_ptr<const EndpointRecord> record;
        Trust trust = Trust::none;
    };

    Continuity compare_endpoint(const config::LocatedEndpoint& located, std::int64_t sequence) const;
    Continuity compare_purge(const config::WatchEvent& change, std::int64_t sequence) const;
    void remember_purge(const config::WatchEvent& change);
    void merge(std::shared_ptr<const EndpointRecord> record, bool& updated, bool& table_full);
    void merge_endpoints(const config::WatchEvent& change, Micros now, RecordSource source, bool& updated,
                         bool& table_full);
    void remove_unlisted(const config::WatchEvent& full_list);
    void insert_purge(const Purge& purge, Micros now, bool& updated);
    void load_purges(const Snapshot& saved, Micros now);
    void drop_oldest_purge();
    bool would_remove_last_cache(const config::WatchEvent& change) const;
    bool is_cache(const EndpointRecord& record) const;
    Trust evaluate_trust(const KnownEndpoint& endpoint, Micros now) const;
    bool is_address_reassigned(const EndpointRecord& record) const;
    void claim_address(const std::shared_ptr<const EndpointRecord>& record);
    void forget_removed();

    ViewOptions options_;
    std::map<std::string, KnownEndpoint> endpoints_;
    std::map<std::string, std::shared_ptr<const EndpointRecord>>
        address_owners_;  // by address: the newest record that has it
    std::map<std::string, Reported> reported_;
    std::set<std::string> changed_ids_, forced_ids_;
    bool all_changed_ = false;
    Micros changes_taken_at_ = 0;  // the last take_changes()
    std::set<std::string> seeded_ids_;
    std::map<std::string, StoredPurge> purges_;
    PurgesByAge purges_by_age_;
    std::optional<DeferredUpdate> deferred_update_;
    std::int64_t last_sequence_ = 0, full_list_sequence_ = 0, seed_sequence_ = 0;
    std::int64_t numbering_base_ = 0;
    std::map<std::int64_t, std::uint64_t> purge_digests_;  // of the newest events that told one, by number
    // Records of unknown endpoints up to this number belong to removed endpoints that were evicted.
    std::int64_t forgotten_through_ = 0;
    std::size_t removed_count_ = 0;
    Micros confirmed_at_ = 0;
    bool live_ = false;
};

}  // namespace sumackeel::endpoints
