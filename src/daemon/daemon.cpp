#include "daemon/daemon.h"

#include <signal.h>

#include <atomic>
#include <optional>
#include <utility>

#include "admin/state.h"
#include "admin_server/admin_server.h"
#include "base/log.h"
#include "base/system_error.h"
#include "base/version.h"
#include "cluster_transport/cluster_transport.h"
#include "consensus/consensus_client.h"
#include "consensus/release_coordinator.h"
#include "core/core.h"
#include "core/one_time_tokens.h"
#include "daemon/admin_state_handover.h"
#include "daemon/disruption_budget.h"
#include "daemon/drain_report.h"
#include "daemon/durable_replies.h"
#include "daemon/endpoint_manager.h"
#include "daemon/expectation_gate.h"
#include "daemon/kv_store_service.h"
#include "daemon/metrics.h"
#include "daemon/release_api.h"
#include "daemon/reload.h"
#include "daemon/shutdown_deadline.h"
#include "platform_server/platform_server.h"
#include "recovery_coordinator/recovery_coordinator.h"
#include "signed_url_server/signed_url_server.h"
#include "store/redis_one_time_tokens.h"
#include "upstream/connection_pool.h"

namespace sumackeel::daemon {

using base::Micros;

namespace {

// After SIGTERM connections still come for 0.4 s and requests for a further 0.2 s. Where the socket was
// handed in, the process that replaces this one takes them from the same socket, ready before SIGTERM.
constexpr Micros kKeepAccepting = 1'000'000;
// A client connected just before the end sends its request within this, or is of no use.
constexpr Micros kWaitForConnected = 2'000'000;
constexpr Micros kLookForEnd = 20'000;
// Where leaves are agreed on: what voters know is waited for this long before this proxy says that it is
// ready.
constexpr Micros kLearnWithin = 3'000'000;
// What the process before handed over is read within this, where that time is over already.
constexpr Micros kReadWithin = 1'000'000;
// Purges are surely known where the list was confirmed this lately; sources speak each second.
constexpr Micros kSureFor = 3'000'000;
constexpr Micros kLookAtFleet = 200'000;
constexpr Micros kGiveBackAgain = 500'000;

// The platform's clients hold a third at most. They get half, for those that only connect; the log file, the
// loop's own, the change log and the operators' callers (admin_server::Front::kPlaces) are in the reserve.
constexpr int kReserve = 24;

// Of the peers: one for datagrams and one listener; their streams are within the servers' part.
constexpr int kForPeers = 2;
// Of the agreed log: connections with up to six other voters both ways, those that are coming up, its files.
constexpr int kForAgreed = 32;

int for_servers(int sockets, const config::Operator& setup) {
    return sockets - sockets / 2 - kReserve -
           (setup.signed_url_server ? setup.signed_url_server->connections : 0) -
           (setup.cluster ? kForPeers : 0) - (setup.consensus ? kForAgreed : 0);
}

// How many proxies each zone has by the settings, under the zones' names.
std::map<std::string, int> counts_of(const config::Site& site) {
    std::map<std::string, int> counts;
    for (std::size_t i = 0; i < site.zones.size() && i < site.settings.instances_by_zone.size(); ++i)
        if (site.settings.instances_by_zone[i] > 0)
            counts[site.zones[i]] = site.settings.instances_by_zone[i];
    return counts;
}

// A group's count as the module takes it; zones that the settings don't name count in the whole alone.
routing::ClusterSizeChanged group_news(const config::Site& site, const std::map<std::string, int>& counts) {
    routing::ClusterSizeChanged news{.instance_count = 0,
                                     .instances_by_zone = std::vector<int>(site.zones.size())};
    for (const auto& [zone, count] : counts) {
        news.instance_count += count;
        const auto place = std::find(site.zones.begin(), site.zones.end(), zone);
        if (place != site.zones.end())
            news.instances_by_zone[static_cast<std::size_t>(place - site.zones.begin())] = count;
    }
    return news;
}

platform_server::Limits front_limits(const config::Config& config) {
    return {.connections = config.sockets / 2,
            .unsent_bytes = static_cast<std::size_t>(config.memory_mb) * 1024 * 1024 / 3};
}

// Danger: what waits for a connection to a pop cache goes out when that comes up, and the pop cache may have
// begun to drain meanwhile. Within half of the grace for drains it is early enough for each of them.
Micros connect_timeout(const routing::Settings& settings) {
    return settings.drain_grace > 0 ? std::min(settings.connect_timeout, settings.drain_grace / 2)
                                    : settings.connect_timeout;
}

// The module's settings with what the operator adds to the platform's.
routing::Settings settings_of(const config::Config& config, const config::Operator& setup) {
    routing::Settings settings = config.site.settings;
    if (setup.endpoint_snapshot)
        settings.origin_only_requests_per_s =
            setup.endpoint_snapshot->origin_per_s / std::max(1, settings.instance_count);
    return settings;
}

}  // namespace

struct Daemon::Parts {
    const config::Config& config;
    const Files files;
    net::Loop loop;
    net::SocketBudget sockets;
    core::Core core;
    upstream::ConnectionPool pool;
    platform_server::PlatformServer front;
    std::unique_ptr<core::OneTimeTokens> one_time;
    std::unique_ptr<signed_url_server::SignedUrlServer> signed_front;
    std::unique_ptr<EndpointManager> fleet;
    admin::State board;
    admin::DrainSchedule drain;  // the one that is on, or none
    std::unique_ptr<DrainReport> drain_report;
    AdminStateHandover transfer;
    DurableReplies kept_replies;
    std::unique_ptr<admin_server::AdminServer> ops_front;
    std::unique_ptr<cluster_transport::ClusterTransport> peers;  // off unless the operator's file names them
    std::unique_ptr<DisruptionBudgetView> leaves;
    std::unique_ptr<consensus::ConsensusClient> agreed;
    std::unique_ptr<consensus::ReleaseCoordinator> releases;
    std::unique_ptr<recovery_coordinator::RecoveryCoordinator> recovery;
    std::unique_ptr<KvStoreService> registry;
    bool leaving = false;          // an own drain was asked for, and holds or may yet be granted
    bool giving_back = false;      // of our own lease, under way
    std::uint64_t ended_turn = 0;  // the lease of a turn whose drain an operator stopped
    bool knew = false;             // what is agreed on was known at the last look
    uv_signal_t term{}, hangup{};
    uv_async_t told{};
    std::atomic<bool> end_told = false, reload_told = false, stop_told = false;
    Micros told_to_end = 0;
    ShutdownDeadlines ending_by;  // after that

