#include "daemon/endpoint_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "daemon/component_options.h"

namespace sumackeel::daemon {

using base::Micros;
using routing::EndpointState;

namespace {

// Reading the directory normally takes milliseconds. If it takes longer than this, the snapshot is loaded
// once it has been read; until then the proxy serves by what it knows from other sources.
constexpr std::chrono::milliseconds kSnapshotLoadTimeout{500};
constexpr Micros kSnapshotPollInterval = 100'000;
// Upper bound of the time from a purge to its event, with a margin for a change log that confirmed the list
// while an event was still on its way.
constexpr Micros kPurgeEventDelay = 1'000'000;
// Start times of all endpoints ever reported; beyond this number they are converted again.
constexpr std::size_t kMaxStartTimes = 200'000;
constexpr std::size_t kMaxWarned = 16'384;
constexpr Micros kMinNumberingInterval = 2'000'000;
constexpr Micros kNumberingCatchUp = 300'000;  // for what a change log that began anew has so far
// Told before there is a store to pass them on to; the oldest come first, in the configuration.
constexpr std::size_t kMaxPurgesBeforeCallback = 20'000;

endpoints::ViewOptions view_options(const config::Config& config, const config::Operator& setup) {
    endpoints::ViewOptions options;
    options.origin_kind = config.site.settings.origin_kind;
    options.parent_kind = config.site.settings.parent_kind;
    options.purge_retention = purge_retention(config.site.settings);
    if (setup.discovery) options.empty_list_delay = setup.discovery->empty_list_delay;
    if (setup.endpoint_snapshot)
        options.staleness = {.full_until = setup.endpoint_snapshot->full_until,
                             .unverified_until = setup.endpoint_snapshot->unverified_until,
                             .answered_within = setup.endpoint_snapshot->answered_within};
    return options;
}

// Without [discovery] the platform's change log is the only source and the defaults apply: a lost connection
// is retried every 100 ms, so its events are assumed to arrive soon.
endpoints::WatchOptions watch_options(const config::Operator& setup) {
    endpoints::WatchOptions options;
    if (setup.discovery) {
        options.first_wait = setup.discovery->first_wait;
        options.longest_wait = setup.discovery->longest_wait;
        options.jitter = setup.discovery->jitter;
        options.follow = setup.discovery->follow;
    }
    // A source must prove that it is not behind only if the list's age matters or purges must be known for
    // certain.
    options.require_proof = setup.discovery || setup.endpoint_snapshot || setup.recovery;
    return options;
}

std::vector<std::string> change_log_addresses(const config::Config& config, const config::Operator& setup) {
    if (setup.discovery && !setup.discovery->sources.empty()) return setup.discovery->sources;
    if (config.changelog.empty()) return {};
    return {config.changelog};
}

}  // namespace

EndpointManager::EndpointManager(net::Loop& loop, net::SocketBudget& sockets, core::Core& core,
                                 upstream::ConnectionPool& pool, const config::Config& config,
                                 const config::Operator& setup)
    : loop_(loop),
      core_(core),
      pool_(pool),
      config_(config),
      view_(view_options(config, setup)),
      requires_proof_(watch_options(setup).require_proof),
      passes_purges_on_(setup.store.has_value()) {
    if (setup.endpoint_snapshot) {
        start_snapshots(*setup.endpoint_snapshot);
        // The age of the configuration is unknown, so its endpoints are only a seed list.
        for (const config::WatchEvent& change : config.known) {
            if (change.has_endpoints) seed(change);
            if (change.has_purge) obey_purge(change);
        }
    } else {
        for (const config::WatchEvent& change : config.known) on_watch_event(change, -1);
    }
    publish();
    core_.process_events();
    const auto addresses = change_log_addresses(config, setup);
    if (addresses.empty()) return;
    const std::int64_t resume_after = setup.endpoint_snapshot ? view_.resume_after() : config.known_seq;
    watch_ = std::make_unique<discovery::DiscoveryWatch>(
        loop_, sockets, addresses, config.site, resume_after, watch_options(setup), config.seed,
        discovery::DiscoveryWatch::Callbacks{
            .on_change =
                [this](const config::WatchEvent& change, int log_index) {
                    on_watch_event(change, log_index);
                    publish();
                },
            .on_confirmed = [this] { on_list_confirmed(); },
            .on_known_number = [this](const config::WatchEvent& change,
                                      bool is_other_proven) { on_known_number(change, is_other_proven); },
            .on_short_answer = [this] { begin_numbering(); }});
}

void EndpointManager::start_snapshots(const config::EndpointSnapshot& settings) {
    site_ = settings.site;
    const endpoints::NameTables names{config_.site.zones, config_.site.kinds};
    loading_.emplace(settings.folder, names, site_, loop_.clock().unix_now());
    const endpoint_snapshot::WriteSchedule schedule{.save_every = settings.save_every,
                                                    .refresh = settings.refresh};
    snapshot_writer_ = std::make_unique<endpoint_snapshot::SnapshotWriter>(
        loop_, settings.folder, names, schedule,
        [this] { return view_.snapshot(site_, loop_.clock().unix_now(), loop_.clock().now()); });
    core_.on_endpoint_response(
        [this](const std::string& target) { view_.on_response(target, loop_.clock().now()); });
    if (auto loaded = loading_->take(kSnapshotLoadTimeout)) return load_snapshot(std::move(*loaded));
    log::warn("endpoint_snapshot: read is slow folder={}; starting without a snapshot for now",
              settings.folder);
    poll_snapshot_loader();
}

void EndpointManager::poll_snapshot_loader() {
    loop_.timers().schedule(loop_.clock().now() + kSnapshotPollInterval, [this] {
        auto loaded = loading_->take(std::chrono::milliseconds(0));
        if (!loaded) return poll_snapshot_loader();
        load_snapshot(std::move(*loaded));
        if (watch_) watch_->skip_through(view_.resume_after());
        publish();
        core_.process_events();
    });
}

void EndpointManager::load_snapshot(endpoint_snapshot::LoadedSnapshot loaded) {
    const Micros now = loop_.clock().now();
    const base::UnixTime wall = loop_.clock().unix_now();
    for (const endpoint_snapshot::SkippedFile& skipped : loaded.skipped)
        log::warn("endpoint_snapshot: file skipped file={} reason={} detail={}", skipped.file,
                  name_of(skipped.fault.code), skipped.fault.text);
    if (loaded.snapshot) {
        view_.load(*loaded.snapshot, wall, now);
        using endpoints::Trust;
        const Micros age = endpoints::age_of(*loaded.snapshot, wall);
        log::info(
            "endpoint_snapshot: loaded file={} age_ms={} full={} unverified={} unused={} "
            "of_other_settings={}",
            loaded.file, age < 0 ? -1 : age / 1000, view_.count(Trust::full, now),
            view_.count(Trust::unverified, now), view_.count(Trust::none, now), loaded.left_out);
    } else {
        log::warn("endpoint_snapshot: no usable file found");
    }
    // Removals and purges apply regardless of what the clock says.
    for (const endpoints::Snapshot& warnings : loaded.warnings) view_.load_warnings(warnings, now);
    for (const endpoints::Purge& purge : view_.purges()) notify_purge(purge);
    lock_ = std::move(loaded.lock);
    if (lock_ && !lock_->error().empty())
        return log::error("endpoint_snapshot: not written by this process reason={}", lock_->error());
    snapshot_writer_->start_after(loaded.generation, loaded.good_generation);
}

void EndpointManager::update_config(const config::Config& config, const config::Operator& setup) {
    for (const config::WatchEvent& change : config.known) {
        if (setup.endpoint_snapshot && change.has_endpoints) seed(change);
        if (!setup.endpoint_snapshot && watch_) watch_->apply(change);
    }
    const auto addresses = change_log_addresses(config, setup);
    if (watch_ && !addresses.empty()) watch_->set_addresses(addresses);
    publish();
}

// A start time that is reported again must convert to the same moment to the microsecond: otherwise the
// router would take it for another start and begin the slow start again. So each is converted only once, by
// the clock at that time.
void EndpointManager::convert_start_times(config::WatchEvent& change) {
    if (start_times_.size() > kMaxStartTimes) start_times_.clear();
    for (config::LocatedEndpoint& located : change.endpoints) {
        routing::Endpoint& endpoint = located.endpoint;
        if (endpoint.started_at <= 0) continue;
        const base::UnixTime reported{endpoint.started_at};
        StartTime& start = start_times_[endpoint.name];
        if (start.reported_at != reported) start = {reported, loop_.clock().from_unix(reported)};
        endpoint.started_at = start.moment;
    }
}

void EndpointManager::seed(config::WatchEvent list) {
    convert_start_times(list);
    view_.seed(list, loop_.clock().now());
}

void EndpointManager::on_watch_event(const config::WatchEvent& reported, int log_index) {
    const Micros now = loop_.clock().now();
    config::WatchEvent change = reported;
    convert_start_times(change);
    if (change.has_purge) change.purged_at = purge_time_of(change);
    if (log_index >= 0 && std::exchange(awaits_first_event_, false)) delay_publish();
    for (const config::LocatedEndpoint& located : change.endpoints) {
        if (warned_.erase(located.endpoint.name) > 0) view_.mark_changed(located.endpoint.name);
    }
    const endpoints::ApplyResult result = view_.apply(change, now, log_index);
    if (result == endpoints::ApplyResult::deferred)
        log::warn("endpoints: list without cache servers deferred sequence={} known={}", change.sequence,
                  view_.size());
    if (result == endpoints::ApplyResult::full)
        log::error("endpoints: list too long, new endpoints ignored sequence={}", change.sequence);
    log::debug(
        "endpoints: received sequence={} log={} fleet={} entries={} purge={} object={} group={} ago_us={}",
        change.sequence, log_index, change.has_endpoints, change.endpoints.size(), change.has_purge,
        change.object, change.purge_group, change.has_purge ? now - change.purged_at : 0);
    if (change.has_purge) {
        notify_purge(endpoints::purge_of(change, change.purged_at));
        report_purge(reported);
    }
    if (snapshot_writer_ && result != endpoints::ApplyResult::outdated) snapshot_writer_->on_changed();
}

// Only a change log that is not contradicted by another, known to be current, may begin the numbers anew. One
// that contradicts itself does not do so again and again.
void EndpointManager::on_known_number(const config::WatchEvent& event, bool is_other_proven) {
    const endpoints::Continuity continuity = view_.compare(event);
    if (continuity == endpoints::Continuity::same_numbering) return;
    if (event.has_purge) obey_purge(event);
    if (is_other_proven) return;
    obey_warnings(event);
    const Micros now = loop_.clock().now();
    const bool is_due = !numbering_began_at_ || now >= *numbering_began_at_ + kMinNumberingInterval;
    if (continuity == endpoints::Continuity::other_numbering && is_due) begin_numbering();
}

void EndpointManager::begin_numbering() {
    log::warn("endpoints: change log began anew known={}", view_.resume_after());
    view_.begin_numbering();
    watch_->begin_numbering();
    numbering_began_at_ = loop_.clock().now();
    awaits_first_event_ = true;
}

// The first events of a numbering may say that an endpoint is in use which drains by a later one, so they are
// published together. Their time counts from the first one: the change log may answer late.
void EndpointManager::delay_publish() {
    if (delayed_publish_) loop_.timers().cancel(*delayed_publish_);
    delayed_publish_ = loop_.timers().schedule(loop_.clock().now() + kNumberingCatchUp, [this] {
        delayed_publish_.reset();
        publish();
        core_.process_events();
    });
}

void EndpointManager::obey_warnings(const config::WatchEvent& event) {
    bool changed = false;
    for (const config::LocatedEndpoint& located : event.endpoints) {
        const std::string& id = located.endpoint.name;
        if (located.endpoint.state == EndpointState::ready || warned_.size() >= kMaxWarned) continue;
        if (!warned_.insert(id).second) continue;
        view_.mark_changed(id);
        changed = true;
    }
    if (changed) publish();
}

// The time of a purge is taken from the origin's clock. The local clock may be an hour ahead of it after a
// restart, and the purge would seem long completed. An event from a change log that confirmed the list a
// moment ago is no older than that confirmation.
Micros EndpointManager::purge_time_of(const config::WatchEvent& event) {
    const Micros now = loop_.clock().now();
    const Micros purged_at = loop_.clock().from_unix(event.purge_time);
    if (!on_confirmed_ || !view_.is_live()) return purged_at;
    return std::max(purged_at, now - view_.age(now) - kPurgeEventDelay);
}

// A purge that may be known: a second time it changes nothing.
void EndpointManager::obey_purge(const config::WatchEvent& event) {
    const endpoints::Purge purge = endpoints::purge_of(event, purge_time_of(event));
    view_.add_purge(purge, loop_.clock().now());
    notify_purge(purge);
    report_purge(event);
}

void EndpointManager::report_purge(const config::WatchEvent& event) {
    if (on_change_log_purge_)
        on_change_log_purge_(event);
    else if (passes_purges_on_ && purges_before_callback_.size() < kMaxPurgesBeforeCallback)
        purges_before_callback_.push_back(event);
}

// The configuration may hold the purges of hours; all but the newest have been carried out long ago.
void EndpointManager::on_change_log_purge(std::function<void(const config::WatchEvent&)> callback) {
    on_change_log_purge_ = std::move(callback);
    base::UnixTime newest{};
    for (const config::WatchEvent& event : purges_before_callback_)
        newest = std::max(newest, event.purge_time);
    const Micros retention = purge_retention(config_.site.settings);
    for (const config::WatchEvent& event : std::exchange(purges_before_callback_, {}))
        if (on_change_log_purge_ && newest - event.purge_time <= retention) on_change_log_purge_(event);
}

void EndpointManager::on_list_confirmed() {
    const bool first = !view_.is_live();
    view_.confirm(loop_.clock().now());
    if (requires_proof_ && !warned_.empty()) {
        for (const std::string& id : std::exchange(warned_, {})) view_.mark_changed(id);
        publish();
    }
    if (on_confirmed_) on_confirmed_();
    if (snapshot_writer_) first ? snapshot_writer_->on_changed() : snapshot_writer_->on_confirmed();
    if (!first) return;
    if (snapshot_writer_) log::info("endpoints: list confirmed by a change log entries={}", view_.size());
    publish();
    core_.process_events();
}

// Passes changes of the usable endpoints to the router and their addresses to the connection pool. Runs again
// at the time at which the view changes by the passage of time alone.
void EndpointManager::publish() {
    if (delayed_publish_) return;
    const Micros now = loop_.clock().now();
    const bool was_deferred = view_.has_deferred_update();
    view_.advance(now);
    if (was_deferred && !view_.has_deferred_update())
        log::warn("endpoints: list without cache servers applied");
    routing::EndpointUpdate update;
    update.version = view_.last_sequence();
    update.kind = routing::EndpointUpdateKind::incremental;
    for (config::LocatedEndpoint located : view_.take_changes(now)) {
        if (located.endpoint.state == EndpointState::ready && is_held_back(located.endpoint.name))
            located.endpoint.state = EndpointState::draining;
        if (cold_since_ > 0 && located.endpoint.kind != config_.site.settings.origin_kind)
            located.endpoint.started_at = std::max(located.endpoint.started_at, cold_since_);
        if (located.endpoint.state == EndpointState::removed)
            pool_.retire(located.endpoint.name);
        else if (!located.address.empty())
            pool_.set_address(located.endpoint.name, located.address);
        const routing::Endpoint& endpoint = located.endpoint;
        log::debug("endpoints: update id={} zone={} kind={} weight={:.2f} state={} since_us={}",
                   endpoint.name, endpoint.zone, endpoint.kind, endpoint.weight,
                   static_cast<int>(endpoint.state), endpoint.started_at);
        update.endpoints.push_back(located.endpoint);
    }
    if (!update.endpoints.empty()) core_.notify(std::move(update));
    if (next_publish_) loop_.timers().cancel(*next_publish_);
    next_publish_.reset();
    if (const auto due = view_.next_deadline(now))
        next_publish_ = loop_.timers().schedule(*due, [this] {
            next_publish_.reset();
            publish();
            core_.process_events();
        });
}

void EndpointManager::notify_purge(const endpoints::Purge& purge) {
    core_.notify(routing::Purge{.purge_group = purge.purge_group,
                                .age = std::max<Micros>(0, loop_.clock().now() - purge.at),
                                .object = purge.object});
}

void EndpointManager::add_purges(const std::vector<endpoints::Purge>& purges) {
    const Micros now = loop_.clock().now();
    for (const endpoints::Purge& purge : purges) {
        view_.add_purge(purge, now);
        notify_purge(purge);
    }
    if (snapshot_writer_ && !purges.empty()) snapshot_writer_->on_changed();
    core_.process_events();
}

void EndpointManager::mark_all_cold() {
    cold_since_ = loop_.clock().now();
    view_.mark_all_changed();
    publish();
    core_.process_events();
}

bool EndpointManager::is_confirmed(Micros within) const {
    if (!watch_) return true;  // the configuration is the only source
    const Micros age = view_.age(loop_.clock().now());
    return view_.is_live() && age >= 0 && age <= within;
}

void EndpointManager::set_bans(const std::set<std::string>& bans) {
    if (bans == bans_) return;
    for (const std::string& id : bans_)
        if (!bans.contains(id)) view_.mark_changed(id);
    for (const std::string& id : bans)
        if (!bans_.contains(id)) view_.mark_changed(id);
    bans_ = bans;
    publish();
    core_.process_events();
}

void EndpointManager::write_last_snapshot() {
    if (!snapshot_writer_) return;
    const endpoint_snapshot::WriterMetrics& metrics = snapshot_writer_->metrics();
    log::info("saved list: ended, written={} failed={} bytes={} longest_us={}", metrics.written,
              metrics.failed, metrics.bytes, metrics.longest_snapshot);
    snapshot_writer_->flush();
}

}  // namespace sumackeel::daemon
