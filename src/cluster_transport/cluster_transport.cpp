#include "cluster_transport/cluster_transport.h"

#include <json/json.h>

#include <algorithm>
#include <stdexcept>

#include "base/json_line.h"
#include "base/log.h"
#include "base/run_with_timeout.h"
#include "base/system_error.h"

namespace sumackeel::cluster_transport {

using base::Micros;
using cluster::SendPriority;

namespace {

constexpr std::size_t kMostExchanges = 32;  // under way at a time, of others' making and our own
constexpr std::size_t kMostAskings = 64;    // questions of ours under way; beyond it they fail at once
constexpr Micros kExchangePatience = 3'000'000;
constexpr Micros kBindAgain = 200'000;   // while the process before this one holds the address
constexpr int kAloneAfter = 5;           // periods without an answer from any seed
constexpr double kExchangeShare = 0.25;  // of the cap, for exchanges; the rest is for datagrams
// Of the datagrams' cap that must be left for these; probes and their answers go down to nothing.
constexpr double kLeftForIndirect = 0.1, kLeftForNews = 0.3;

cluster::Options options_of(const config::Cluster& setup) {
    cluster::Options options;
    options.protocol_period = setup.period;
    options.ping_timeout = setup.probe_timeout;
    options.indirect_pings = setup.indirect;
    options.required_suspectors = setup.votes;
    options.forget_after = setup.forget;
    options.exchange_interval = setup.exchange_every;
    options.size_settle_time = setup.settle;
    return options;
}

cluster::MemberRecord first_word(const config::Cluster& setup, const std::string& zone,
                                 const std::string& version, std::uint64_t start, std::uint64_t life) {
    return {.name = setup.name,
            .address = setup.advertise.empty() ? setup.listen : setup.advertise,
            .zone = zone,
            .software_version = version,
            .incarnation = {start, 0},
            .instance_id = life,
            .phase = cluster::Phase::joining};
}

// Danger: not from the seed. A configuration that is used again gives the same one, and two lives must
// differ.
std::uint64_t new_life() {
    std::random_device chance;
    return static_cast<std::uint64_t>(chance()) << 32 | chance();
}

struct Start {
    std::uint64_t number = 0;
    std::string read_fault, write_fault;  // empty: none
};

Start count_start(const StartNumber& on_disk) {
    Start start;
    start.number = on_disk.read(start.read_fault) + 1;
    start.write_fault = base::retry_directory_at_startup([&] { return on_disk.write(start.number); });
    return start;
}

// The number of this start, on disk before anything is said under it. Throws where that can't be.
std::uint64_t next_start(const StartNumber& on_disk) {
    const auto start = base::run_with_timeout(2 * base::kDirectoryResponseTimeout,
                                              [on_disk] { return count_start(on_disk); });
    if (!start) throw std::runtime_error("peers: the start number can't be kept: its folder does not answer");
    if (!start->read_fault.empty()) log::error("peers: {}", start->read_fault);
    if (!start->write_fault.empty())
        throw std::runtime_error("peers: the start number can't be kept: " + start->write_fault);
    return start->number;
}

}  // namespace

// One exchange: hello with a digest; `same`, or a state that is answered with a state.
struct ClusterTransport::Exchange : net::Stream::Handler {
    ClusterTransport& peers;
    net::Stream* stream = nullptr;
    bool ours, over = false, timed = true;
    std::string name, in;  // name: with whom, where that is known
    CallFrame asked;       // a question that came in place of an exchange
    std::uint64_t number = 0;
    base::TimerQueue::Key by;

    Exchange(ClusterTransport& p, bool o, std::string n) : peers(p), ours(o), name(std::move(n)) {
        by = peers.loop_.timers().schedule(peers.loop_.clock().now() + kExchangePatience,
                                           [this] { end(false); });
    }
    // Danger: one that has ended may outlive its owner, and touches nothing of it any more.
    ~Exchange() override {
        if (timed) peers.loop_.timers().cancel(by);
        if (stream) stream->close();
    }

    void say(ExchangeStep step) {
        ExchangeFrame frame{.step = step, .to = name, .digest = peers.membership_.digest(), .state = {}};
        if (step == ExchangeStep::state)
            frame.state = peers.membership_.full_state();
        else
            frame.state.from = peers.membership_.self().name;
        std::string bytes = peers.codec_.encode_frame(frame);
        peers.figures_.bytes_out += bytes.size();
        peers.exchanges_cap_.spend(bytes.size());
        stream->write(std::move(bytes));
    }

