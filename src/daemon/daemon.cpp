#include "daemon/daemon.h"

#include <signal.h>

#include <atomic>
#include <optional>
#include <utility>

#include "base/log.h"
#include "base/system_error.h"
#include "base/version.h"
#include "core/core.h"
#include "core/one_time.h"
#include "daemon/board_transfer.h"
#include "daemon/drain_report.h"
#include "daemon/ending.h"
#include "daemon/expectation_gate.h"
#include "daemon/figures.h"
#include "daemon/fleet.h"
#include "daemon/kept_replies.h"
#include "daemon/leaves.h"
#include "daemon/registry.h"
#include "daemon/release_calls.h"
#include "daemon/reload.h"
#include "front_ops/front.h"
#include "front_platform/front.h"
#include "front_signed/front.h"
#include "ops/board.h"
#include "peers/agreed.h"
#include "peers/peers.h"
#include "peers/recovery.h"
#include "peers/releases.h"
#include "store/redis_one_time.h"
#include "upstream/pool.h"

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
// loop's own, the change log and the operators' callers (front_ops::Front::kPlaces) are in the reserve.
constexpr int kReserve = 24;

// Of the peers: one for datagrams and one listener; their streams are within the servers' part.
constexpr int kForPeers = 2;
// Of the agreed log: connections with up to six other voters both ways, those that are coming up, its files.
constexpr int kForAgreed = 32;

int for_servers(int sockets, const config::Operator& setup) {
    return sockets - sockets / 2 - kReserve - (setup.signed_front ? setup.signed_front->connections : 0) -
           (setup.peers ? kForPeers : 0) - (setup.agreed ? kForAgreed : 0);
}

// How many proxies each zone has by the settings, under the zones' names.
std::map<std::string, int> counts_of(const config::Site& site) {
    std::map<std::string, int> counts;
    for (std::size_t i = 0; i < site.zones.size() && i < site.settings.zone_instances.size(); ++i)
        if (site.settings.zone_instances[i] > 0) counts[site.zones[i]] = site.settings.zone_instances[i];
    return counts;
}

// A group's count as the module takes it; zones that the settings don't name count in the whole alone.
nettlethread::GroupNews group_news(const config::Site& site, const std::map<std::string, int>& counts) {
    nettlethread::GroupNews news{.instances = 0, .zone_instances = std::vector<int>(site.zones.size())};
    for (const auto& [zone, count] : counts) {
        news.instances += count;
        const auto place = std::find(site.zones.begin(), site.zones.end(), zone);
        if (place != site.zones.end())
            news.zone_instances[static_cast<std::size_t>(place - site.zones.begin())] = count;
    }
    return news;
}

front_platform::Limits front_limits(const config::Config& config) {
    return {.connections = config.sockets / 2,
            .unsent_bytes = static_cast<std::size_t>(config.memory_mb) * 1024 * 1024 / 3};
}

// Danger: what waits for a connection to a pop cache goes out when that comes up, and the pop cache may have
// begun to drain meanwhile. Within half of the grace for drains it is early enough for each of them.
Micros connect_timeout(const nettlethread::Settings& settings) {
    return settings.drain_grace > 0 ? std::min(settings.connect_timeout, settings.drain_grace / 2)
                                    : settings.connect_timeout;
}

// The module's settings with what the operator adds to the platform's.
nettlethread::Settings settings_of(const config::Config& config, const config::Operator& setup) {
    nettlethread::Settings settings = config.site.settings;
    if (setup.saved_list)
        settings.origin_alone_per_s = setup.saved_list->origin_per_s / std::max(1, settings.instances);
    return settings;
}

}  // namespace