    Reload reloading;

    ~Parts() {
        if (agreed) agreed->close_now();  // while all that its callbacks touch is there
        core.set_admission_check({}), core.set_max_copy_age({}), core.on_served({});
        fleet->on_confirmed({});
    }

    Parts(const config::Config& c, const config::Operator& setup, Files read_from)
        : config(c),
          files(std::move(read_from)),
          sockets(for_servers(c.sockets, setup)),
          core(settings_of(c, setup), c.seed, loop.clock(), loop.timers()),
          pool(loop, sockets, core,
               {.streams_per_conn = c.site.streams_per_conn,
                .handshake_price = c.site.handshake_price,
                .connect_timeout = connect_timeout(c.site.settings),
                .idle_close = c.site.keepalive}),
          front(loop, core, c.site, net::ListenAddress(c.listen, c.inherited_fd), front_limits(c)),
          transfer(loop, board, files.hand_over,
                   {.taken = [this](bool owed) { took_over(owed); },
                    .followed = [this] { leaving = board.drain_requested(); },
                    .owed = [this] { changed_board(); }}),
          kept_replies(loop, {.undecided = [this] { return disk_undecided(); },
                              .missing = [this] { return disk_missing(); },
                              .silent_for = [this] { return disk_silent_for(); }}),
          reloading(loop, files, [this](const config::Config& fresh, const config::Operator& setup) {
              take_up(fresh, setup);
          }) {
        core.attach(pool);
        transfer.disk().on_write_finished([this] { kept_replies.on_write_finished(); });
        fleet = std::make_unique<EndpointManager>(loop, sockets, core, pool, c, setup);
        if (setup.signed_url_server) {
            if (setup.signed_url_server->one_time == "local")
                one_time = std::make_unique<core::LocalOneTimeTokens>();
            if (setup.signed_url_server->one_time == "redis")
                one_time = std::make_unique<store::RedisOneTimeTokens>(loop, setup.redis);
            signed_url_server::LiveSettings live;
            if (setup.store)
                live = [this](const std::string& key) {
                    return registry ? registry->get(key) : std::nullopt;
                };
            signed_front = std::make_unique<signed_url_server::SignedUrlServer>(
                loop, core, c.site, *setup.signed_url_server, one_time.get(), c.seed, std::move(live));
        }
        drain_report = std::make_unique<DrainReport>(loop, front, signed_front.get());
        if (setup.cluster) start_peers(*setup.cluster);
        if (setup.consensus) start_agreed(*setup.consensus);
        if (setup.store) start_registry(*setup.store);
        if (setup.recovery) start_recovery(*setup.recovery, setup.consensus.has_value());
        if (!c.ops.empty())
            ops_front = std::make_unique<admin_server::AdminServer>(
                loop, c.ops,
                [this](const admin::ApiCall& call, const admin_server::DeferredReply& later) {
                    return take_call(call, later);
                },
                agreed ? admin_server::AdminServer::kMaxPlanBytes : admin_server::AdminServer::kMaxCallBytes);
        become_able(loop.clock().now() + kLearnWithin);
        loop.on_each_iteration([this] { core.process_events(); });
        uv_async_init(loop.raw(), &told, [](uv_async_t* handle) {
            auto* self = static_cast<Parts*>(handle->data);
            if (self->stop_told) return self->loop.stop();
            if (self->reload_told.exchange(false)) self->reloading.start();
            if (self->end_told) self->end();
        });
        told.data = this;
        // The first of them makes a pipe.
        const int failed = base::retry_at_startup([this] { return uv_signal_init(loop.raw(), &term); });
        if (failed != 0) throw std::runtime_error("signals can't be heard: " + base::describe_error(failed));
        term.data = this;
        uv_signal_start(
            &term, [](uv_signal_t* handle, int) { static_cast<Parts*>(handle->data)->end(); }, SIGTERM);
        uv_signal_init(loop.raw(), &hangup);
        hangup.data = this;
        uv_signal_start(
            &hangup, [](uv_signal_t* handle, int) { static_cast<Parts*>(handle->data)->reloading.start(); },
            SIGHUP);
        // Those that were sent while the program started come now.
        sigset_t heard;
        sigemptyset(&heard);
        sigaddset(&heard, SIGHUP);
        sigaddset(&heard, SIGTERM);
        pthread_sigmask(SIG_UNBLOCK, &heard, nullptr);
    }

