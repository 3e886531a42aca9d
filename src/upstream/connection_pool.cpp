#include "upstream/connection_pool.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "base/log.h"
#include "base/system_error.h"

namespace sumackeel::upstream {

using routing::AttemptStatus;

namespace {

// A spoilt answer, a reset or a lost one costs all that is open on its connection, so requests share one only
// where no other can be had.
constexpr std::size_t kMostChannels = 64;  // to one target
// Where a connection has a price, a further one is opened only if it costs less than what it spares: each
// request that shares one is lost with it. Danger: what one proxy opens for each attempt, a hundred open at
// each box.
constexpr double kSpoilt = 0.02;           // chance that a connection breaks or falls silent under a request
constexpr int kForFirst = 16;              // descriptors left for targets without a connection
constexpr int kForOthers = 8;              // never taken here: the change log must be reached
constexpr Micros kFullFor = 2'000'000;     // a target that took no more connections is asked for one again
constexpr Micros kStalled = 1'000'000;     // an answer that stopped in the middle for so long goes on no more
constexpr Micros kSilence = 400'000;       // open attempts and not a byte for this long: trusted no more
constexpr Micros kSuspectAfter = 200'000;  // given up after this long without a byte: the same
constexpr Micros kIdleMargin = 1'000'000;  // idle channels close this long before the other side would
constexpr Micros kSweep = 250'000;
// Names of requests given up on one connection, whose answers may still come there. One with more of them
// than this gets nothing new and closes once nothing is open on it.
constexpr std::size_t kMostGivenUp = 256;

constexpr Micros kTurnTooOld = 50'000;  // what came meanwhile is read before a request goes out
constexpr Micros kLimitWithin = 1'000;  // a limit is written so soon after it was reckoned
constexpr Micros kDialAgain = 20'000;   // a socket could not be made here

// An error of connect that tells of this machine, not of the one called.
bool is_own_shortage(int error) {
    return error != 0 && (base::is_transient(error) || error == UV_EADDRNOTAVAIL);
}

}  // namespace

struct ConnectionPool::Channel : net::Stream::Handler {
    ConnectionPool& pool;
    std::uint64_t number;
    std::string target;
    net::Stream* stream = nullptr;
    bool up = false;
    bool lost = false;     // its connection has gone, or could not come up
    bool suspect = false;  // an attempt ran out of time here without a byte in the meanwhile
    struct Waiting {
        std::string id;
        RequestEncoder request;
        Micros begin_by;       // 0: no such moment
        bool put_off = false;  // once already, until what came meanwhile is read
    };
    enum class Begin { written, too_late, put_off };
    // To be written once it is up and all before it has left here. Danger: what lay in a queue as text would
    // tell a limit from before the wait.
    std::vector<Waiting> waiting;
    std::unordered_map<std::string, Open> open;
    std::unordered_set<std::string> given_up;  // written here, stopped, and not answered since
    ResponseReader reader;
    Micros last_byte_at = 0;  // last byte that came, or the first sent after a pause
    Micros used = 0;
    base::TimerQueue::Key connect_by;

    Channel(ConnectionPool& owner, std::uint64_t n, std::string to)
        : pool(owner), number(n), target(std::move(to)) {}

    void on_open(net::Stream&) override {
        pool.loop_.timers().cancel(connect_by);
        pool.opened_.push_back(number);
    }

    bool can_write() const { return up && stream->unsent_bytes() == 0; }

    void begin() {
        up = true;
        last_byte_at = pool.loop_.clock().now();
        write_waiting();
    }

    void on_write_drained(net::Stream&) override {
        if (can_write()) write_waiting();
    }

    void write_waiting() {
        std::vector<Waiting> todo = std::exchange(waiting, {});
        for (Waiting& one : todo) {
            if (!can_write()) {
                waiting.push_back(std::move(one));
                continue;
            }
            const Begin how = write(one);
            if (how == Begin::put_off) {
                put_off(std::move(one));
                continue;
            }
            if (how != Begin::too_late) continue;
            const Handle late = open.at(one.id).attempt;
            open.erase(one.id);
            pool.carried_.erase(late.number());
            pool.core_.on_attempt_finished(late,
                                           core::AttemptResult{.status = AttemptStatus::connect_failed});
        }
    }

