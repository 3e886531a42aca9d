#include "peers/peers.h"

#include <json/json.h>

#include <algorithm>
#include <stdexcept>

#include "base/finished_within.h"
#include "base/json_line.h"
#include "base/log.h"
#include "base/system_error.h"

namespace sumackeel::peers {

using base::Micros;
using group::Urgency;

namespace {

constexpr std::size_t kMostExchanges = 32;  // under way at a time, of others' making and our own
constexpr std::size_t kMostAskings = 64;    // questions of ours under way; beyond it they fail at once
constexpr Micros kExchangePatience = 3'000'000;
constexpr Micros kBindAgain = 200'000;   // while the process before this one holds the address
constexpr int kAloneAfter = 5;           // periods without an answer from any seed
constexpr double kExchangeShare = 0.25;  // of the cap, for exchanges; the rest is for datagrams
// Of the datagrams' cap that must be left for these; probes and their answers go down to nothing.
constexpr double kLeftForIndirect = 0.1, kLeftForNews = 0.3;

group::Options options_of(const config::Peers& setup) {
    group::Options options;
    options.period = setup.period;
    options.probe_timeout = setup.probe_timeout;
    options.indirect = setup.indirect;
    options.votes = setup.votes;
    options.forget = setup.forget;
    options.exchange_every = setup.exchange_every;
    options.settle = setup.settle;
    return options;
}

group::Word first_word(const config::Peers& setup, const std::string& zone, const std::string& version,
                       std::uint64_t start, std::uint64_t life) {
    return {.name = setup.name,
            .address = setup.advertise.empty() ? setup.listen : setup.advertise,
            .zone = zone,
            .version = version,
            .stamp = {start, 0},
            .life = life,
            .phase = group::Phase::joining};
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
    start.write_fault = base::retry_folder_at_start([&] { return on_disk.write(start.number); });
    return start;
}

// The number of this start, on disk before anything is said under it. Throws where that can't be.
std::uint64_t next_start(const StartNumber& on_disk) {
    const auto start =
        base::finished_within(2 * base::kFolderAnswersWithin, [on_disk] { return count_start(on_disk); });
    if (!start) throw std::runtime_error("peers: the start number can't be kept: its folder does not answer");
    if (!start->read_fault.empty()) log::error("peers: {}", start->read_fault);
    if (!start->write_fault.empty())
        throw std::runtime_error("peers: the start number can't be kept: " + start->write_fault);
    return start->number;
}

const char* name_of(group::Side side) {
    return side == group::Side::alone ? "alone" : side == group::Side::majority ? "majority" : "minority";
}

}  // namespace

// One exchange: hello with a digest; `same`, or a state that is answered with a state.
struct Peers::Exchange : net::Stream::Owner {
    Peers& peers;
    net::Stream* stream = nullptr;
    bool ours, over = false, timed = true;
    std::string name, in;  // name: with whom, where that is known
    Call asked;            // a question that came in place of an exchange
    std::uint64_t number = 0;
    base::Deadlines::Key by;

    Exchange(Peers& p, bool o, std::string n) : peers(p), ours(o), name(std::move(n)) {
        by = peers.loop_.deadlines().set(peers.loop_.clock().now() + kExchangePatience,
                                         [this] { end(false); });
    }
    // Danger: one that has ended may outlive its owner, and touches nothing of it any more.
    ~Exchange() override {
        if (timed) peers.loop_.deadlines().drop(by);
        if (stream) stream->close();
    }

    void say(Step step) {
        Frame frame{.step = step, .to = name, .digest = peers.group_.digest(), .whole = {}};
        if (step == Step::state)
            frame.whole = peers.group_.whole();
        else
            frame.whole.from = peers.group_.self().name;
        std::string bytes = peers.codec_.frame(frame);
        peers.figures_.bytes_out += bytes.size();
        peers.exchanges_cap_.spend(bytes.size());
        stream->write(std::move(bytes));
    }

    void opened(net::Stream&) override { say(Step::hello); }

    void received(net::Stream&, std::string_view bytes) override {
        if (over) return;
        peers.figures_.bytes_in += bytes.size();
        in += bytes;
        while (!over) {
            bool oversized = false;
            const auto whole = take_frame(in, oversized);
            if (!whole && !oversized) return;
            if (whole && !ours && Codec::is_call(*whole)) return take_call(*whole);
            Bad bad = Bad::oversized;
            const auto frame = whole ? peers.codec_.read_frame(*whole, bad) : std::nullopt;
            if (!frame) {
                ++peers.figures_.bad[static_cast<int>(bad)];
                return end(false);
            }
            take(*frame);
        }
    }