    void on_open(net::Stream&) override { say(ExchangeStep::hello); }

    void on_data(net::Stream&, std::string_view bytes) override {
        if (over) return;
        peers.figures_.bytes_in += bytes.size();
        in += bytes;
        while (!over) {
            bool oversized = false;
            const auto whole = take_frame(in, oversized);
            if (!whole && !oversized) return;
            if (whole && !ours && MessageCodec::is_call(*whole)) return take_call(*whole);
            DecodeError bad = DecodeError::oversized;
            const auto frame = whole ? peers.codec_.decode_frame(*whole, bad) : std::nullopt;
            if (!frame) {
                ++peers.figures_.bad[static_cast<int>(bad)];
                return end(false);
            }
            take(*frame);
        }
    }

    // One question a stream: the answer goes back on it, and it is closed.
    void take_call(const std::string& bytes) {
        DecodeError bad{};
        const auto call = peers.codec_.decode_call(bytes, bad);
        const std::string& self = peers.membership_.self().name;
        if (call && (call->to != self || call->is_response))
            bad = DecodeError::wrong_protocol;
        else if (call && !peers.calls_seen_.accept(call->from, call->start, call->sequence))
            bad = DecodeError::replayed;
        else if (const auto take = call ? peers.takes_.find(call->method) : peers.takes_.end();
                 take != peers.takes_.end()) {
            asked = *call;
            const std::weak_ptr<bool> alive = peers.alive_;
            ClusterTransport* owner = &peers;
            const std::uint64_t me = number = ++peers.calls_;
            return take->second(call->from, call->method, call->body, [alive, owner, me](std::string answer) {
                if (alive.expired()) return;
                for (const auto& one : owner->exchanges_)
                    if (one->number == me) return one->answer(std::move(answer));
            });
        }
        ++peers.figures_.bad[static_cast<int>(bad)];
        end(false);
    }
    void answer(std::string body) {
        if (over || !stream) return;
        CallFrame back{.from = peers.membership_.self().name,
                       .to = asked.from,
                       .start = asked.start,
                       .sequence = asked.sequence,
                       .is_response = true,
                       .method = asked.method,
                       .body = std::move(body)};
        std::string bytes = peers.codec_.encode_call(back);
        peers.figures_.bytes_out += bytes.size();
        stream->write(std::move(bytes));
        finish();
    }

    void take(const ExchangeFrame& frame) {
        const std::string& self = peers.membership_.self().name;
        if (!frame.to.empty() && frame.to != self) {
            ++peers.figures_.bad[static_cast<int>(DecodeError::wrong_protocol)];
            return end(false);
        }
        switch (frame.step) {
            case ExchangeStep::hello:
                if (ours) return end(false);
                name = frame.state.from;
                if (frame.digest == peers.membership_.digest()) {
                    ++peers.figures_.exchanges_same;
                    say(ExchangeStep::same);
                    return finish();
                }
                return say(ExchangeStep::state);
            case ExchangeStep::same:
                return end(ours);
            case ExchangeStep::state:
                peers.membership_.merge(peers.steady(), frame.state);
                if (!ours) return end(true);
                say(ExchangeStep::state);
                return finish();
        }
    }

    void finish() {  // what is unsent is sent first
        over = true;
        stream->shutdown();
    }
    void end(bool done) {
        over = true;
        if (stream) std::exchange(stream, nullptr)->close();
        peers.ended(*this, done);
    }
    void on_close(net::Stream&, net::DisconnectCause how) override {
        stream = nullptr;
        peers.ended(*this, over && how == net::DisconnectCause::closed_by_peer);
    }
};

// One question of ours: a stream, the answer, or the end of patience.
struct ClusterTransport::Asking : net::Stream::Handler {
    ClusterTransport& peers;
    net::Stream* stream = nullptr;
    CallFrame call;
    std::string in;
    CallCallback done;
    base::TimerQueue::Key by;
    bool timed = true;