    // Danger: the process may be stopped at any moment. Behind that the limit in a text is too long, and the
    // client may have left: that is read before anything goes out.
    Begin write(const Waiting& one) {
        for (;;) {
            const Micros now = pool.loop_.clock().now();
            if (now >= one.request.deadline() || (one.begin_by > 0 && now >= one.begin_by))
                return Begin::too_late;
            if (!one.put_off && pool.loop_.iteration_age() > kTurnTooOld) return Begin::put_off;
            const std::string text = one.request.encode_at(now);
            if (pool.loop_.clock().now() - now > kLimitWithin) continue;
            Open& begun = open.at(one.id);
            begun.begun = true;
            begun.sent = now;
            stream->write_immediately(text);
            return Begin::written;
        }
    }

    // Until the next turn of the loop, which reads before it does what is due.
    void put_off(Waiting one) {
        one.put_off = true;
        waiting.push_back(std::move(one));
        pool.loop_.timers().schedule(pool.loop_.clock().now(), [&pool = pool, number = number] {
            const auto found = pool.channels_.find(number);
            if (found != pool.channels_.end() && found->second->can_write()) found->second->write_waiting();
        });
    }

    void on_data(net::Stream&, std::string_view bytes) override {
        last_byte_at = pool.loop_.clock().now();
        suspect = false;
        reader.append(bytes);
        CacheResponse answer;
        while (reader.next(answer)) {
            const auto found = open.find(answer.id);
            if (found == open.end()) {  // given up already
                given_up.erase(answer.id);
                continue;
            }
            const Handle attempt = found->second.attempt;
            open.erase(found);
            used = last_byte_at;
            pool.carried_.erase(attempt.number());
            pool.core_.on_attempt_finished(attempt, std::move(answer.result));
        }
    }

