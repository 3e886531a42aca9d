#include "daemon/endpoint_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace sumackeel::daemon {

using base::Micros;
using routing::EndpointState;

namespace {

// A folder is read in milliseconds. One that takes longer than this is taken up when it has been read, and
// the proxy serves by what else it knows until then.
constexpr std::chrono::milliseconds kWaitForList{500};
constexpr Micros kLookForList = 100'000;
// From a purge to its event, with room for a log that was sure for what had not arrived yet.
constexpr Micros kNotifiedWithin = 1'000'000;
constexpr std::size_t kMostStarts = 200'000;  // of members ever told; beyond it they are read anew

endpoints::ViewOptions view_options(const config::Config& config, const config::Operator& setup) {
    endpoints::ViewOptions options;
    options.origin_kind = config.site.settings.origin_kind;
    options.parent_kind = config.site.settings.parent_kind;
    options.purge_retention = 2 * config.site.settings.purge_completes_within;
    if (setup.discovery) options.empty_list_delay = setup.discovery->empty_list_delay;
    if (setup.endpoint_snapshot)
        options.staleness = {.full_until = setup.endpoint_snapshot->full_until,
                             .unverified_until = setup.endpoint_snapshot->unverified_until,
                             .answered_within = setup.endpoint_snapshot->answered_within};
    return options;
}

// The platform's change log alone is called again each 100 ms: what it has to tell counts as told soon.
endpoints::WatchOptions source_options(const config::Operator& setup) {
    endpoints::WatchOptions options;
    if (setup.discovery) {
        options.first_wait = setup.discovery->first_wait;
        options.longest_wait = setup.discovery->longest_wait;
        options.jitter = setup.discovery->jitter;
        options.follow = setup.discovery->follow;
    }
    // Only where the list's age counts, or purges must be surely known, must a source show that it is not
    // behind.
    options.require_proof = setup.discovery || setup.endpoint_snapshot || setup.recovery;
    return options;
}

std::vector<std::string> change_logs(const config::Config& config, const config::Operator& setup) {
    if (setup.discovery && !setup.discovery->sources.empty()) return setup.discovery->sources;
    if (config.changelog.empty()) return {};
    return {config.changelog};
}

}  // namespace

EndpointManager::EndpointManager(net::Loop& loop, net::SocketBudget& sockets, core::Core& core,
                                 upstream::ConnectionPool& pool, const config::Config& config,
                                 const config::Operator& setup)
    : loop_(loop), core_(core), pool_(pool), config_(config), view_(view_options(config, setup)) {
    if (setup.endpoint_snapshot) {
        start_keeping(*setup.endpoint_snapshot);
        // How old the configuration is nobody knows: what it tells is a seed list.
        for (const config::WatchEvent& change : config.known) {
            if (change.has_endpoints) seed(change);
            if (!change.has_purge) continue;
            config::WatchEvent purge = change;
            purge.has_endpoints = false;
            hear(purge, -1);
        }
    } else {
        for (const config::WatchEvent& change : config.known) hear(change, -1);
    }
    publish();
    core_.process_events();
    const auto addresses = change_logs(config, setup);
    if (addresses.empty()) return;
    const std::int64_t behind = setup.endpoint_snapshot ? view_.resume_after() : config.known_seq;
    watch_ = std::make_unique<discovery::DiscoveryWatch>(
        loop_, sockets, addresses, config.site, behind, source_options(setup), config.seed,
        [this](const config::WatchEvent& change, int log) {
            hear(change, log);
            publish();
        },
        [this] { is_confirmed(); });
}