    // One question a stream: the answer goes back on it, and it is closed.
    void take_call(const std::string& bytes) {
        Bad bad{};
        const auto call = peers.codec_.read_call(bytes, bad);
        const std::string& self = peers.group_.self().name;
        if (call && (call->to != self || call->answer))
            bad = Bad::foreign;
        else if (call && !peers.calls_seen_.fresh(call->from, call->start, call->sequence))
            bad = Bad::replayed;
        else if (const auto take = call ? peers.takes_.find(call->verb) : peers.takes_.end();
                 take != peers.takes_.end()) {
            asked = *call;
            const std::weak_ptr<bool> alive = peers.alive_;
            Peers* owner = &peers;
            const std::uint64_t me = number = ++peers.calls_;
            return take->second(call->from, call->verb, call->body, [alive, owner, me](std::string answer) {
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
        Call back{.from = peers.group_.self().name,
                  .to = asked.from,
                  .start = asked.start,
                  .sequence = asked.sequence,
                  .answer = true,
                  .verb = asked.verb,
                  .body = std::move(body)};
        std::string bytes = peers.codec_.call(back);
        peers.figures_.bytes_out += bytes.size();
        stream->write(std::move(bytes));
        finish();
    }

    void take(const Frame& frame) {
        const std::string& self = peers.group_.self().name;
        if (!frame.to.empty() && frame.to != self) {
            ++peers.figures_.bad[static_cast<int>(Bad::foreign)];
            return end(false);
        }
        switch (frame.step) {
            case Step::hello:
                if (ours) return end(false);
                name = frame.whole.from;
                if (frame.digest == peers.group_.digest()) {
                    ++peers.figures_.exchanges_same;
                    say(Step::same);
                    return finish();
                }
                return say(Step::state);
            case Step::same:
                return end(ours);
            case Step::state:
                peers.group_.merge(peers.steady(), frame.whole);
                if (!ours) return end(true);
                say(Step::state);
                return finish();
        }
    }

    void finish() {  // what is unsent is sent first
        over = true;
        stream->finish();
    }
    void end(bool done) {
        over = true;
        if (stream) std::exchange(stream, nullptr)->close();
        peers.ended(*this, done);
    }
    void gone(net::Stream&, net::Gone how) override {
        stream = nullptr;
        peers.ended(*this, over && how == net::Gone::ended);
    }
};

// One question of ours: a stream, the answer, or the end of patience.
struct Peers::Asking : net::Stream::Owner {
    Peers& peers;
    net::Stream* stream = nullptr;
    Call call;
    std::string in;
    Done done;
    base::Deadlines::Key by;
    bool timed = true;

    Asking(Peers& p, Call c, base::Micros patience, Done d)
        : peers(p), call(std::move(c)), done(std::move(d)) {
        by = peers.loop_.deadlines().set(peers.loop_.clock().now() + patience, [this] { end({}); });
    }
    ~Asking() override {
        if (timed) peers.loop_.deadlines().drop(by);
        if (stream) stream->close();
    }
    void opened(net::Stream&) override {
        std::string bytes = peers.codec_.call(call);
        peers.figures_.bytes_out += bytes.size();
        stream->write(std::move(bytes));
    }
    void received(net::Stream&, std::string_view bytes) override {
        peers.figures_.bytes_in += bytes.size();
        in += bytes;
        bool oversized = false;
        const auto whole = take_frame(in, oversized);
        if (!whole && !oversized) return;
        Bad bad = Bad::oversized;
        const auto back = whole ? peers.codec_.read_call(*whole, bad) : std::nullopt;
        const bool ours = back && back->answer && back->from == call.to && back->to == call.from &&
                          back->start == call.start && back->sequence == call.sequence;
        if (!ours) ++peers.figures_.bad[static_cast<int>(back ? Bad::foreign : bad)];
        end(ours ? std::optional(back->body) : std::nullopt);
    }
    void gone(net::Stream&, net::Gone) override {
        stream = nullptr;
        end({});
    }
    void end(std::optional<std::string> answer) {
        if (!std::exchange(timed, false)) return;
        peers.loop_.deadlines().drop(by);
        if (stream) std::exchange(stream, nullptr)->close();
        peers.let_go(peers.askings_, *this);
        if (const Done tell = std::exchange(done, nullptr)) tell(std::move(answer));
    }
};

void Peers::call(const std::string& to, const std::string& verb, std::string body, base::Micros patience,
                 Done done) {
    const std::string told = group_.address_of(to);
    sockaddr_in at{};
    auto asking = std::make_unique<Asking>(*this,
                                           Call{.from = group_.self().name,
                                                .to = to,
                                                .start = group_.self().stamp.start,
                                                .sequence = ++calls_,
                                                .answer = false,
                                                .verb = verb,
                                                .body = std::move(body)},
                                           patience, std::move(done));
    if (on() && !told.empty() && net::read_address(reached_at(told), at) && askings_.size() < kMostAskings)
        asking->stream = net::Stream::connect(loop_, sockets_, at, *asking);
    if (!asking->stream) {  // told from the loop all the same, at once
        loop_.deadlines().drop(asking->by);
        asking->by = loop_.deadlines().set(loop_.clock().now(), [one = asking.get()] { one->end({}); });
    }
    askings_.push_back(std::move(asking));
}

Peers::Peers(net::Loop& loop, net::Budget& sockets, const config::Peers& setup, const std::string& zone,
             const std::string& version, std::uint64_t seed, std::map<std::string, int> counted_at_first,
             bool wait_for_address, Counted counted)
    : loop_(loop),
      sockets_(sockets),
      setup_(setup),
      codec_(setup.group, load_keys(setup.key_file)),
      number_(setup.folder),
      raising_(loop),
      rng_(seed ^ 0x9e3779b97f4a7c15ULL),
      group_(options_of(setup), first_word(setup, zone, version, next_start(number_), new_life()), rng_(),
             steady()),
      counted_(std::move(counted)),
      told_(counted_at_first),
      datagrams_(setup.bytes_per_s * (1 - kExchangeShare)),
      exchanges_cap_(setup.bytes_per_s * kExchangeShare) {
    group_.count_from(counted_at_first);
    began_ = steady();
    if (!listen()) {
        if (!wait_for_address) {
            close();
            throw std::runtime_error("peers: can't listen on " + setup_.listen);
        }
        log::info("peers: {} is held, waiting for the process before this one", setup_.listen);
        listen_later();
    }
    log::info("peers: {} of group {}, start {}", setup_.name, setup_.group, group_.self().stamp.start);
    arm();
}

Peers::~Peers() {
    close();
}

void Peers::close() {
    for (auto* key : {&timer_, &bind_timer_})
        if (*key) loop_.deadlines().drop(**key), key->reset();
    exchanges_.clear();
    askings_.clear();
    listener_.reset();
    if (!udp_) return;
    udp_->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(udp_),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_udp_t*>(handle); });
    udp_ = nullptr;
}

bool Peers::listen() {
    sockaddr_in at{};
    if (!net::read_address(setup_.listen, at))
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
            auto& room = static_cast<net::Loop*>(handle->loop->data)->read_room();
            *buffer = uv_buf_init(room.data(), static_cast<unsigned>(room.size()));
        },
        [](uv_udp_t* handle, ssize_t count, const uv_buf_t* buffer, const sockaddr* from, unsigned) {
            auto* self = static_cast<Peers*>(handle->data);
            if (!self || count < 0 || !from) return;
            try {
                self->came({buffer->base, static_cast<std::size_t>(count)});
            } catch (const std::exception& wrong) {
                log::error("peers: a datagram broke off: {}", wrong.what());
            }
        });
    return true;
}