    Asking(ClusterTransport& p, CallFrame c, base::Micros patience, CallCallback d)
        : peers(p), call(std::move(c)), done(std::move(d)) {
        by = peers.loop_.timers().schedule(peers.loop_.clock().now() + patience, [this] { end({}); });
    }
    ~Asking() override {
        if (timed) peers.loop_.timers().cancel(by);
        if (stream) stream->close();
    }
    void on_open(net::Stream&) override {
        std::string bytes = peers.codec_.encode_call(call);
        peers.figures_.bytes_out += bytes.size();
        stream->write(std::move(bytes));
    }
    void on_data(net::Stream&, std::string_view bytes) override {
        peers.figures_.bytes_in += bytes.size();
        in += bytes;
        bool oversized = false;
        const auto whole = take_frame(in, oversized);
        if (!whole && !oversized) return;
        DecodeError bad = DecodeError::oversized;
        const auto back = whole ? peers.codec_.decode_call(*whole, bad) : std::nullopt;
        const bool ours = back && back->is_response && back->from == call.to && back->to == call.from &&
                          back->start == call.start && back->sequence == call.sequence;
        if (!ours) ++peers.figures_.bad[static_cast<int>(back ? DecodeError::wrong_protocol : bad)];
        end(ours ? std::optional(back->body) : std::nullopt);
    }
    void on_close(net::Stream&, net::DisconnectCause) override {
        stream = nullptr;
        end({});
    }
    void end(std::optional<std::string> answer) {
        if (!std::exchange(timed, false)) return;
        peers.loop_.timers().cancel(by);
        if (stream) std::exchange(stream, nullptr)->close();
        peers.let_go(peers.askings_, *this);
        if (const CallCallback tell = std::exchange(done, nullptr)) tell(std::move(answer));
    }
};

void ClusterTransport::call(const std::string& to, const std::string& verb, std::string body,
                            base::Micros patience, CallCallback done) {
    const std::string told = membership_.address_of(to);
    sockaddr_in at{};
    auto asking = std::make_unique<Asking>(*this,
                                           CallFrame{.from = membership_.self().name,
                                                     .to = to,
                                                     .start = membership_.self().incarnation.start,
                                                     .sequence = ++calls_,
                                                     .is_response = false,
                                                     .method = verb,
                                                     .body = std::move(body)},
                                           patience, std::move(done));
    if (on() && !told.empty() && net::parse_address(reachable_address(told), at) &&
        askings_.size() < kMostAskings)
        asking->stream = net::Stream::connect(loop_, sockets_, at, *asking);
    if (!asking->stream) {  // told from the loop all the same, at once
        loop_.timers().cancel(asking->by);
        asking->by = loop_.timers().schedule(loop_.clock().now(), [one = asking.get()] { one->end({}); });
    }
    askings_.push_back(std::move(asking));
}

ClusterTransport::ClusterTransport(net::Loop& loop, net::SocketBudget& sockets, const config::Cluster& setup,
                                   const std::string& zone, const std::string& version, std::uint64_t seed,
                                   std::map<std::string, int> counted_at_first, bool wait_for_address,
                                   ClusterSizeCallback counted)
    : loop_(loop),
      sockets_(sockets),
      setup_(setup),
      codec_(setup.group, load_keys(setup.key_file)),
      number_(setup.folder),
      raising_(loop),
      rng_(seed ^ 0x9e3779b97f4a7c15ULL),
      membership_(options_of(setup), first_word(setup, zone, version, next_start(number_), new_life()),
                  rng_(), steady()),
      counted_(std::move(counted)),
      told_(counted_at_first),
      datagrams_(setup.bytes_per_s * (1 - kExchangeShare)),
      exchanges_cap_(setup.bytes_per_s * kExchangeShare) {
    membership_.seed_cluster_size(counted_at_first);
    began_ = steady();
    if (!listen()) {
        if (!wait_for_address) {
            close();
            throw std::runtime_error("peers: can't listen on " + setup_.listen);
        }
        log::info("peers: {} is held, waiting for the process before this one", setup_.listen);
        listen_later();
    }
    log::info("peers: {} of group {}, start {}", setup_.name, setup_.group,
              membership_.self().incarnation.start);
    arm();
}

ClusterTransport::~ClusterTransport() {
    close();
}

void ClusterTransport::close() {
    for (auto* key : {&timer_, &bind_timer_})
        if (*key) loop_.timers().cancel(**key), key->reset();
    exchanges_.clear();
    askings_.clear();
    listener_.reset();
    if (!udp_) return;
    udp_->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(udp_),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_udp_t*>(handle); });
    udp_ = nullptr;
}

