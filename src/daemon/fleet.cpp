#include "daemon/fleet.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace sumackeel::daemon {

using base::Micros;
using nettlethread::CacheState;

namespace {

// A folder is read in milliseconds. One that takes longer than this is taken up when it has been read, and
// the proxy serves by what else it knows until then.
constexpr std::chrono::milliseconds kWaitForList{500};
constexpr Micros kLookForList = 100'000;
// From a purge to its event, with room for a log that was sure for what had not arrived yet.
constexpr Micros kToldWithin = 1'000'000;
constexpr std::size_t kMostStarts = 200'000;  // of members ever told; beyond it they are read anew

membership::Options view_options(const config::Config& config, const config::Operator& setup) {
    membership::Options options;
    options.origin_kind = config.site.settings.origin_kind;
    options.parent_kind = config.site.settings.parent_kind;
    options.keep_purges_for = 2 * config.site.settings.cleared_within;
    if (setup.discovery) options.doubt_for = setup.discovery->doubt_empty;
    if (setup.saved_list)
        options.bands = {.full_until = setup.saved_list->full_until,
                         .careful_until = setup.saved_list->careful_until,
                         .answered_within = setup.saved_list->answered_within};
    return options;
}

// The platform's change log alone is called again each 100 ms: what it has to tell counts as told soon.
membership::SourceOptions source_options(const config::Operator& setup) {
    membership::SourceOptions options;
    if (setup.discovery) {
        options.first_wait = setup.discovery->first_wait;
        options.longest_wait = setup.discovery->longest_wait;
        options.jitter = setup.discovery->jitter;
        options.follow = setup.discovery->follow;
    }
    // Only where the list's age counts, or purges must be surely known, must a source show that it is not
    // behind.
    options.prove = setup.discovery || setup.saved_list || setup.recovery;
    return options;
}

std::vector<std::string> change_logs(const config::Config& config, const config::Operator& setup) {
    if (setup.discovery && !setup.discovery->sources.empty()) return setup.discovery->sources;
    if (config.changelog.empty()) return {};
    return {config.changelog};
}

}  // namespace

Fleet::Fleet(net::Loop& loop, net::Budget& sockets, core::Core& core, upstream::Pool& pool,
             const config::Config& config, const config::Operator& setup)
    : loop_(loop), core_(core), pool_(pool), config_(config), view_(view_options(config, setup)) {
    if (setup.saved_list) {
        start_keeping(*setup.saved_list);
        // How old the configuration is nobody knows: what it tells is a seed list.
        for (const config::Change& change : config.known) {
            if (change.has_fleet) seed(change);
            if (!change.has_purge) continue;
            config::Change purge = change;
            purge.has_fleet = false;
            hear(purge, -1);
        }
    } else {
        for (const config::Change& change : config.known) hear(change, -1);
    }
    publish();
    core_.run();
    const auto addresses = change_logs(config, setup);
    if (addresses.empty()) return;
    const std::int64_t behind = setup.saved_list ? view_.resume_behind() : config.known_seq;
    feed_ = std::make_unique<feed::Feed>(
        loop_, sockets, addresses, config.site, behind, source_options(setup), config.seed,
        [this](const config::Change& change, int log) {
            hear(change, log);
            publish();
        },
        [this] { sure(); });
}

void Fleet::start_keeping(const config::SavedList& list) {
    site_ = list.site;
    const membership::Names names{config_.site.zones, config_.site.kinds};
    loading_.emplace(list.folder, names, site_, loop_.clock().unix_now());
    const saved_list::Pace pace{.save_every = list.save_every, .refresh = list.refresh};
    keeper_ = std::make_unique<saved_list::Keeper>(loop_, list.folder, names, pace, [this] {
        return view_.snapshot(site_, loop_.clock().unix_now(), loop_.clock().now());
    });
    core_.on_answer([this](const std::string& target) { view_.answered(target, loop_.clock().now()); });
    if (auto found = loading_->take(kWaitForList)) return take_found(std::move(*found));
    log::warn("saved list: {} takes long to read, going on without for now", list.folder);
    look_for_found();
}