void EndpointManager::start_keeping(const config::EndpointSnapshot& list) {
    site_ = list.site;
    const endpoints::NameTables names{config_.site.zones, config_.site.kinds};
    loading_.emplace(list.folder, names, site_, loop_.clock().unix_now());
    const endpoint_snapshot::WriteSchedule pace{.save_every = list.save_every, .refresh = list.refresh};
    snapshot_writer_ = std::make_unique<endpoint_snapshot::SnapshotWriter>(
        loop_, list.folder, names, pace,
        [this] { return view_.snapshot(site_, loop_.clock().unix_now(), loop_.clock().now()); });
    core_.on_endpoint_response(
        [this](const std::string& target) { view_.on_response(target, loop_.clock().now()); });
    if (auto found = loading_->take(kWaitForList)) return take_found(std::move(*found));
    log::warn("saved list: {} takes long to read, going on without for now", list.folder);
    look_for_found();
}

void EndpointManager::look_for_found() {
    loop_.timers().schedule(loop_.clock().now() + kLookForList, [this] {
        auto found = loading_->take(std::chrono::milliseconds(0));
        if (!found) return look_for_found();
        take_found(std::move(*found));
        if (watch_) watch_->skip_through(view_.resume_after());
        publish();
        core_.process_events();
    });
}

void EndpointManager::take_found(endpoint_snapshot::LoadedSnapshot found) {
    const Micros now = loop_.clock().now();
    const base::UnixTime wall = loop_.clock().unix_now();
    for (const endpoint_snapshot::SkippedFile& passed : found.skipped)
        log::warn("saved list: {} passed over, {}: {}", passed.file, name_of(passed.fault.code),
                  passed.fault.text);
    if (found.snapshot) {
        view_.load(*found.snapshot, wall, now);
        using endpoints::Trust;
        const Micros age = endpoints::age_of(*found.snapshot, wall);
        log::info(
            "saved list: {} taken, {} ms old, {} in full, {} with care, {} not used, {} of other settings",
            found.file, age < 0 ? -1 : age / 1000, view_.count(Trust::full, now),
            view_.count(Trust::unverified, now), view_.count(Trust::none, now), found.left_out);
    } else {
        log::warn("saved list: none that can be used");
    }
    // What was heard as gone, and purges, bind whatever the clock says.
    for (const endpoints::Snapshot& warnings : found.warnings) view_.load_warnings(warnings, now);
    for (const endpoints::Purge& purge : view_.purges()) tell_purge(purge);
    lock_ = std::move(found.lock);
    if (lock_ && !lock_->error().empty())
        return log::error("saved list: not kept by this program: {}", lock_->error());
    snapshot_writer_->start_after(found.generation, found.good_generation);
}

void EndpointManager::update_config(const config::Config& config, const config::Operator& setup) {
    for (const config::WatchEvent& change : config.known) {
        if (setup.endpoint_snapshot && change.has_endpoints) seed(change);
        if (!setup.endpoint_snapshot && watch_) watch_->apply(change);
    }
    const auto addresses = change_logs(config, setup);
    if (watch_ && !addresses.empty()) watch_->set_addresses(addresses);
    publish();
}

// Danger: told again, a start must be the same moment to the microsecond, or the module would take it for
// another one and begin the slow start anew. So each is read once, by the clock as it stands then.
void EndpointManager::date_starts(config::WatchEvent& change) {
    if (starts_.size() > kMostStarts) starts_.clear();
    for (config::LocatedEndpoint& placed : change.endpoints) {
        routing::Endpoint& entry = placed.endpoint;
        if (entry.started_at <= 0) continue;
        const base::UnixTime reported{entry.started_at};
        Start& start = starts_[entry.name];
        if (start.reported_at != reported) start = {reported, loop_.clock().from_unix(reported)};
        entry.started_at = start.moment;
    }
}

void EndpointManager::seed(config::WatchEvent list) {
    date_starts(list);
    view_.seed(list, loop_.clock().now());
}