    void start_peers(config::Cluster talk) {
        if (talk.name.empty()) talk.name = config.name.empty() ? "proxy" : config.name;
        const auto zone = static_cast<std::size_t>(std::max(0, config.site.settings.own_zone));
        peers = std::make_unique<cluster_transport::ClusterTransport>(
            loop, sockets, talk, zone < config.site.zones.size() ? config.site.zones[zone] : "",
            talk.version.empty() ? base::kVersion : talk.version, config.seed, counts_of(config.site),
            config.inherited_fd >= 0, [this](const std::map<std::string, int>& counts) {
                auto news = group_news(config.site, counts);
                log::info("group: {} proxies are counted", news.instance_count);
                core.notify(std::move(news));
                core.process_events();
            });
    }

    // Ready once all listen, what the process before handed over is taken up, and what was agreed on
    // meanwhile is known: a proxy that was away learns the fleet's bans before clients are sent to it. Not
    // for ever: where no voter answers it serves by what it knows.
    void become_able(Micros until) {
        const bool learning = agreed && !agreed->is_known() && loop.clock().now() < until;
        if (recovery ? !recovery->phases().ready() : learning) {
            loop.timers().schedule(loop.clock().now() + kLookForEnd, [this, until] {
                if (!told_to_end) become_able(until);
            });
            return;
        }
        const Micros read_until = std::max(until, loop.clock().now() + kReadWithin);
        transfer.take(read_until, config.inherited_fd >= 0);
    }