void Fleet::look_for_found() {
    loop_.deadlines().set(loop_.clock().now() + kLookForList, [this] {
        auto found = loading_->take(std::chrono::milliseconds(0));
        if (!found) return look_for_found();
        take_found(std::move(*found));
        if (feed_) feed_->known_to(view_.resume_behind());
        publish();
        core_.run();
    });
}

void Fleet::take_found(saved_list::Found found) {
    const Micros now = loop_.clock().now();
    const base::UnixTime wall = loop_.clock().unix_now();
    for (const saved_list::Passed& passed : found.passed)
        log::warn("saved list: {} passed over, {}: {}", passed.file, name_of(passed.fault.kind),
                  passed.fault.text);
    if (found.list) {
        view_.load(*found.list, wall, now);
        using membership::Use;
        const Micros age = membership::age_of(*found.list, wall);
        log::info(
            "saved list: {} taken, {} ms old, {} in full, {} with care, {} not used, {} of other settings",
            found.file, age < 0 ? -1 : age / 1000, view_.count(Use::full, now),
            view_.count(Use::careful, now), view_.count(Use::none, now), found.left_out);
    } else {
        log::warn("saved list: none that can be used");
    }
    // What was heard as gone, and purges, bind whatever the clock says.
    for (const membership::Snapshot& warnings : found.warnings) view_.load_warnings(warnings, now);
    for (const membership::Purge& purge : view_.purges()) tell_purge(purge);
    lock_ = std::move(found.lock);
    if (lock_ && !lock_->fault().empty())
        return log::error("saved list: not kept by this program: {}", lock_->fault());
    keeper_->begin_behind(found.generation, found.good);
}

void Fleet::renew(const config::Config& config, const config::Operator& setup) {
    for (const config::Change& change : config.known) {
        if (setup.saved_list && change.has_fleet) seed(change);
        if (!setup.saved_list && feed_) feed_->heard(change);
    }
    const auto addresses = change_logs(config, setup);
    if (feed_ && !addresses.empty()) feed_->move_to(addresses);
    publish();
}

// Danger: told again, a start must be the same moment to the microsecond, or the module would take it for
// another one and begin the slow start anew. So each is read once, by the clock as it stands then.
void Fleet::date_starts(config::Change& change) {
    if (starts_.size() > kMostStarts) starts_.clear();
    for (config::Placed& placed : change.members) {
        nettlethread::CacheEntry& entry = placed.entry;
        if (entry.since <= 0) continue;
        const base::UnixTime told{entry.since};
        Start& start = starts_[entry.cache];
        if (start.told != told) start = {told, loop_.clock().from_unix(told)};
        entry.since = start.moment;
    }
}

void Fleet::seed(config::Change list) {
    date_starts(list);
    view_.seed(list, loop_.clock().now());
}

void Fleet::hear(const config::Change& told, int log) {
    const Micros now = loop_.clock().now();
    config::Change change = told;
    // Danger: the time of a purge is the origin's clock, and ours may have come back an hour ahead of it: the
    // purge would seem long over. What a log tells that was sure a moment ago is no older than that moment.
    date_starts(change);
    if (change.has_purge) change.purged_at = loop_.clock().from_unix(change.purge_time);
    if (change.has_purge && on_sure_ && view_.live())
        change.purged_at = std::max(change.purged_at, now - view_.age(now) - kToldWithin);
    const membership::Heard heard = view_.apply(change, now, log);
    if (heard == membership::Heard::doubted)
        log::warn("list {} names no cache box, not believed yet: the {} members known stay in use",
                  change.seq, view_.size());
    if (heard == membership::Heard::full)
        log::error("list {} names more members than there is room for, the new ones are left out",
                   change.seq);
    log::debug("heard seq={} log={} fleet={} entries={} purge={} object={} group={} ago_us={}", change.seq,
               log, change.has_fleet, change.members.size(), change.has_purge, change.object, change.group,
               change.has_purge ? now - change.purged_at : 0);
    if (change.has_purge) tell_purge({change.object, change.group, change.purged_at});
    if (keeper_ && heard != membership::Heard::old) keeper_->changed();
}