void EndpointManager::hear(const config::WatchEvent& reported, int log) {
    const Micros now = loop_.clock().now();
    config::WatchEvent change = reported;
    // Danger: the time of a purge is the origin's clock, and ours may have come back an hour ahead of it: the
    // purge would seem long over. What a log tells that was sure a moment ago is no older than that moment.
    date_starts(change);
    if (change.has_purge) change.purged_at = loop_.clock().from_unix(change.purge_time);
    if (change.has_purge && on_sure_ && view_.is_live())
        change.purged_at = std::max(change.purged_at, now - view_.age(now) - kNotifiedWithin);
    const endpoints::ApplyResult result = view_.apply(change, now, log);
    if (result == endpoints::ApplyResult::deferred)
        log::warn("endpoints: list without cache servers deferred sequence={} known={}", change.sequence,
                  view_.size());
    if (result == endpoints::ApplyResult::full)
        log::error("list {} names more members than there is room for, the new ones are left out",
                   change.sequence);
    log::debug(
        "endpoints: received sequence={} log={} fleet={} entries={} purge={} object={} group={} ago_us={}",
        change.sequence, log, change.has_endpoints, change.endpoints.size(), change.has_purge, change.object,
        change.purge_group, change.has_purge ? now - change.purged_at : 0);
    if (change.has_purge) tell_purge({change.object, change.purge_group, change.purged_at});
    if (snapshot_writer_ && result != endpoints::ApplyResult::outdated) snapshot_writer_->on_changed();
}

void EndpointManager::is_confirmed() {
    const bool first = !view_.is_live();
    view_.confirm(loop_.clock().now());
    if (on_sure_) on_sure_();
    if (snapshot_writer_) first ? snapshot_writer_->on_changed() : snapshot_writer_->on_confirmed();
    if (!first) return;
    if (snapshot_writer_) log::info("list confirmed by a change log, {} members", view_.size());
    publish();
    core_.process_events();
}

// What the view lets the module use goes to the module, and where it is to the pool; again when time alone
// changes it.
void EndpointManager::publish() {
    const Micros now = loop_.clock().now();
    const bool doubted = view_.has_deferred_update();
    view_.advance(now);
    if (doubted && !view_.has_deferred_update()) log::warn("endpoints: list without cache servers applied");
    routing::EndpointUpdate news;
    news.version = view_.last_sequence();
    news.kind = routing::EndpointUpdateKind::incremental;
    for (config::LocatedEndpoint placed : view_.take_changes(now)) {
        if (placed.endpoint.state == EndpointState::ready && bans_.contains(placed.endpoint.name))
            placed.endpoint.state = EndpointState::draining;
        if (cold_since_ > 0 && placed.endpoint.kind != config_.site.settings.origin_kind)
            placed.endpoint.started_at = std::max(placed.endpoint.started_at, cold_since_);
        if (placed.endpoint.state == EndpointState::removed)
            pool_.retire(placed.endpoint.name);
        else if (!placed.address.empty())
            pool_.set_address(placed.endpoint.name, placed.address);
        const routing::Endpoint& e = placed.endpoint;
        log::debug("member id={} zone={} kind={} weight={:.2f} state={} since_us={}", e.name, e.zone, e.kind,
                   e.weight, static_cast<int>(e.state), e.started_at);
        news.endpoints.push_back(placed.endpoint);
    }
    if (!news.endpoints.empty()) core_.notify(std::move(news));
    if (next_publish_) loop_.timers().cancel(*next_publish_);
    next_publish_.reset();
    if (const auto due = view_.next_deadline(now))
        next_publish_ = loop_.timers().schedule(*due, [this] {
            next_publish_.reset();
            publish();
            core_.process_events();
        });
}

void EndpointManager::tell_purge(const endpoints::Purge& purge) {
    core_.notify(routing::Purge{.purge_group = purge.purge_group,
                                .age = std::max<Micros>(0, loop_.clock().now() - purge.at),
                                .object = purge.object});
}

void EndpointManager::add_purges(const std::vector<endpoints::Purge>& purges) {
    const Micros now = loop_.clock().now();
    for (const endpoints::Purge& purge : purges) {
        view_.add_purge(purge, now);
        tell_purge(purge);
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
    if (!watch_) return true;  // the configuration alone tells
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