    void took_over(bool owed) {
        if (agreed && !agreed->is_known()) log::warn("agreed: no voter answers; serving by what is known");
        if (recovery) {
            for (const std::string& id : recovery->persisted().bans) board.ban(id, true);
            if (recovery->persisted().draining && !agreed) board.start_drain();
        }
        leaving = board.drain_requested();
        if (owed)
            changed_board();
        else
            carry_out();
        follow_own();
    }

    void start_registry(const config::Store& setup) {
        registry = std::make_unique<KvStoreService>(
            loop, sockets, *peers, *agreed, setup, [this](const kv_store::Purge& purge) {
                fleet->add_purges({{purge.object, purge.purge_group, loop.clock().now()}});
            });
        core.set_max_copy_age([this] { return oldest(); });
    }

    // The oldest copy that will do, as an age; 0: any.
    Micros oldest() const {
        const Micros one = recovery ? recovery->max_copy_age() : 0,
                     other = registry ? registry->max_copy_age() : 0;
        return one > 0 && other > 0 ? std::min(one, other) : std::max(one, other);
    }

    // The way back from a power loss. What one proxy kept binds from the first moment on, ready or not.
    void start_recovery(const config::Recovery& setup, bool elects) {
        std::vector<double> worths;
        for (const auto& one : config.site.settings.classes)
            if (!one.uncacheable) worths.push_back(one.priority_weight);
        recovery_coordinator::RecoveryCoordinator::Hooks hooks;
        hooks.purges = [this] {
            const Micros now = loop.clock().now();
            std::vector<recovery_coordinator::RecoveryCoordinator::RecentPurge> all;
            for (const endpoints::Purge& purge : fleet->view().purges())
                all.push_back({purge.object, purge.purge_group, std::max<Micros>(0, now - purge.at)});
            return all;
        };
        hooks.learn =
            [this](const std::vector<recovery_coordinator::RecoveryCoordinator::RecentPurge>& told) {
                const Micros now = loop.clock().now();
                std::vector<endpoints::Purge> purges;
                for (const auto& one : told) purges.push_back({one.object, one.group, now - one.age});
                fleet->add_purges(purges);
            };
        hooks.sure = [this] { return fleet->is_confirmed(kSureFor); };
        hooks.proxies = [this] {
            std::size_t count = 0;
            for (const auto& [zone, here] : peers->membership().cluster_size().counts())
                count += static_cast<std::size_t>(here);
            return count;
        };
        // Nobody serves: whoever answers now was out with all the others, and is cold.
        hooks.entered = [this](recovery::Phase) {
            if (recovery && recovery->phases().phase() == recovery::Phase::settling) fleet->mark_all_cold();
            if (board.phase() != admin::ProcessPhase::starting) carry_out();
        };
        recovery = std::make_unique<recovery_coordinator::RecoveryCoordinator>(
            loop, *peers, setup, elects, std::move(worths), config.site.settings.purge_completes_within,
            config.seed, std::move(hooks));
        fleet->on_confirmed([this] { recovery->on_endpoints_confirmed(); });
        core.set_max_copy_age([this] { return oldest(); });
        core.on_served(
            [this](const core::Request& ask, const std::string& source, routing::CacheStatus note) {
                const endpoints::KnownEndpoint* from = fleet->view().find(source);
                const bool origin =
                    from && from->record->located.endpoint.kind == config.site.settings.origin_kind;
                using routing::CacheStatus;
                const bool filled = note == CacheStatus::filled || note == CacheStatus::filled_by_origin;
                recovery->on_request_finished(key_of(ask),
                                              note == CacheStatus::filled_by_origin || (origin && filled)
                                                  ? recovery::FillSource::origin
                                              : filled ? recovery::FillSource::hub
                                                       : recovery::FillSource::none);
            });
        core.set_admission_check([this](const core::Request& ask) {
            const auto& of = core.settings().classes[static_cast<std::size_t>(ask.class_index)];
            // Before the fleet's bans are known nothing goes out at all: what needs no copy goes by a pop
            // cache too.
            const bool blind = agreed && !agreed->is_known() && !recovery->phases().ready();
            return recovery->admit({.key = key_of(ask),
                                    .priority_weight = of.priority_weight,
                                    .size_kb = ask.size_kb,
                                    .needs_copy = blind || !of.uncacheable});
        });
        carry_out();
        look_at_fleet();
    }