    void on_close(net::Stream&, net::DisconnectCause how) override {
        stream = nullptr;
        lost = true;
        if (how == net::DisconnectCause::connect_failed) {
            log::debug("{} refused a connection", target);
            Target& to = pool.targets_[target];
            const bool others =
                std::any_of(to.channels.begin(), to.channels.end(), [](const auto& c) { return c->up; });
            if (others) to.full_until = pool.loop_.clock().now() + kFullFor;
        }
        pool.drop(*this, up);
    }
};

ConnectionPool::ConnectionPool(net::Loop& loop, net::SocketBudget& budget, core::Core& core, Limits limits)
    : loop_(loop), budget_(budget), core_(core), limits_(limits) {
    sweep();
    loop_.on_each_iteration([this] {
        begin_opened();
        dead_.clear();
    });
}

// Danger: in the turn in which a connection came up a client whose request waits for it may have left, and
// that is read behind it. So nothing goes out before all that had come by then is known.
void ConnectionPool::begin_opened() {
    for (const std::uint64_t number : std::exchange(opened_, {})) {
        const auto found = channels_.find(number);
        if (found != channels_.end()) found->second->begin();
    }
}

ConnectionPool::~ConnectionPool() {
    for (auto& [number, channel] : channels_)
        if (channel->stream) channel->stream->close();
}

void ConnectionPool::set_address(const std::string& name, const std::string& address) {
    Target& target = targets_[name];
    target.retired = false;
    if (target.address == address) return;
    target.address = address;
    // Connections to the old place belong to another machine.
    std::vector<Channel*> old;
    for (const auto& channel : target.channels) old.push_back(channel.get());
    for (Channel* channel : old) drop(*channel, channel->up);
}

void ConnectionPool::retire(const std::string& name) {
    const auto found = targets_.find(name);
    if (found != targets_.end()) found->second.retired = true;
}

void ConnectionPool::retain_only(const std::vector<std::string>& names) {
    for (auto& [name, target] : targets_)
        if (std::find(names.begin(), names.end(), name) == names.end()) target.retired = true;
}

bool ConnectionPool::silent(const Channel& channel) const {
    if (channel.suspect || channel.given_up.size() >= kMostGivenUp) return true;
    // What is written to it does not even leave here: a request would begin who knows when.
    if (channel.up && channel.stream->unsent_bytes() > 0) return true;
    if (!channel.up || channel.open.empty()) return false;
    return loop_.clock().now() - channel.last_byte_at > kSilence;
}

// The least loaded channel that works and that the request has not used before: the name of a request stands
// for one attempt on a channel, also after a STOP. A silent one only where no other can be had.
ConnectionPool::Channel* ConnectionPool::pick(Target& target, const core::AttemptRequest& sending) {
    Channel* best = nullptr;
    // Of those alike the one heard last: what has long been idle is the likelier to be gone.
    const auto rank = [this](const Channel& c) {
        return std::tuple(silent(c), c.open.size(), !c.up, -c.last_byte_at);
    };
    for (const auto& channel : target.channels) {
        if (channel->open.size() >= static_cast<std::size_t>(limits_.streams_per_conn)) continue;
        const auto& avoid = sending.avoid_connections;
        if (std::find(avoid.begin(), avoid.end(), channel->number) != avoid.end()) continue;
        // Danger: under a name that was used here before, by whichever client, the answer to that one may
        // come.
        if (channel->open.contains(sending.request->id) || channel->given_up.contains(sending.request->id))
            continue;
        // Half a line that nobody asked for: the rest of it would be read as the head of the next answer.
        if (channel->open.empty() && channel->reader.partial()) continue;
        if (!best || rank(*channel) < rank(*best)) best = channel.get();
    }
    const bool trusted = best && !silent(*best);
    if (trusted &&
        (best->open.empty() || static_cast<double>(best->open.size()) * kSpoilt < limits_.handshake_price))
        return best;
    const bool may_dial =
        target.channels.size() < kMostChannels && (!trusted || loop_.clock().now() >= target.full_until);
    const int leave = trusted ? kForFirst + kForOthers : kForOthers;
    if (!may_dial || (budget_.available() <= leave && !make_room(best))) return best;
    Channel* fresh = dial(sending.target, target);
    return fresh ? fresh : best;
}

// Closes the connection that has been idle the longest, whoever it leads to, but not `keep`.
bool ConnectionPool::make_room(const Channel* keep) {
    Channel* idle = nullptr;
    for (const auto& [number, channel] : channels_)
        if (channel != keep && channel->up && channel->open.empty() && (!idle || channel->used < idle->used))
            idle = channel;
    if (idle) drop(*idle, true);
    return idle != nullptr;
}

ConnectionPool::Channel* ConnectionPool::dial(const std::string& name, Target& target) {
    sockaddr_in address{};
    if (!net::parse_address(target.address, address)) return nullptr;
    auto channel = std::make_unique<Channel>(*this, next_channel_++, name);
    int why = 0;
    channel->stream = net::Stream::connect(loop_, budget_, address, *channel, &why);
    if (!channel->stream && !is_own_shortage(why)) return nullptr;
    log::debug("dialled at={} open={}", name, target.channels.size());
    Channel* raw = channel.get();
    raw->used = loop_.clock().now();
    if (!raw->stream) dial_later(raw->number);
    raw->connect_by =
        loop_.timers().schedule(raw->used + limits_.connect_timeout, [this, number = raw->number] {
            const auto found = channels_.find(number);
            if (found == channels_.end() || found->second->up) return;
            drop(*found->second, false);
            core_.process_events();
        });
    channels_[raw->number] = raw;
    target.channels.push_back(std::move(channel));
    return raw;
}

// What waits for the connection goes on waiting; no pop cache has failed by it.
void ConnectionPool::dial_later(std::uint64_t number) {
    loop_.timers().schedule(loop_.clock().now() + kDialAgain, [this, number] {
        const auto found = channels_.find(number);
        if (found == channels_.end()) return;
        Channel& channel = *found->second;
        sockaddr_in address{};
        int why = 0;
        if (net::parse_address(targets_[channel.target].address, address))
            channel.stream = net::Stream::connect(loop_, budget_, address, channel, &why);
        if (channel.stream) return;
        if (is_own_shortage(why)) return dial_later(number);
        channel.lost = why != 0;
        drop(channel, false);
        core_.process_events();
    });
}

std::uint64_t ConnectionPool::start(const core::AttemptRequest& sending) {
    const auto place = targets_.find(sending.target);
    Channel* channel = place == targets_.end() ? nullptr : pick(place->second, sending);
    const Handle attempt = sending.attempt;
    if (!channel) {
        log::debug("no connection can be opened to {}", sending.target);
        loop_.timers().schedule(loop_.clock().now(),
                                [this, attempt] { end(attempt, AttemptStatus::connect_failed); });
        return 0;
    }
    const Micros now = loop_.clock().now();
    const std::string& id = sending.request->id;
    if (channel->open.empty()) channel->last_byte_at = now;
    channel->open[id] = {attempt, now};
    channel->used = now;
    carried_[attempt.number()] = {channel->number, id};
    Channel::Waiting waiting{id, RequestEncoder(sending), sending.start_deadline};
    if (!channel->can_write()) {
        channel->waiting.push_back(std::move(waiting));
        return channel->number;
    }
    switch (channel->write(waiting)) {
        case Channel::Begin::written:
            break;
        case Channel::Begin::put_off:
            channel->put_off(std::move(waiting));
            break;
        case Channel::Begin::too_late:
            loop_.timers().schedule(now, [this, attempt] { end_unbegun(attempt); });
            break;
    }
    return channel->number;
}

void ConnectionPool::end_unbegun(Handle attempt) {
    const auto found = carried_.find(attempt.number());
    if (found == carried_.end()) return;  // given up meanwhile
    const auto channel = channels_.find(found->second.channel);
    if (channel != channels_.end()) channel->second->open.erase(found->second.id);
    end(attempt, AttemptStatus::connect_failed);
}

bool ConnectionPool::cancel(Handle attempt) {
    const auto found = carried_.find(attempt.number());
    if (found == carried_.end()) return true;
    const Where where = found->second;
    carried_.erase(found);
    const auto at = channels_.find(where.channel);
    if (at == channels_.end()) return true;
    Channel& channel = *at->second;
    const Open one = channel.open[where.id];
    channel.open.erase(where.id);
    if (!one.begun) {
        std::erase_if(channel.waiting, [&](const auto& other) { return other.id == where.id; });
        return false;
    }
    if (loop_.clock().now() - std::max(channel.last_byte_at, one.sent) > kSuspectAfter)
        channel.suspect = true;
    channel.stream->write(encode_cancel(where.id));
    if (channel.given_up.size() < kMostGivenUp) channel.given_up.insert(where.id);
    return true;
}

bool ConnectionPool::not_started(Handle attempt) const {
    const auto found = carried_.find(attempt.number());
    const auto at = found == carried_.end() ? channels_.end() : channels_.find(found->second.channel);
    return at != channels_.end() && !at->second->open.at(found->second.id).begun;
}

bool ConnectionPool::lacks_socket(Handle attempt) const {
    const auto found = carried_.find(attempt.number());
    const auto at = found == carried_.end() ? channels_.end() : channels_.find(found->second.channel);
    return at != channels_.end() && !at->second->stream && !at->second->lost;
}

void ConnectionPool::end(Handle attempt, AttemptStatus verdict) {
    carried_.erase(attempt.number());
    core_.on_attempt_finished(attempt, core::AttemptResult{.status = verdict});
    core_.process_events();
}

// All that was open on the channel is over: it may have run if the channel had come up.
void ConnectionPool::drop(Channel& channel, bool came_up) {
    if (!channels_.erase(channel.number)) return;
    loop_.timers().cancel(channel.connect_by);
    const bool ever_dialled = channel.stream || channel.lost;
    if (channel.stream) channel.stream->close();
    channel.stream = nullptr;
    const AttemptStatus unbegun = came_up || ever_dialled
                                      ? AttemptStatus::connect_failed
                                      : AttemptStatus::not_sent;  // for want of a socket of our own
    Target& target = targets_[channel.target];
    const auto place = std::find_if(target.channels.begin(), target.channels.end(),
                                    [&](const auto& c) { return c.get() == &channel; });
    dead_.push_back(std::move(*place));
    target.channels.erase(place);
    std::vector<Open> open;
    for (const auto& [id, one] : channel.open) open.push_back(one);
    std::sort(open.begin(), open.end(),
              [](const Open& a, const Open& b) { return a.attempt.number() < b.attempt.number(); });
    for (const Open& one : open) {
        carried_.erase(one.attempt.number());
        core_.on_attempt_finished(
            one.attempt,
            core::AttemptResult{.status = one.begun ? AttemptStatus::connection_reset : unbegun});
    }
}

void ConnectionPool::close_idle_connections(const std::string& name) {
    const auto found = targets_.find(name);
    if (found == targets_.end()) return;
    std::vector<Channel*> idle;
    for (const auto& channel : found->second.channels)
        if (channel->open.empty() && channel->up) idle.push_back(channel.get());
    for (Channel* channel : idle) drop(*channel, true);
}

void ConnectionPool::sweep() {
    const Micros now = loop_.clock().now();
    std::vector<Channel*> idle, stalled;
    for (const auto& [number, channel] : channels_)
        if (channel->up && channel->open.empty() &&
            (channel->suspect || channel->given_up.size() >= kMostGivenUp ||
             targets_[channel->target].retired || now - channel->used > limits_.idle_close - kIdleMargin))
            idle.push_back(channel);
        else if (channel->reader.partial() && now - channel->last_byte_at > kStalled)
            stalled.push_back(channel);
    for (Channel* channel : idle) drop(*channel, true);
    for (Channel* channel : stalled) {
        log::debug("{} stopped in the middle of an answer", channel->target);
        drop(*channel, true);
    }
    if (!stalled.empty()) core_.process_events();
    std::erase_if(targets_, [](const auto& t) { return t.second.retired && t.second.channels.empty(); });
    loop_.timers().schedule(now + kSweep, [this] { sweep(); });
}

}  // namespace sumackeel::upstream