struct Daemon::Parts {
    const config::Config& config;
    const Files files;
    net::Loop loop;
    net::Budget sockets;
    core::Core core;
    upstream::Pool pool;
    front_platform::Front front;
    std::unique_ptr<core::OneTime> one_time;
    std::unique_ptr<front_signed::Front> signed_front;
    std::unique_ptr<Fleet> fleet;
    ops::Board board;
    ops::Drain drain;  // the one that is on, or none
    std::unique_ptr<DrainReport> drain_report;
    BoardTransfer transfer;
    KeptReplies kept_replies;
    std::unique_ptr<front_ops::Front> ops_front;
    std::unique_ptr<peers::Peers> peers;  // off unless the operator's file names them
    std::unique_ptr<Leaves> leaves;
    std::unique_ptr<peers::Agreed> agreed;
    std::unique_ptr<peers::Releases> releases;
    std::unique_ptr<peers::Recovery> recovery;
    std::unique_ptr<Registry> registry;
    bool leaving = false;          // an own drain was asked for, and holds or may yet be granted
    bool giving_back = false;      // of our own lease, under way
    std::uint64_t ended_turn = 0;  // the lease of a turn whose drain an operator stopped
    bool knew = false;             // what is agreed on was known at the last look
    uv_signal_t term{}, hangup{};
    uv_async_t told{};
    std::atomic<bool> end_told = false, reload_told = false, stop_told = false;
    Micros told_to_end = 0;
    Ending ending_by;  // after that

    Reload reloading;

    ~Parts() {
        if (agreed) agreed->shut();  // while all that its callbacks touch is there
        core.gate({}), core.oldest({}), core.on_served({});
        fleet->on_sure({});
    }