bool ClusterTransport::listen() {
    sockaddr_in at{};
    if (!net::parse_address(setup_.listen, at))
        throw std::runtime_error("peers: no address: " + setup_.listen);
    udp_ = new uv_udp_t;
    uv_udp_init(loop_.raw(), udp_);
    udp_->data = this;
    if (uv_udp_bind(udp_, reinterpret_cast<const sockaddr*>(&at), 0) != 0) return close(), false;
    try {
        listener_ = std::make_unique<net::Listener>(loop_, setup_.listen, [this] {
            const int fd = listener_->accept();
            if (fd < 0) return;
            auto exchange = std::make_unique<Exchange>(*this, false, "");
            exchange->stream = net::Stream::adopt(loop_, sockets_, fd, *exchange);
            if (!exchange->stream) return;
            exchanges_.push_back(std::move(exchange));
            if (exchanges_.size() > kMostExchanges) exchanges_.erase(exchanges_.begin());  // the oldest goes
        });
    } catch (const std::exception&) {
        return close(), false;
    }
    uv_udp_recv_start(
        udp_,
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
            auto& room = static_cast<net::Loop*>(handle->loop->data)->read_buffer();
            *buffer = uv_buf_init(room.data(), static_cast<unsigned>(room.size()));
        },
        [](uv_udp_t* handle, ssize_t count, const uv_buf_t* buffer, const sockaddr* from, unsigned) {
            auto* self = static_cast<ClusterTransport*>(handle->data);
            if (!self || count < 0 || !from) return;
            try {
                self->came({buffer->base, static_cast<std::size_t>(count)});
            } catch (const std::exception& wrong) {
                log::error("peers: a datagram broke off: {}", wrong.what());
            }
        });
    return true;
}

void ClusterTransport::listen_later() {
    bind_timer_ = loop_.timers().schedule(loop_.clock().now() + kBindAgain, [this] {
        bind_timer_.reset();
        if (!listen()) return listen_later();
        log::info("peers: {} is ours now", setup_.listen);
        arm();
    });
}

Micros ClusterTransport::steady() const {
    return static_cast<Micros>(uv_hrtime() / 1000);
}

int ClusterTransport::port() const {
    return listener_ ? listener_->port() : -1;
}

void ClusterTransport::came(std::string_view bytes) {
    ++figures_.datagrams_in;
    figures_.bytes_in += bytes.size();
    DecodeError bad{};
    auto numbered = codec_.decode_datagram(bytes, bad);
    if (numbered && numbered->datagram.to != membership_.self().name) {
        bad = DecodeError::wrong_protocol;
        numbered.reset();
    }
    if (numbered && !seen_.accept(numbered->datagram.from, numbered->start, numbered->sequence)) {
        bad = DecodeError::replayed;
        numbered.reset();
    }
    if (!numbered) {
        ++figures_.bad[static_cast<int>(bad)];
        return;
    }
    membership_.receive(steady(), numbered->datagram);
    pump();
}

// What a call of the group has left: messages, changes, an exchange, the next moment.
void ClusterTransport::pump() {
    if (const std::uint64_t wanted = membership_.requested_start()) raise_start(wanted);
    for (const cluster::OutgoingDatagram& out : membership_.take_outgoing()) send(out);
    tell_changes();
    if (const auto with = membership_.take_exchange())
        if (const std::string told = membership_.address_of(*with); !told.empty())
            exchange(reachable_address(told), *with);
    if (membership_.is_displaced() && !std::exchange(said_displaced_, true))
        log::error("peers: another process speaks as {}; this one is silent from now on",
                   membership_.self().name);
    arm();
}

void ClusterTransport::raise_start(std::uint64_t at_least) {
    if (raising_.busy()) return;
    const auto wrong = std::make_shared<std::string>();
    raising_.run([number = number_, at_least, wrong] { *wrong = number.write(at_least); },
                 [this, at_least, wrong] {
                     if (!wrong->empty())
                         return log::error("peers: the start number can't be kept: {}", *wrong);
                     log::warn("peers: {} is known by a later start, going on with {}",
                               membership_.self().name, at_least);
                     membership_.set_start(steady(), at_least);
                     pump();
                 });
}

void ClusterTransport::arm() {
    if (timer_) loop_.timers().cancel(*timer_), timer_.reset();
    if (!on() || gone_) return;
    const Micros wait = std::max<Micros>(0, membership_.due() - steady());
    timer_ = loop_.timers().schedule(loop_.clock().now() + wait, [this] {
        timer_.reset();
        membership_.tick(steady());
        join();
        pump();
    });
}