    static std::uint64_t key_of(const core::Request& ask) {
        return std::hash<std::string>{}(ask.object + '/' + std::to_string(ask.part));
    }

    // What the ladder waits for beside the others: the list, and a leader.
    void look_at_fleet() {
        if (fleet->is_confirmed(kSureFor)) recovery->on_endpoints_confirmed();
        if (agreed) {
            recovery->on_leader_known(!agreed->leader().empty());
            // What was kept holds until this moment, also where nothing has changed since it was kept.
            if (agreed->is_known() && !std::exchange(knew, true)) carry_out(), keep();
        }
        loop.timers().schedule(loop.clock().now() + kLookAtFleet, [this] { look_at_fleet(); });
    }

    void start_agreed(const config::Consensus& setup) {
        leaves = std::make_unique<DisruptionBudgetView>(config.site, setup.removed_counts_for);
        agreed = std::make_unique<consensus::ConsensusClient>(
            loop, *peers, setup, config.inherited_fd >= 0,
            [this](rollout::MemberKind kind) {
                return kind == rollout::MemberKind::proxy
                           ? leaves->proxies(peers->membership(), board.is_draining_clients())
                           : leaves->pop_caches(fleet->view(), loop.clock().now());
            },
            [this](const rollout::State& state) {
                log::info("agreed: revision {}, {} out by lease", state.revision(), state.leases().size());
                carry_out();
                keep();
                follow_own();
                if (releases) releases->changed();
            });
        releases = std::make_unique<consensus::ReleaseCoordinator>(
            loop, *peers, *agreed, [this] { return tally(); }, [this] { return board.is_ready(); });
    }

    rollout::MemberMetrics tally() const {
        const core::Metrics& figures = core.metrics();
        const auto count = [&](core::ResponseStatus how) { return figures.responses[static_cast<int>(how)]; };
        rollout::MemberMetrics all;
        all.served = count(core::ResponseStatus::served) + count(core::ResponseStatus::not_modified);
        all.rejected = count(core::ResponseStatus::rejected);
        all.failed = count(core::ResponseStatus::failed) + count(core::ResponseStatus::deadline_exceeded);
        all.latency_histogram = figures.latency_histogram, all.dispatch_time_us = figures.dispatch_time_us,
        all.dispatched = figures.dispatched;
        std::size_t resident = 0;
        if (uv_resident_set_memory(&resident) == 0) all.memory_kb = resident / 1024;
        return all;
    }

    // The lease of a release's turn sends this process's clients away. Once that is done, by a process that
    // replaced the one that had the turn or by settings read anew, the drain ends and the lease is given
    // back.
    void follow_own() {
        if (!agreed) return;
        const cluster::MemberRecord& self = peers->membership().self();
        const rollout::Lease* lease = agreed->state().find(rollout::MemberKind::proxy, self.name);
        const rollout::Release* release = agreed->state().releases().active();
        if (lease && lease->release != 0 && lease->number != ended_turn &&
            board.phase() != admin::ProcessPhase::starting) {
            const bool done = self.incarnation.start > lease->start || !release ||
                              self.software_version == release->target_version();
            if (done == leaving) {
                leaving = !done;
                done ? board.stop_drain() : board.start_drain();
                changed_board();
            }
        }
        give_back_own();
    }

    // A lease of this proxy that serves again, or was replaced by a process that does, is given back by
    // itself.
    void give_back_own() {
        const std::string& name = peers ? peers->membership().self().name : config.name;
        if (!agreed || leaving || giving_back || !board.is_ready() ||
            !agreed->state().find(rollout::MemberKind::proxy, name))
            return;
        giving_back = true;
        agreed->return_lease(rollout::MemberKind::proxy, name, name,
                             [this](const std::optional<rollout::CommandResult>& answer) {
                                 giving_back = false;
                                 if (answer) return;
                                 loop.timers().schedule(loop.clock().now() + kGiveBackAgain,
                                                        [this] { give_back_own(); });
                             });
    }