    Parts(const config::Config& c, const config::Operator& setup, Files read_from)
        : config(c),
          files(std::move(read_from)),
          sockets(for_servers(c.sockets, setup)),
          core(settings_of(c, setup), c.seed, loop.clock(), loop.deadlines()),
          pool(loop, sockets, core,
               {.streams_per_conn = c.site.streams_per_conn,
                .handshake_price = c.site.handshake_price,
                .connect_timeout = connect_timeout(c.site.settings),
                .idle_close = c.site.keepalive}),
          front(loop, core, c.site, net::Place(c.listen, c.inherited_fd), front_limits(c)),
          transfer(loop, board, files.hand_over,
                   {.taken = [this](bool owed) { took_over(owed); },
                    .followed = [this] { leaving = board.drain_told(); },
                    .owed = [this] { changed_board(); }}),
          kept_replies(loop, {.undecided = [this] { return disk_undecided(); },
                              .missing = [this] { return disk_missing(); },
                              .silent_for = [this] { return disk_silent_for(); }}),
          reloading(loop, files, [this](const config::Config& fresh, const config::Operator& setup) {
              take_up(fresh, setup);
          }) {
        core.attach(pool);
        transfer.disk().on_settled([this] { kept_replies.look(); });
        fleet = std::make_unique<Fleet>(loop, sockets, core, pool, c, setup);
        if (setup.signed_front) {
            if (setup.signed_front->one_time == "local") one_time = std::make_unique<core::LocalOneTime>();
            if (setup.signed_front->one_time == "redis")
                one_time = std::make_unique<store::RedisOneTime>(loop, setup.redis);
            front_signed::Live live;
            if (setup.store)
                live = [this](const std::string& key) {
                    return registry ? registry->get(key) : std::nullopt;
                };
            signed_front = std::make_unique<front_signed::Front>(loop, core, c.site, *setup.signed_front,
                                                                 one_time.get(), c.seed, std::move(live));
        }
        drain_report = std::make_unique<DrainReport>(loop, front, signed_front.get());
        if (setup.peers) start_peers(*setup.peers);
        if (setup.agreed) start_agreed(*setup.agreed);
        if (setup.store) start_registry(*setup.store);
        if (setup.recovery) start_recovery(*setup.recovery, setup.agreed.has_value());
        if (!c.ops.empty())
            ops_front = std::make_unique<front_ops::Front>(
                loop, c.ops,
                [this](const ops::Call& call, const front_ops::Later& later) {
                    return take_call(call, later);
                },
                agreed ? front_ops::Front::kLongestPlan : front_ops::Front::kLongestCall);
        become_able(loop.clock().now() + kLearnWithin);
        loop.each_turn([this] { core.run(); });
        uv_async_init(loop.raw(), &told, [](uv_async_t* handle) {
            auto* self = static_cast<Parts*>(handle->data);
            if (self->stop_told) return self->loop.stop();
            if (self->reload_told.exchange(false)) self->reloading.start();
            if (self->end_told) self->end();
        });
        told.data = this;
        // The first of them makes a pipe.
        const int failed = base::retry_at_start([this] { return uv_signal_init(loop.raw(), &term); });
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

    void start_peers(config::Peers talk) {
        if (talk.name.empty()) talk.name = config.name.empty() ? "proxy" : config.name;
        const auto zone = static_cast<std::size_t>(std::max(0, config.site.settings.my_zone));
        peers = std::make_unique<peers::Peers>(
            loop, sockets, talk, zone < config.site.zones.size() ? config.site.zones[zone] : "",
            talk.version.empty() ? base::kVersion : talk.version, config.seed, counts_of(config.site),
            config.inherited_fd >= 0, [this](const std::map<std::string, int>& counts) {
                auto news = group_news(config.site, counts);
                log::info("group: {} proxies are counted", news.instances);
                core.tell(std::move(news));
                core.run();
            });
    }

    // Ready once all listen, what the process before handed over is taken up, and what was agreed on
    // meanwhile is known: a proxy that was away learns the fleet's bans before clients are sent to it. Not
    // for ever: where no voter answers it serves by what it knows.
    void become_able(Micros until) {
        const bool learning = agreed && !agreed->known() && loop.clock().now() < until;
        if (recovery ? !recovery->ladder().ready() : learning) {
            loop.deadlines().set(loop.clock().now() + kLookForEnd, [this, until] {
                if (!told_to_end) become_able(until);
            });
            return;
        }
        const Micros read_until = std::max(until, loop.clock().now() + kReadWithin);
        transfer.take(read_until, config.inherited_fd >= 0);
    }

    void took_over(bool owed) {
        if (agreed && !agreed->known()) log::warn("agreed: no voter answers; serving by what is known");
        if (recovery) {
            for (const std::string& id : recovery->kept().bans) board.ban(id, true);
            if (recovery->kept().drain && !agreed) board.drain_start();
        }
        leaving = board.drain_told();
        if (owed)
            changed_board();
        else
            carry_out();
        follow_own();
    }

    void start_registry(const config::Store& setup) {
        registry = std::make_unique<Registry>(
            loop, sockets, *peers, *agreed, setup, [this](const registry::Purge& purge) {
                fleet->learn({{purge.object, purge.group, loop.clock().now()}});
            });
        core.oldest([this] { return oldest(); });
    }

    // The oldest copy that will do, as an age; 0: any.
    Micros oldest() const {
        const Micros one = recovery ? recovery->oldest() : 0, other = registry ? registry->oldest() : 0;
        return one > 0 && other > 0 ? std::min(one, other) : std::max(one, other);
    }

    // The way back from a power loss. What one proxy kept binds from the first moment on, ready or not.
    void start_recovery(const config::Recovery& setup, bool elects) {
        std::vector<double> worths;
        for (const auto& one : config.site.settings.classes)
            if (!one.uncached) worths.push_back(one.points);
        peers::Recovery::Hooks hooks;
        hooks.purges = [this] {
            const Micros now = loop.clock().now();
            std::vector<peers::Recovery::Told> all;
            for (const membership::Purge& purge : fleet->view().purges())
                all.push_back({purge.object, purge.group, std::max<Micros>(0, now - purge.at)});
            return all;
        };
        hooks.learn = [this](const std::vector<peers::Recovery::Told>& told) {
            const Micros now = loop.clock().now();
            std::vector<membership::Purge> purges;
            for (const auto& one : told) purges.push_back({one.object, one.group, now - one.age});
            fleet->learn(purges);
        };
        hooks.sure = [this] { return fleet->sure(kSureFor); };
        hooks.proxies = [this] {
            std::size_t count = 0;
            for (const auto& [zone, here] : peers->group().share().counts())
                count += static_cast<std::size_t>(here);
            return count;
        };
        // Nobody serves: whoever answers now was out with all the others, and is cold.
        hooks.entered = [this](recovery::Stage) {
            if (recovery && recovery->ladder().stage() == recovery::Stage::settling) fleet->all_cold();
            if (board.phase() != ops::Phase::starting) carry_out();
        };
        recovery = std::make_unique<peers::Recovery>(loop, *peers, setup, elects, std::move(worths),
                                                     config.site.settings.cleared_within, config.seed,
                                                     std::move(hooks));
        fleet->on_sure([this] { recovery->listed(); });
        core.oldest([this] { return oldest(); });
        core.on_served([this](const core::Ask& ask, const std::string& source, nettlethread::Note note) {
            const membership::Member* from = fleet->view().find(source);
            const bool origin = from && from->word->placed.entry.kind == config.site.settings.origin_kind;
            using nettlethread::Note;
            const bool filled = note == Note::filled || note == Note::filled_by_origin;
            recovery->ended(key_of(ask), note == Note::filled_by_origin || (origin && filled)
                                             ? recovery::Took::origin
                                         : filled ? recovery::Took::hub
                                                  : recovery::Took::nothing);
        });
        core.gate([this](const core::Ask& ask) {
            const auto& of = core.settings().classes[static_cast<std::size_t>(ask.service)];
            // Before the fleet's bans are known nothing goes out at all: what needs no copy goes by a pop
            // cache too.
            const bool blind = agreed && !agreed->known() && !recovery->ladder().ready();
            return recovery->turn_away({.key = key_of(ask),
                                        .worth = of.points,
                                        .size_kb = ask.size_kb,
                                        .needs_copy = blind || !of.uncached});
        });
        carry_out();
        look_at_fleet();
    }

    static std::uint64_t key_of(const core::Ask& ask) {
        return std::hash<std::string>{}(ask.object + '/' + std::to_string(ask.part));
    }

    // What the ladder waits for beside the others: the list, and a leader.
    void look_at_fleet() {
        if (fleet->sure(kSureFor)) recovery->listed();
        if (agreed) {
            recovery->led(!agreed->leader().empty());
            // What was kept holds until this moment, also where nothing has changed since it was kept.
            if (agreed->known() && !std::exchange(knew, true)) carry_out(), keep();
        }
        loop.deadlines().set(loop.clock().now() + kLookAtFleet, [this] { look_at_fleet(); });
    }

    void start_agreed(const config::Agreed& setup) {
        leaves = std::make_unique<Leaves>(config.site, setup.gone_counts);
        agreed = std::make_unique<peers::Agreed>(
            loop, *peers, setup, config.inherited_fd >= 0,
            [this](rollout::Kind kind) {
                return kind == rollout::Kind::proxy ? leaves->proxies(peers->group(), board.sending_away())
                                                    : leaves->pop_caches(fleet->view(), loop.clock().now());
            },
            [this](const rollout::State& state) {
                log::info("agreed: revision {}, {} out by lease", state.revision(), state.leases().size());
                carry_out();
                keep();
                follow_own();
                if (releases) releases->changed();
            });
        releases = std::make_unique<peers::Releases>(
            loop, *peers, *agreed, [this] { return tally(); }, [this] { return board.ready(); });
    }

    rollout::Tally tally() const {
        const core::Figures& figures = core.figures();
        const auto count = [&](core::Answered how) { return figures.answered[static_cast<int>(how)]; };
        rollout::Tally all;
        all.served = count(core::Answered::served) + count(core::Answered::same);
        all.refused = count(core::Answered::refused);
        all.failed = count(core::Answered::failed) + count(core::Answered::out_of_time);
        all.took = figures.took, all.own_us = figures.own_us, all.sent = figures.sent;
        std::size_t resident = 0;
        if (uv_resident_set_memory(&resident) == 0) all.memory_kb = resident / 1024;
        return all;
    }

    // The lease of a release's turn sends this process's clients away. Once that is done, by a process that
    // replaced the one that had the turn or by settings read anew, the drain ends and the lease is given
    // back.
    void follow_own() {
        if (!agreed) return;
        const group::Word& self = peers->group().self();
        const rollout::Lease* lease = agreed->state().find(rollout::Kind::proxy, self.name);
        const rollout::Release* release = agreed->state().releases().active();
        if (lease && lease->release != 0 && lease->number != ended_turn &&
            board.phase() != ops::Phase::starting) {
            const bool done =
                self.stamp.start > lease->start || !release || self.version == release->wanted();
            if (done == leaving) {
                leaving = !done;
                done ? board.drain_stop() : board.drain_start();
                changed_board();
            }
        }
        give_back_own();
    }

    // A lease of this proxy that serves again, or was replaced by a process that does, is given back by
    // itself.
    void give_back_own() {
        const std::string& name = peers ? peers->group().self().name : config.name;
        if (!agreed || leaving || giving_back || !board.ready() ||
            !agreed->state().find(rollout::Kind::proxy, name))
            return;
        giving_back = true;
        agreed->back(rollout::Kind::proxy, name, name, [this](const std::optional<rollout::Answer>& answer) {
            giving_back = false;
            if (answer) return;
            loop.deadlines().set(loop.clock().now() + kGiveBackAgain, [this] { give_back_own(); });
        });
    }

    // The operators' calls where leaves are agreed on: answered once that is done, within a second.
    bool take_leave(const ops::Call& call, const front_ops::Later& later) {
        const std::string_view path = call.path.substr(0, call.path.find('?'));
        const bool forced = call.path.ends_with("?force=1");
        const ops::Asked asked = ops::asked_in(path);
        if (call.method != "POST" || asked.what == ops::Asked::What::other) return false;
        using What = ops::Asked::What;
        const bool drain = asked.what == What::drain_start || asked.what == What::drain_stop;
        if (!drain && (!ops::sound_id(asked.id) || !fleet->listed(asked.id)))
            return false;  // owed a no as before
        const std::string self = peers->group().self().name;
        const auto kind = drain ? rollout::Kind::proxy : rollout::Kind::pop_cache;
        const std::string member = drain ? self : asked.id;
        if (asked.what == What::down || asked.what == What::drain_start) {
            if (drain) leaving = true;
            agreed->ask(kind, member, self, forced,
                        [this, later, drain, member](const std::optional<rollout::Answer>& answer) {
                            later(left(answer, drain, member));
                        });
        } else {
            if (const rollout::Lease* held = agreed->state().find(kind, member); drain && held)
                ended_turn = held->number;
            if (drain) leaving = false, board.drain_stop(), changed_board();
            agreed->back(kind, member, self, [later, member](const std::optional<rollout::Answer>& answer) {
                later(answer ? ops::Reply{200, "up " + member + "\n", false}
                             : ops::Reply{503, "no majority of the voters answered, call again\n", false});
            });
        }
        return true;
    }

    std::optional<ops::Reply> take_release(const ops::Call& call, const front_ops::Later& later) {
        if (call.path == "/ops/release" && call.method == "GET")
            return ops::Reply{200, releases->as_json(), false};
        std::vector<std::string> all;
        for (const rollout::Seen& seen : leaves->proxies(peers->group(), false)) all.push_back(seen.name);
        std::sort(all.begin(), all.end());
        return daemon::take_release(*agreed, call, later, all, peers->group().self().name, [this] {
            // At once, before the log tells.
            if (!std::exchange(leaving, true)) board.drain_start(), changed_board();
        });
    }

    ops::Reply left(const std::optional<rollout::Answer>& answer, bool drain, const std::string& member) {
        const bool granted = answer && answer->how == rollout::How::granted;
        if (drain && granted) {
            if (board.drain_start() != ops::Said::yes) {  // it ends, or is not ready yet: the lease goes back
                leaving = false;
                agreed->back(rollout::Kind::proxy, member, member, [](const auto&) {});
                return {409, fmt::format("not while {}\n", ops::name_of(board.phase())), false};
            }
            changed_board();
        }
        if (drain && !granted) leaving = board.drain_told();
        return leave_reply(answer, member);
    }

    void changed_board() {
        carry_out();
        transfer.keep();
        keep();
    }

    bool disk_undecided() {
        return transfer.waits_to_be_read() || transfer.disk().undecided() ||
               (recovery && recovery->disk().undecided());
    }
    std::string disk_missing() {
        if (transfer.waits_to_be_read()) return "hand-over: not read yet";
        const std::string handed = transfer.disk().missing();
        return handed.empty() && recovery ? recovery->disk().missing() : handed;
    }
    Micros disk_silent_for() {
        return std::max(transfer.disk().silent_for(), recovery ? recovery->disk().silent_for() : 0);
    }
    bool disk_busy() const {
        return fleet->disk_busy() || transfer.disk_busy() || reloading.busy() ||
               (recovery && recovery->disk_busy()) || (agreed && agreed->disk_hangs());
    }

    // What the module was made with, the addresses listened on and the store hold until the next start.
    void take_up(const config::Config& fresh, const config::Operator& setup) {
        sockets.set_most(for_servers(fresh.sockets, setup));
        front.set_limits(front_limits(fresh));
        if (signed_front && setup.signed_front) signed_front->renew(*setup.signed_front);
        fleet->renew(fresh, setup);
        if (peers && setup.peers) {
            if (agreed && setup.agreed) agreed->renew(*setup.agreed);
            peers->runs(setup.peers->version.empty() ? base::kVersion : setup.peers->version);
            follow_own();
        }
        core.run();
        log::info("configuration read anew");
    }

    std::optional<ops::Reply> take_call(const ops::Call& call, const front_ops::Later& later) {
        if (agreed && call.path == "/ops/rollout" && call.method == "GET")
            return ops::Reply{200, agreed->as_json(), false};
        constexpr std::string_view kExplain = "/ops/rollout/explain/";
        if (agreed && call.path.starts_with(kExplain) && call.method == "GET")
            return explained(*agreed, std::string(call.path.substr(kExplain.size())));
        if (recovery && call.path == "/ops/recovery" && call.method == "GET")
            return ops::Reply{200, recovery->as_json(), false};
        constexpr std::string_view kGo = "/ops/recovery/go/";
        if (recovery && call.path.starts_with(kGo) && call.method == "POST") {
            recovery::Stage stage{};
            if (!recovery::stage_named(std::string(call.path.substr(kGo.size())), stage))
                return ops::Reply{400, "no such stage\n", false};
            recovery->go(stage, "an operator at " + peers->group().self().name);
            return ops::Reply{200, fmt::format("{}\n", recovery::name_of(stage)), false};
        }
        if (registry && (call.path == "/ops/purge" || call.path.starts_with("/ops/purge/")))
            return registry->take_call(call, later);
        if (agreed && call.path.starts_with("/ops/release")) return take_release(call, later);
        if (agreed && take_leave(call, later)) return std::nullopt;
        if (peers && call.path == "/ops/group" && call.method == "GET")
            return ops::Reply{200, peers->as_json(), false};
        if (peers && call.path == "/ops/group/leave" && call.method == "POST") {
            peers->leave();
            return ops::Reply{200, "left\n", false};
        }
        const ops::Figures figures{.requests_open = core.open_requests(),
                                   .connections = front.connections(),
                                   .pop_caches_listed = fleet->view().size(),
                                   .timers = loop.deadlines().size(),
                                   .list_seq = fleet->view().newest_list(),
                                   .counters = counters_of(core, front, signed_front.get())};
        ops::Reply reply = ops::take_call(
            board, call, [this](const std::string& id) { return fleet->listed(id); }, figures);
        if (reply.changed) {
            log::info("ops: {} {}: {}", call.method, call.path, reply.status);
            changed_board();
            return kept_replies.give(std::move(reply), later);
        }
        return reply;
    }

    std::set<std::string> leased() const {
        std::set<std::string> out;
        for (const auto& [key, lease] : agreed->state().leases())
            if (key.first == rollout::Kind::pop_cache) out.insert(key.second);
        return out;
    }

    // For the way back from a loss of power. What the agreed log says stays as it was until it is heard
    // again.
    void keep() {
        if (!recovery || board.phase() == ops::Phase::starting) return;
        recovery->keep(board.bans(),
                       !agreed           ? std::set<std::string>{}
                       : agreed->known() ? leased()
                                         : recovery->kept().leased,
                       board.drain_told());
    }

    // What the board says, done: bans to the module, clients sent away while draining or ending.
    void carry_out() {
        std::set<std::string> bans = board.bans();
        if (recovery && board.phase() == ops::Phase::starting)
            bans.insert(recovery->kept().bans.begin(), recovery->kept().bans.end());
        if (agreed) bans.merge(leased());
        if (agreed && recovery && !agreed->known())
            bans.insert(recovery->kept().leased.begin(), recovery->kept().leased.end());
        fleet->set_bans(bans);
        time_drain();
        front.send_away(board.sending_away(), drain);
        front.set_ready(board.ready());
        if (signed_front) signed_front->send_away(board.sending_away(), drain);
        drain_report->now(drain);
    }

    // A drain counts from its first yes, also where it is told again; one that is on when the process is told
    // to end goes on.
    void time_drain() {
        if (board.phase() == ops::Phase::draining && !drain.on()) drain = ops::Drain(loop.clock().now());
        if (board.phase() == ops::Phase::serving) drain = {};
    }

    void end() {
        if (told_to_end) return;
        told_to_end = loop.clock().now();
        board.end();
        transfer.end();
        carry_out();
        ending_by = ending_of(core.settings());
        core.last_word_by(told_to_end + ending_by.last_word);
        if (config.inherited_fd >= 0) front.stop_listening(true);
        log::info("told to end: {} requests open", core.open_requests());
        if (signed_front) signed_front->leaving();
        // Where the socket was handed in another process goes on under this name: that is no leave.
        if (agreed) agreed->close();
        if (peers) config.inherited_fd >= 0 ? peers->silent() : peers->leave();
        fleet->leaving();
        look_for_end();
    }

    void look_for_end() {
        const Micros now = loop.clock().now(), since = now - told_to_end;
        const Micros accepting = config.inherited_fd >= 0 ? 0 : kKeepAccepting;
        const bool closed = since >= accepting;
        if (closed) front.stop_listening(config.inherited_fd >= 0);
        if (closed && signed_front) signed_front->stop_listening();
        const bool done = core.open_requests() == 0 && !front.unsent() &&
                          !(signed_front && signed_front->unsent()) && !transfer.disk().owes();
        // Danger: half a request may become a whole one at any moment, and one that has come unread is one.
        // Both are owed an answer for as long as this process is there.
        const bool coming = front.coming() || (signed_front && signed_front->coming());
        if (closed && done && !coming && since >= accepting + kWaitForConnected) {
            front.part_with_all();
            if (signed_front) signed_front->part_with_all();
        }
        const bool all_gone = front.connections() == 0 && !(signed_front && signed_front->connections() > 0);
        if ((closed && done && all_gone) || since > ending_by.gone) {
            log::info("ended {} ms after told: {} requests open, {} clients' connections", since / 1000,
                      core.open_requests(), front.connections());
            return loop.stop();
        }
        loop.deadlines().set(now + kLookForEnd, [this] { look_for_end(); });
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