void ClusterTransport::tell_changes() {
    for (const cluster::MemberChange& change : membership_.take_changes()) {
        const char* from = name_of(change.from);
        const char* to = name_of(change.to);
        if (change.suspectors.empty())
            log::info("group: {} is {} (was {})", change.member, to, from);
        else
            log::info("group: {} is {} (was {}), doubted by {}", change.member, to, from,
                      fmt::join(change.suspectors, ","));
    }
    if (membership_.side() == cluster::PartitionSide::alone) return;
    auto counts = membership_.cluster_size().counts();
    if (counts.empty() || counts == told_) return;
    told_ = std::move(counts);
    counted_(told_);
}

std::string ClusterTransport::reachable_address(const std::string& told) const {
    const auto found = setup_.reach.find(told);
    return found == setup_.reach.end() ? told : found->second;
}

// Danger: what the cap lets go is the least urgent first. Probes and their answers go while any of it is
// left.
void ClusterTransport::send(const cluster::OutgoingDatagram& out) {
    if (!on()) return;
    sockaddr_in to{};
    if (!net::parse_address(reachable_address(out.address), to)) {
        ++figures_.not_sent;
        return;
    }
    SequencedDatagram numbered{out.datagram, membership_.self().incarnation.start, ++sequence_};
    const double left = datagrams_.share(steady());
    if (left < kLeftForNews &&
        (numbered.datagram.records.size() > 1 || numbered.datagram.suspicions.size() > 1)) {
        numbered.datagram.records.resize(1);
        if (!numbered.datagram.suspicions.empty()) numbered.datagram.suspicions.resize(1);
        ++figures_.capped[static_cast<int>(SendPriority::gossip)];
    }
    if (left <= 0 || (out.priority == SendPriority::indirect && left < kLeftForIndirect)) {
        ++figures_.capped[static_cast<int>(out.priority)];
        return;
    }
    std::string bytes = codec_.encode_datagram(numbered);
    const uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
    if (uv_udp_try_send(udp_, &buffer, 1, reinterpret_cast<const sockaddr*>(&to)) < 0) {
        ++figures_.not_sent;
        return;
    }
    datagrams_.spend(bytes.size());
    ++figures_.datagrams_out;
    figures_.bytes_out += bytes.size();
}

// Danger: members that start together can find each other in two circles that know nothing of one another. So
// each seed is called once, one a period, and one by chance for as long as this lives. Without an answer for
// some periods this one is the first there is.
void ClusterTransport::join() {
    const Micros now = steady();
    if (now < next_join_) return;
    if (to_call_.empty()) to_call_ = setup_.seeds, std::shuffle(to_call_.begin(), to_call_.end(), rng_);
    first_round_ = first_round_ && !to_call_.empty();
    const bool settled = joined_ && membership_.member_count() > 1 && !first_round_;
    next_join_ = now + (settled ? std::max(setup_.period, setup_.exchange_every) : setup_.period);
    if (!joined_ && (setup_.seeds.empty() || now - began_ >= kAloneAfter * setup_.period)) {
        joined_ = true;
        membership_.mark_joined(now);
        log::info("group: joined, {} members known", membership_.member_count());
    }
    if (to_call_.empty()) return;
    const std::string seed = std::move(to_call_.back());
    to_call_.pop_back();
    first_round_ = first_round_ && !to_call_.empty();
    exchange(seed, "");
}

void ClusterTransport::exchange(const std::string& address, const std::string& name) {
    sockaddr_in to{};
    if (!net::parse_address(address, to) || exchanges_.size() >= kMostExchanges) return;
    if (joined_ && exchanges_cap_.available(steady()) <= 0) {
        ++figures_.capped[static_cast<int>(SendPriority::state_exchange)];
        return;
    }
    ++figures_.exchanges;
    auto exchange = std::make_unique<Exchange>(*this, true, name);
    exchange->stream = net::Stream::connect(loop_, sockets_, to, *exchange);
    if (!exchange->stream) {
        ++figures_.exchanges_failed;
        return;
    }
    exchanges_.push_back(std::move(exchange));
}

// Danger: called from within the stream's own calls, so it is let go from the loop.
template <typename Owner>
void ClusterTransport::let_go(std::vector<std::unique_ptr<Owner>>& all, Owner& one) {
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& other) { return other.get() == &one; });
    if (found == all.end()) return;
    std::shared_ptr<Owner> last(found->release());
    all.erase(found);
    loop_.timers().schedule(loop_.clock().now(), [last] {});
}

void ClusterTransport::ended(Exchange& exchange, bool done) {
    if (std::exchange(exchange.timed, false)) loop_.timers().cancel(exchange.by);
    if (exchange.ours && !done) ++figures_.exchanges_failed;
    if (exchange.ours && done && !std::exchange(joined_, true)) {
        membership_.mark_joined(steady());
        log::info("group: joined, {} members known", membership_.member_count());
    }
    let_go(exchanges_, exchange);
    if (!gone_) pump();
}