    // The operators' calls where leaves are agreed on: answered once that is done, within a second.
    bool take_leave(const admin::ApiCall& call, const admin_server::DeferredReply& later) {
        const std::string_view path = call.path.substr(0, call.path.find('?'));
        const bool forced = call.path.ends_with("?force=1");
        const admin::ParsedPath asked = admin::parse_path(path);
        if (call.method != "POST" || asked.action == admin::ParsedPath::Action::other) return false;
        using What = admin::ParsedPath::Action;
        const bool drain = asked.action == What::drain_start || asked.action == What::drain_stop;
        if (!drain && (!admin::is_valid_id(asked.id) || !fleet->is_known(asked.id)))
            return false;  // owed a no as before
        const std::string self = peers->membership().self().name;
        const auto kind = drain ? rollout::MemberKind::proxy : rollout::MemberKind::pop_cache;
        const std::string member = drain ? self : asked.id;
        if (asked.action == What::down || asked.action == What::drain_start) {
            if (drain) leaving = true;
            agreed->request_lease(
                kind, member, self, forced,
                [this, later, drain, member](const std::optional<rollout::CommandResult>& answer) {
                    later(left(answer, drain, member));
                });
        } else {
            if (const rollout::Lease* held = agreed->state().find(kind, member); drain && held)
                ended_turn = held->number;
            if (drain) leaving = false, board.stop_drain(), changed_board();
            agreed->return_lease(
                kind, member, self, [later, member](const std::optional<rollout::CommandResult>& answer) {
                    later(answer ? admin::ApiReply{200, "up " + member + "\n", false}
                                 : admin::ApiReply{503, "no majority of the voters answered, call again\n",
                                                   false});
                });
        }
        return true;
    }

    std::optional<admin::ApiReply> take_release(const admin::ApiCall& call,
                                                const admin_server::DeferredReply& later) {
        if (call.path == "/ops/release" && call.method == "GET")
            return admin::ApiReply{200, releases->as_json(), false};
        std::vector<std::string> all;
        for (const rollout::FleetMember& seen : leaves->proxies(peers->membership(), false))
            all.push_back(seen.name);
        std::sort(all.begin(), all.end());
        return daemon::handle_release_call(*agreed, call, later, all, peers->membership().self().name,
                                           [this] {
                                               // At once, before the log tells.
                                               if (!std::exchange(leaving, true))
                                                   board.start_drain(), changed_board();
                                           });
    }

    admin::ApiReply left(const std::optional<rollout::CommandResult>& answer, bool drain,
                         const std::string& member) {
        const bool granted = answer && answer->outcome == rollout::Outcome::granted;
        if (drain && granted) {
            if (board.start_drain() !=
                admin::ChangeResult::accepted) {  // it ends, or is not ready yet: the lease goes back
                leaving = false;
                agreed->return_lease(rollout::MemberKind::proxy, member, member, [](const auto&) {});
                return {409, fmt::format("not while {}\n", admin::name_of(board.phase())), false};
            }
            changed_board();
        }
        if (drain && !granted) leaving = board.drain_requested();
        return lease_reply(answer, member);
    }

    void changed_board() {
        carry_out();
        transfer.keep();
        keep();
    }

    bool disk_undecided() {
        return transfer.waits_to_be_read() || transfer.disk().outcome_unknown() ||
               (recovery && recovery->writer().outcome_unknown());
    }
    std::string disk_missing() {
        if (transfer.waits_to_be_read()) return "hand-over: not read yet";
        const std::string handed = transfer.disk().unwritten_reason();
        return handed.empty() && recovery ? recovery->writer().unwritten_reason() : handed;
    }
    Micros disk_silent_for() {
        return std::max(transfer.disk().write_running_for(),
                        recovery ? recovery->writer().write_running_for() : 0);
    }
    bool disk_busy() const {
        return fleet->disk_busy() || transfer.disk_busy() || reloading.busy() ||
               (recovery && recovery->disk_busy()) || (agreed && agreed->is_disk_stuck());
    }