void Peers::listen_later() {
    bind_timer_ = loop_.deadlines().set(loop_.clock().now() + kBindAgain, [this] {
        bind_timer_.reset();
        if (!listen()) return listen_later();
        log::info("peers: {} is ours now", setup_.listen);
        arm();
    });
}

Micros Peers::steady() const {
    return static_cast<Micros>(uv_hrtime() / 1000);
}

int Peers::port() const {
    return listener_ ? listener_->port() : -1;
}

void Peers::came(std::string_view bytes) {
    ++figures_.datagrams_in;
    figures_.bytes_in += bytes.size();
    Bad bad{};
    auto numbered = codec_.read_datagram(bytes, bad);
    if (numbered && numbered->datagram.to != group_.self().name) {
        bad = Bad::foreign;
        numbered.reset();
    }
    if (numbered && !seen_.fresh(numbered->datagram.from, numbered->start, numbered->sequence)) {
        bad = Bad::replayed;
        numbered.reset();
    }
    if (!numbered) {
        ++figures_.bad[static_cast<int>(bad)];
        return;
    }
    group_.receive(steady(), numbered->datagram);
    pump();
}

// What a call of the group has left: messages, changes, an exchange, the next moment.
void Peers::pump() {
    if (const std::uint64_t wanted = group_.wants_start()) raise_start(wanted);
    for (const group::Outgoing& out : group_.take_out()) send(out);
    tell_changes();
    if (const auto with = group_.take_exchange())
        if (const std::string told = group_.address_of(*with); !told.empty())
            exchange(reached_at(told), *with);
    if (group_.displaced() && !std::exchange(said_displaced_, true))
        log::error("peers: another process speaks as {}; this one is silent from now on", group_.self().name);
    arm();
}