cluster::MemberRecord ClusterTransport::record_of(const std::string& name) const {
    if (name == membership_.self().name) return membership_.self();
    for (const cluster::MemberView& seen : membership_.members())
        if (seen.record.name == name) return seen.record;
    return {};
}

void ClusterTransport::set_software_version(const std::string& version) {
    membership_.set_software_version(steady(), version);
    if (!gone_) pump();
}

void ClusterTransport::leave() {
    if (std::exchange(gone_, true)) return;
    membership_.leave(steady());
    for (const cluster::OutgoingDatagram& out : membership_.take_outgoing()) send(out);
    log::info("group: left");
    close();
}

void ClusterTransport::go_silent() {
    if (std::exchange(gone_, true)) return;
    close();
}

std::string ClusterTransport::as_json() const {
    const Micros now = steady();
    const auto seconds = [&](Micros at) { return static_cast<double>(now - at) / 1e6; };
    Json::Value root;
    const cluster::MemberRecord& self = membership_.self();
    root["name"] = self.name, root["group"] = setup_.group, root["address"] = self.address;
    root["start"] = Json::UInt64{self.incarnation.start},
    root["incarnation"] = Json::UInt64{self.incarnation.refutations};
    root["state"] = gone_ ? "left" : membership_.is_displaced() ? "displaced" : joined_ ? "alive" : "joining";
    root["side"] = name_of(membership_.side());
    root["size"] = Json::UInt64{membership_.member_count()},
    root["reached"] = Json::UInt64{membership_.reachable_count()};
    root["health"] = membership_.local_health();
    root["up_s"] = seconds(began_);
    root["members"] = Json::Value(Json::arrayValue);
    for (const cluster::MemberView& seen : membership_.members()) {
        Json::Value one;
        one["name"] = seen.record.name, one["address"] = seen.record.address;
        one["zone"] = seen.record.zone, one["version"] = seen.record.software_version;
        one["start"] = Json::UInt64{seen.record.incarnation.start};
        one["incarnation"] = Json::UInt64{seen.record.incarnation.refutations};
        one["state"] = name_of(seen.state), one["since_s"] = seconds(seen.since);
        if (seen.last_heard >= 0) one["heard_s"] = seconds(seen.last_heard);
        one["direct"] = seen.directly_reachable;
        one["doubted_by"] = Json::Value(Json::arrayValue);
        for (const std::string& by : seen.suspectors) one["doubted_by"].append(by);
        root["members"].append(one);
    }
    root["counts"] = Json::Value(Json::objectValue);
    for (const auto& [zone, count] : told_) root["counts"][zone] = count;
    Json::Value& counters = root["counters"];
    const cluster::MembershipMetrics& g = membership_.metrics();
    const std::pair<const char*, std::uint64_t> all[] = {{"datagrams_out", figures_.datagrams_out},
                                                         {"datagrams_in", figures_.datagrams_in},
                                                         {"bytes_out", figures_.bytes_out},
                                                         {"bytes_in", figures_.bytes_in},
                                                         {"not_sent", figures_.not_sent},
                                                         {"exchanges", figures_.exchanges},
                                                         {"exchanges_same", figures_.exchanges_same},
                                                         {"exchanges_failed", figures_.exchanges_failed},
                                                         {"capped_probe", figures_.capped[0]},
                                                         {"capped_indirect", figures_.capped[1]},
                                                         {"capped_news", figures_.capped[2]},
                                                         {"capped_exchange", figures_.capped[3]},
                                                         {"probes", g.pings},
                                                         {"probes_failed", g.failed_pings},
                                                         {"probes_indirect", g.indirect_pings},
                                                         {"refuted", g.refutations},
                                                         {"pauses", g.pauses},
                                                         {"deaths", g.deaths},
                                                         {"revived", g.revivals},
                                                         {"merged", g.merged_states},
                                                         {"refused", g.rejected}};
    for (const auto& [name, value] : all) counters[name] = Json::UInt64{value};
    for (int i = 0; i < kDecodeErrorCount; ++i)
        counters[std::string("bad_") + name_of(static_cast<DecodeError>(i))] = Json::UInt64{figures_.bad[i]};
    return base::to_json_line(root);
}

}  // namespace sumackeel::cluster_transport