    // What the module was made with, the addresses listened on and the store hold until the next start.
    void take_up(const config::Config& fresh, const config::Operator& setup) {
        sockets.set_limit(for_servers(fresh.sockets, setup));
        front.set_limits(front_limits(fresh));
        if (signed_front && setup.signed_url_server) signed_front->update_config(*setup.signed_url_server);
        fleet->update_config(fresh, setup);
        if (peers && setup.cluster) {
            if (agreed && setup.consensus) agreed->update_config(*setup.consensus);
            peers->set_software_version(setup.cluster->version.empty() ? base::kVersion
                                                                       : setup.cluster->version);
            follow_own();
        }
        core.process_events();
        log::info("configuration read anew");
    }

    std::optional<admin::ApiReply> take_call(const admin::ApiCall& call,
                                             const admin_server::DeferredReply& later) {
        if (agreed && call.path == "/ops/rollout" && call.method == "GET")
            return admin::ApiReply{200, agreed->as_json(), false};
        constexpr std::string_view kExplain = "/ops/rollout/explain/";
        if (agreed && call.path.starts_with(kExplain) && call.method == "GET")
            return explain_lease(*agreed, std::string(call.path.substr(kExplain.size())));
        if (recovery && call.path == "/ops/recovery" && call.method == "GET")
            return admin::ApiReply{200, recovery->as_json(), false};
        constexpr std::string_view kGo = "/ops/recovery/go/";
        if (recovery && call.path.starts_with(kGo) && call.method == "POST") {
            recovery::Phase stage{};
            if (!recovery::phase_named(std::string(call.path.substr(kGo.size())), stage))
                return admin::ApiReply{400, "no such stage\n", false};
            recovery->advance_to(stage, "an operator at " + peers->membership().self().name);
            return admin::ApiReply{200, fmt::format("{}\n", recovery::name_of(stage)), false};
        }
        if (registry && (call.path == "/ops/purge" || call.path.starts_with("/ops/purge/")))
            return registry->handle_call(call, later);
        if (agreed && call.path.starts_with("/ops/release")) return take_release(call, later);
        if (agreed && take_leave(call, later)) return std::nullopt;
        if (peers && call.path == "/ops/group" && call.method == "GET")
            return admin::ApiReply{200, peers->as_json(), false};
        if (peers && call.path == "/ops/group/leave" && call.method == "POST") {
            peers->leave();
            return admin::ApiReply{200, "left\n", false};
        }
        const admin::Stats figures{.requests_open = core.open_requests(),
                                   .connections = front.connection_count(),
                                   .pop_caches_listed = fleet->view().size(),
                                   .timer_count = loop.timers().size(),
                                   .list_seq = fleet->view().newest_list(),
                                   .counters = counters_of(core, front, signed_front.get())};
        admin::ApiReply reply = admin::handle_call(
            board, call, [this](const std::string& id) { return fleet->is_known(id); }, figures);
        if (reply.state_changed) {
            log::info("ops: {} {}: {}", call.method, call.path, reply.status);
            changed_board();
            return kept_replies.reply_when_durable(std::move(reply), later);
        }
        return reply;
    }

    std::set<std::string> leased() const {
        std::set<std::string> out;
        for (const auto& [key, lease] : agreed->state().leases())
            if (key.first == rollout::MemberKind::pop_cache) out.insert(key.second);
        return out;
    }

    // For the way back from a loss of power. What the agreed log says stays as it was until it is heard
    // again.
    void keep() {
        if (!recovery || board.phase() == admin::ProcessPhase::starting) return;
        recovery->persist(board.bans(),
                          !agreed              ? std::set<std::string>{}
                          : agreed->is_known() ? leased()
                                               : recovery->persisted().leased,
                          board.drain_requested());
    }

