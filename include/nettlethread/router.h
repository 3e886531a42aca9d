// The interface of nettlethread: settings, events, actions and the Router that turns one into the other.
// No decision is taken here; every one of them is in src/choice.cpp.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace nettlethread {

using Micros = std::int64_t;  // a time or a span, in microseconds of the caller's clock

enum class Semantics { safe, keyed, unsafe };
enum class Scope { all, zone, cell };           // which caches drop a keyed request's repeats
enum class Neighbours { none, own_zone, any };  // which caches may supply another cache's fill
enum class Notes { none, hits, all };           // what outcomes tell of hits and fills
enum class Reports { none, with_answers, on_probe };
enum class Weights { none, nominal, rough, live };

struct ClassSettings {
    Micros aim = 0;          // answered within this (and the stretch): full worth
    double aim_stretch = 0;  // the aim grows by this many times the request's own sending time
    Micros give_up = 0;
    double late_value = 0;  // share of the worth left after the aim
    double points = 1;
    Semantics semantics = Semantics::safe;
    Scope scope = Scope::all;
    Micros window = 0;  // keyed: how long repeats are dropped
    bool stream = false;
    Micros fresh = 0;  // 0: no limit
    Micros grace = 0;  // a copy may be served this long past fresh
    double stale_worth = 1;
    bool in_pieces = false;
    bool uncached = false;  // runs at the origin, leaves no copy
};

struct Settings {
    std::vector<ClassSettings> classes;
    int instances = 1;
    int me = 0;
    int my_zone = 0;
    std::vector<int> zone_instances;  // gateways in each zone
    std::vector<int> zone_hub;        // each zone's hub, a place in a ring
    std::vector<double> inlet_kb_per_s;
    int parent_kind = -1;  // -1: no parents
    int origin_kind = -1;
    double pace_kb_per_s = 0;  // top pace of one answer; the unit of weights
    bool joins = false;
    bool direct = false;
    Neighbours neighbours = Neighbours::none;
    Notes notes = Notes::none;
    Weights weights = Weights::none;
    Reports reports = Reports::none;
    bool ask_for_list = false;  // the list must be asked for
    Micros obey_after = 0;
    Micros cleared_within = 0;
    Micros answer_slack = 0;
    Micros ask_within = 0;
    Micros drain_grace = 0;
    double cold_share = 1;
    Micros warm_after = 0;
    double tip_multiple = 0;
    Micros overload_for = 0;
    double parent_cold_from = 1;
    Micros parent_ramp = 0;
    double parent_breaks_at = 0;
    double origin_stops_at = 0;
    Micros origin_over_for = 0;
    bool may_cancel = false;
    bool may_probe = false;
    bool may_tell_peers = false;
    bool second_copies = false;
    bool retry_advice = false;
    Micros longest_advice = 0;
    int most_tries = 1;
    int most_held = 0;
    Micros connect_timeout = 0;
    Micros tick = 0;
    double waste_price = 0;
    double late_fail_price = 0;
    // Requests a second that may be sent straight to the origin while no cache and no parent is known that
    // may be used; classes that run there anyway are not counted. 0: none, they are refused.
    double origin_alone_per_s = 0;
};

enum class CacheState { ready, draining, gone };
enum class ListKind { changes, full, saved, failed };

struct CacheEntry {
    std::string cache;
    double weight = 1;
    CacheState state = CacheState::ready;
    int zone = -1;
    Micros since = 0;  // when it last started; 0: long ago
    int kind = -1;
    std::int64_t cell = -1;
    // Known from an old list alone: it may have started anew unheard. It gets what a cache gets that starts
    // at this moment, and warms only from its first answer on. `since` is not looked at.
    bool careful = false;
};

enum class Verdict {
    served,
    error,
    full,
    timed_out,
    not_connected,
    broken_off,
    called_off,
    never_sent,
    missing
};