void Fleet::sure() {
    const bool first = !view_.live();
    view_.confirm(loop_.clock().now());
    if (on_sure_) on_sure_();
    if (keeper_) first ? keeper_->changed() : keeper_->confirmed();
    if (!first) return;
    if (keeper_) log::info("list confirmed by a change log, {} members", view_.size());
    publish();
    core_.run();
}

// What the view lets the module use goes to the module, and where it is to the pool; again when time alone
// changes it.
void Fleet::publish() {
    const Micros now = loop_.clock().now();
    const bool doubted = view_.doubting();
    view_.pass(now);
    if (doubted && !view_.doubting()) log::warn("the list without a cache box is believed now");
    nettlethread::ListNews news;
    news.version = view_.last_seq();
    news.kind = nettlethread::ListKind::changes;
    for (config::Placed placed : view_.changes(now)) {
        if (placed.entry.state == CacheState::ready && bans_.contains(placed.entry.cache))
            placed.entry.state = CacheState::draining;
        if (cold_since_ > 0 && placed.entry.kind != config_.site.settings.origin_kind)
            placed.entry.since = std::max(placed.entry.since, cold_since_);
        if (placed.entry.state == CacheState::gone)
            pool_.retire(placed.entry.cache);
        else if (!placed.address.empty())
            pool_.place(placed.entry.cache, placed.address);
        const nettlethread::CacheEntry& e = placed.entry;
        log::debug("member id={} zone={} kind={} weight={:.2f} state={} since_us={}", e.cache, e.zone, e.kind,
                   e.weight, static_cast<int>(e.state), e.since);
        news.entries.push_back(placed.entry);
    }
    if (!news.entries.empty()) core_.tell(std::move(news));
    if (next_publish_) loop_.deadlines().drop(*next_publish_);
    next_publish_.reset();
    if (const auto due = view_.due(now))
        next_publish_ = loop_.deadlines().set(*due, [this] {
            next_publish_.reset();
            publish();
            core_.run();
        });
}

void Fleet::tell_purge(const membership::Purge& purge) {
    core_.tell(nettlethread::Purge{.group = purge.group,
                                   .age = std::max<Micros>(0, loop_.clock().now() - purge.at),
                                   .object = purge.object});
}

void Fleet::learn(const std::vector<membership::Purge>& purges) {
    const Micros now = loop_.clock().now();
    for (const membership::Purge& purge : purges) {
        view_.learn(purge, now);
        tell_purge(purge);
    }
    if (keeper_ && !purges.empty()) keeper_->changed();
    core_.run();
}

void Fleet::all_cold() {
    cold_since_ = loop_.clock().now();
    view_.retell_all();
    publish();
    core_.run();
}

bool Fleet::sure(Micros within) const {
    if (!feed_) return true;  // the configuration alone tells
    const Micros age = view_.age(loop_.clock().now());
    return view_.live() && age >= 0 && age <= within;
}

void Fleet::set_bans(const std::set<std::string>& bans) {
    if (bans == bans_) return;
    for (const std::string& id : bans_)
        if (!bans.contains(id)) view_.retell(id);
    for (const std::string& id : bans)
        if (!bans_.contains(id)) view_.retell(id);
    bans_ = bans;
    publish();
    core_.run();
}

void Fleet::leaving() {
    if (!keeper_) return;
    const saved_list::KeeperFigures& figures = keeper_->figures();
    log::info("saved list: ended, written={} failed={} bytes={} longest_us={}", figures.written,
              figures.failed, figures.bytes, figures.longest_snapshot);
    keeper_->flush();
}

}  // namespace sumackeel::daemon