    // What the board says, done: bans to the module, clients sent away while draining or ending.
    void carry_out() {
        std::set<std::string> bans = board.bans();
        if (recovery && board.phase() == admin::ProcessPhase::starting)
            bans.insert(recovery->persisted().bans.begin(), recovery->persisted().bans.end());
        if (agreed) bans.merge(leased());
        if (agreed && recovery && !agreed->is_known())
            bans.insert(recovery->persisted().leased.begin(), recovery->persisted().leased.end());
        fleet->set_bans(bans);
        time_drain();
        front.set_draining(board.is_draining_clients(), drain);
        front.set_ready(board.is_ready());
        if (signed_front) signed_front->set_draining(board.is_draining_clients(), drain);
        drain_report->now(drain);
    }

    // A drain counts from its first yes, also where it is told again; one that is on when the process is told
    // to end goes on.
    void time_drain() {
        if (board.phase() == admin::ProcessPhase::draining && !drain.is_active())
            drain = admin::DrainSchedule(loop.clock().now());
        if (board.phase() == admin::ProcessPhase::serving) drain = {};
    }

    void end() {
        if (told_to_end) return;
        told_to_end = loop.clock().now();
        board.on_shutdown();
        transfer.end();
        carry_out();
        ending_by = shutdown_deadlines(core.settings());
        core.set_shutdown_deadline(told_to_end + ending_by.final_responses);
        if (config.inherited_fd >= 0) front.stop_listening(true);
        log::info("told to end: {} requests open", core.open_requests());
        if (signed_front) signed_front->shut_down();
        // Where the socket was handed in another process goes on under this name: that is no leave.
        if (agreed) agreed->close();
        if (peers) config.inherited_fd >= 0 ? peers->go_silent() : peers->leave();
        fleet->write_last_snapshot();
        look_for_end();
    }

    void look_for_end() {
        const Micros now = loop.clock().now(), since = now - told_to_end;
        const Micros accepting = config.inherited_fd >= 0 ? 0 : kKeepAccepting;
        const bool closed = since >= accepting;
        if (closed) front.stop_listening(config.inherited_fd >= 0);
        if (closed && signed_front) signed_front->stop_listening();
        const bool done = core.open_requests() == 0 && !front.has_unsent_responses() &&
                          !(signed_front && signed_front->has_unsent_responses()) &&
                          !transfer.disk().has_unwritten();
        // Danger: half a request may become a whole one at any moment, and one that has come unread is one.
        // Both are owed an answer for as long as this process is there.
        const bool coming = front.has_pending_input() || (signed_front && signed_front->has_pending_input());
        if (closed && done && !coming && since >= accepting + kWaitForConnected) {
            front.close_all_idle();
            if (signed_front) signed_front->close_all_idle();
        }
        const bool all_gone =
            front.connection_count() == 0 && !(signed_front && signed_front->connection_count() > 0);
        if ((closed && done && all_gone) || since > ending_by.exit) {
            log::info("ended {} ms after told: {} requests open, {} clients' connections", since / 1000,
                      core.open_requests(), front.connection_count());
            return loop.stop();
        }
        loop.timers().schedule(now + kLookForEnd, [this] { look_for_end(); });
    }
};

Daemon::Daemon(const config::Config& config, const config::Operator& setup, Files files)
    : parts_(std::make_unique<Parts>(config, setup, std::move(files))) {}
Daemon::~Daemon() = default;
void Daemon::run() {
    parts_->loop.run();
}
void Daemon::end() {
    parts_->end_told = true;
    uv_async_send(&parts_->told);
}
void Daemon::reload() {
    parts_->reload_told = true;
    uv_async_send(&parts_->told);
}
void Daemon::stop() {
    parts_->stop_told = true;
    uv_async_send(&parts_->told);
}
int Daemon::port() const {
    return parts_->front.port();
}
bool Daemon::disk_busy() const {
    return parts_->disk_busy();
}
std::uint64_t Daemon::reloads() const {
    return parts_->reloading.decided();
}
int Daemon::ops_port() const {
    return parts_->ops_front ? parts_->ops_front->port() : -1;
}
int Daemon::signed_port() const {
    return parts_->signed_front ? parts_->signed_front->port() : -1;
}

}  // namespace sumackeel::daemon