// How an answer came to be, or why its fill failed, where the site tells.
enum class Note {
    none,
    hit,
    filled,
    filled_by_origin,
    joined,
    past_fresh,
    source_refused,
    source_lost,
    source_lacks,
    no_fill_place,
    origin_failed
};

// Where a cache reports its load; below 0: not told.
struct LoadReport {
    double held = -1;  // requests it holds
    double link = -1;  // transfers on its zone's link in over those that fit at full pace
};

// Events.
struct ListNews {
    std::int64_t version = 0;
    ListKind kind = ListKind::full;
    std::vector<CacheEntry> entries;
};
struct Arrival {
    std::string id;
    int service = 0;  // place in Settings::classes
    int tenant = -1;
    std::string object;
    Micros grace = 0;  // time left before this try is abandoned
    Micros ends_in =
        std::numeric_limits<Micros>::max();  // until the proxy itself is gone, where that is near
    double size_kb = 0;
    int group = 0;
    int part = 0;
    bool client_repeat = false;
    bool write = false;
};
struct ClientLeft {
    std::string id;
};
struct PeerNews {
    int from = 0;
    std::string bytes;
};
struct TimerDue {
    std::uint64_t token = 0;
};
struct ProbeAnswer {
    std::string cache;
    Verdict verdict = Verdict::served;
    Micros took = 0;
    LoadReport load;
};
struct StreamStarted {
    std::string id;
    std::string cache;
    int attempt = 0;
    Micros took = 0;
};
struct Outcome {
    std::string id;
    int attempt = 0;
    std::string cache;
    Verdict verdict = Verdict::served;
    Micros took = 0;
    bool ended = false;  // the request is finished, nothing more is owed
    Note note = Note::none;
    Micros first_byte = 0;  // to the source's first byte or the fill's failure; 0: not told
    LoadReport load;
};
struct Purge {
    int group = 0;
    Micros age = 0;
    std::string object;  // empty: the whole group
};
// How many routers there are now, for all that they bound together.
struct GroupNews {
    int instances = 1;
    std::vector<int> zone_instances;  // in each zone
};
// This process itself stood still for so long until now: what is late by it is no server's doing.
struct Stalled {
    Micros span = 0;
};
using Event = std::variant<ListNews, Arrival, ClientLeft, PeerNews, TimerDue, ProbeAnswer, StreamStarted,
                           Outcome, Purge, GroupNews, Stalled>;

// Actions.
struct LookUp {
    std::string id;
    std::string cache;
    Micros timeout = 0;
};
struct Serve {
    std::string id;
    Micros timeout = 0;
    std::string cache;
    Micros age = 0;  // oldest copy that will do; 0: the class's fresh time
    bool join = false;
    bool source_holds = false;  // the source gives only what it holds
    bool parent_skips = false;  // the parent keeps no copy
    bool renew = false;         // fetch an ageing copy anew while serving it
    std::string source = {};    // the cache itself: no fill
    int rank = 0;
};
struct SetTimer {
    Micros at = 0;
    std::uint64_t token = 0;
};
struct Refuse {
    std::string id;
    Micros come_back = 0;
};
struct Fail {
    std::string id;
};
struct Cancel {
    std::string id;
    int attempt = 0;
};
struct TellPeer {
    int to = -1;  // -1: all
    std::string bytes;
};
struct WatchList {
    bool on = true;
};
struct FetchList {};
struct Probe {
    std::string cache;
};
struct CloseIdle {
    std::string cache;
};
struct Log {
    std::string text;
};
using Action = std::variant<LookUp, Serve, SetTimer, Refuse, Fail, Cancel, TellPeer, WatchList, FetchList,
                            Probe, CloseIdle, Log>;

// One instance of the decisions. Event time is its only clock; all its chance comes from the seed.
class Router {
  public:
    Router(const Settings& settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    // Appends what is to be done at `now` about `event`. `now` never runs backwards.
    void handle(Micros now, const Event& event, std::vector<Action>& actions);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace nettlethread