void Peers::raise_start(std::uint64_t at_least) {
    if (raising_.busy()) return;
    const auto wrong = std::make_shared<std::string>();
    raising_.run([number = number_, at_least, wrong] { *wrong = number.write(at_least); },
                 [this, at_least, wrong] {
                     if (!wrong->empty())
                         return log::error("peers: the start number can't be kept: {}", *wrong);
                     log::warn("peers: {} is known by a later start, going on with {}", group_.self().name,
                               at_least);
                     group_.restarted(steady(), at_least);
                     pump();
                 });
}

void Peers::arm() {
    if (timer_) loop_.deadlines().drop(*timer_), timer_.reset();
    if (!on() || gone_) return;
    const Micros wait = std::max<Micros>(0, group_.due() - steady());
    timer_ = loop_.deadlines().set(loop_.clock().now() + wait, [this] {
        timer_.reset();
        group_.tick(steady());
        join();
        pump();
    });
}

void Peers::tell_changes() {
    for (const group::Change& change : group_.take_changes()) {
        const char* from = name_of(change.from);
        const char* to = name_of(change.to);
        if (change.doubters.empty())
            log::info("group: {} is {} (was {})", change.member, to, from);
        else
            log::info("group: {} is {} (was {}), doubted by {}", change.member, to, from,
                      fmt::join(change.doubters, ","));
    }
    if (group_.side() == group::Side::alone) return;
    auto counts = group_.share().counts();
    if (counts.empty() || counts == told_) return;
    told_ = std::move(counts);
    counted_(told_);
}

std::string Peers::reached_at(const std::string& told) const {
    const auto found = setup_.reach.find(told);
    return found == setup_.reach.end() ? told : found->second;
}

// Danger: what the cap lets go is the least urgent first. Probes and their answers go while any of it is
// left.
void Peers::send(const group::Outgoing& out) {
    if (!on()) return;
    sockaddr_in to{};
    if (!net::read_address(reached_at(out.address), to)) {
        ++figures_.not_sent;
        return;
    }
    Numbered numbered{out.datagram, group_.self().stamp.start, ++sequence_};
    const double left = datagrams_.share(steady());
    if (left < kLeftForNews && (numbered.datagram.words.size() > 1 || numbered.datagram.doubts.size() > 1)) {
        numbered.datagram.words.resize(1);
        if (!numbered.datagram.doubts.empty()) numbered.datagram.doubts.resize(1);
        ++figures_.capped[static_cast<int>(Urgency::news)];
    }
    if (left <= 0 || (out.urgency == Urgency::indirect && left < kLeftForIndirect)) {
        ++figures_.capped[static_cast<int>(out.urgency)];
        return;
    }
    std::string bytes = codec_.datagram(numbered);
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
void Peers::join() {
    const Micros now = steady();
    if (now < next_join_) return;
    if (to_call_.empty()) to_call_ = setup_.seeds, std::shuffle(to_call_.begin(), to_call_.end(), rng_);
    first_round_ = first_round_ && !to_call_.empty();
    const bool settled = joined_ && group_.size() > 1 && !first_round_;
    next_join_ = now + (settled ? std::max(setup_.period, setup_.exchange_every) : setup_.period);
    if (!joined_ && (setup_.seeds.empty() || now - began_ >= kAloneAfter * setup_.period)) {
        joined_ = true;
        group_.joined(now);
        log::info("group: joined, {} members known", group_.size());
    }
    if (to_call_.empty()) return;
    const std::string seed = std::move(to_call_.back());
    to_call_.pop_back();
    first_round_ = first_round_ && !to_call_.empty();
    exchange(seed, "");
}

void Peers::exchange(const std::string& address, const std::string& name) {
    sockaddr_in to{};
    if (!net::read_address(address, to) || exchanges_.size() >= kMostExchanges) return;
    if (joined_ && exchanges_cap_.left(steady()) <= 0) {
        ++figures_.capped[static_cast<int>(Urgency::exchange)];
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
void Peers::let_go(std::vector<std::unique_ptr<Owner>>& all, Owner& one) {
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& other) { return other.get() == &one; });
    if (found == all.end()) return;
    std::shared_ptr<Owner> last(found->release());
    all.erase(found);
    loop_.deadlines().set(loop_.clock().now(), [last] {});
}

void Peers::ended(Exchange& exchange, bool done) {
    if (std::exchange(exchange.timed, false)) loop_.deadlines().drop(exchange.by);
    if (exchange.ours && !done) ++figures_.exchanges_failed;
    if (exchange.ours && done && !std::exchange(joined_, true)) {
        group_.joined(steady());
        log::info("group: joined, {} members known", group_.size());
    }
    let_go(exchanges_, exchange);
    if (!gone_) pump();
}

group::Word Peers::word_of(const std::string& name) const {
    if (name == group_.self().name) return group_.self();
    for (const group::Seen& seen : group_.seen())
        if (seen.word.name == name) return seen.word;
    return {};
}

void Peers::runs(const std::string& version) {
    group_.runs(steady(), version);
    if (!gone_) pump();
}

void Peers::leave() {
    if (std::exchange(gone_, true)) return;
    group_.leave(steady());
    for (const group::Outgoing& out : group_.take_out()) send(out);
    log::info("group: left");
    close();
}

void Peers::silent() {
    if (std::exchange(gone_, true)) return;
    close();
}

std::string Peers::as_json() const {
    const Micros now = steady();
    const auto seconds = [&](Micros at) { return static_cast<double>(now - at) / 1e6; };
    Json::Value root;
    const group::Word& self = group_.self();
    root["name"] = self.name, root["group"] = setup_.group, root["address"] = self.address;
    root["start"] = Json::UInt64{self.stamp.start},
    root["incarnation"] = Json::UInt64{self.stamp.incarnation};
    root["state"] = gone_ ? "left" : group_.displaced() ? "displaced" : joined_ ? "alive" : "joining";
    root["side"] = name_of(group_.side());
    root["size"] = Json::UInt64{group_.size()}, root["reached"] = Json::UInt64{group_.reached()};
    root["health"] = group_.health();
    root["up_s"] = seconds(began_);
    root["members"] = Json::Value(Json::arrayValue);
    for (const group::Seen& seen : group_.seen()) {
        Json::Value one;
        one["name"] = seen.word.name, one["address"] = seen.word.address;
        one["zone"] = seen.word.zone, one["version"] = seen.word.version;
        one["start"] = Json::UInt64{seen.word.stamp.start};
        one["incarnation"] = Json::UInt64{seen.word.stamp.incarnation};
        one["state"] = name_of(seen.state), one["since_s"] = seconds(seen.since);
        if (seen.heard >= 0) one["heard_s"] = seconds(seen.heard);
        one["direct"] = seen.direct;
        one["doubted_by"] = Json::Value(Json::arrayValue);
        for (const std::string& by : seen.doubters) one["doubted_by"].append(by);
        root["members"].append(one);
    }
    root["counts"] = Json::Value(Json::objectValue);
    for (const auto& [zone, count] : told_) root["counts"][zone] = count;
    Json::Value& counters = root["counters"];
    const group::Figures& g = group_.figures();
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
                                                         {"probes", g.probes},
                                                         {"probes_failed", g.failed},
                                                         {"probes_indirect", g.indirect},
                                                         {"refuted", g.refuted},
                                                         {"pauses", g.pauses},
                                                         {"deaths", g.deaths},
                                                         {"revived", g.revived},
                                                         {"merged", g.merged},
                                                         {"refused", g.refused}};
    for (const auto& [name, value] : all) counters[name] = Json::UInt64{value};
    for (int i = 0; i < kBads; ++i)
        counters[std::string("bad_") + name_of(static_cast<Bad>(i))] = Json::UInt64{figures_.bad[i]};
    return base::json_line(root);
}

}  // namespace sumackeel::peers
