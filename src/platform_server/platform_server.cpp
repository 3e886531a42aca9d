#include "platform_server/platform_server.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>
#include <vector>

#include "base/log.h"

namespace sumackeel::platform_server {

using base::Handle;

namespace {

constexpr std::size_t kMostOpen = 32;         // on one connection
constexpr std::size_t kMostUnsent = 4 << 20;  // to one client, before nothing more is read from it
constexpr std::size_t kLongestBody = 48'000;
// What can't be used is owed an end within 3 s of connecting; an honest request comes in one go.
constexpr base::Micros kRequestIn = 2'000'000;
constexpr base::Micros kIdle = 5'000'000;     // clients close after 4 s themselves
constexpr base::Micros kReading = 5'000'000;  // an answer of 240 KB takes 0.8 s at the usual pace
constexpr base::Micros kSettle = 5'000;       // us; a client reacts to a response within it
constexpr int kMostParts = 1'000'000;
constexpr double kMostNeed = 1e6;                  // KB; an object has a small part of this
constexpr base::Micros kLongestWait = 60'000'000;  // a time-out beyond this is no sound figure

std::string text(const std::map<std::string, std::string>& fields, const char* name) {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string{} : found->second;
}

// A figure within its range; false: it is none. One that is absent leaves `into` as it is.
template <typename T>
bool figure(const std::map<std::string, std::string>& fields, const char* name, T least, T most, T& into) {
    const auto found = fields.find(name);
    if (found == fields.end()) return true;
    const std::string& text = found->second;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), into);
    return read.ec == std::errc{} && read.ptr == text.data() + text.size() && into >= least && into <= most;
}

// Names of requests and objects. They go on into the line protocol, where a space, a comma or a line's end
// would make another request, and a cache that can't read one closes on all that is open there.
bool hex_name(const std::string& text) {
    return text.size() == 16 &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c); });
}

bool plain(const std::string& text) {
    return text.size() <= 64 &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c); });
}

}  // namespace

struct PlatformServer::Client : net::ClientConnection {
    PlatformServer& front;
    FrameReader reader;
    struct OpenCall {
        Handle ours, cores;    // our entry and the core's request
        bool held = false;     // to be refused by a drain: the core does not know it
        bool hurried = false;  // to be answered by the drain's own time
    };
    std::map<std::int32_t, OpenCall> open;  // by seqid
    std::int32_t last_seqid = 0;
    bool has_received_frame = false;  // a whole frame has come
    bool reading = false;             // within on_data(): further frames may follow
    bool overlaps = false;            // a request has come while another was open
    base::Micros came = 0;            // when the last byte of what is being read came

    explicit Client(PlatformServer& owner) : front(owner) {}

    void on_data(net::Stream&, std::string_view bytes) override {
        came = received_at();
        if (peer_has_left()) return front.connection_manager_.close(*this);
        reading = true;
        reader.read(bytes, [this](std::string_view frame) {
            has_received_frame = true;
            front.call(*this, decode_call(frame));
            return stream() != nullptr;
        });
        reading = false;
        front.refuse_held(*this);
        update_state();
    }
    void on_write_drained(net::Stream&) override { update_state(true); }
    void update_state(bool has_read = false) {
        if (!stream()) return;
        // Danger: what is not read is not heard, a cancellation and an end of the connection among it. So as
        // long as requests are open reading goes on, up to a further bound: refusals and answers to `alive`
        // add up too.
        stream()->pause(stream()->unsent_bytes() > (open.empty() ? kMostUnsent : 2 * kMostUnsent));
        const net::ConnectionState doing = !open.empty()                  ? net::ConnectionState::processing
                                           : stream()->unsent_bytes() > 0 ? net::ConnectionState::flushing
                                           : !has_received_frame ? net::ConnectionState::awaiting_request
                                           : reader.partial()    ? net::ConnectionState::receiving
                                                                 : net::ConnectionState::idle;
        front.connection_manager_.set_state(*this, doing, has_read);
    }
    bool overlaps_requests() const override { return overlaps; }
    void on_closed() override {
        for (const auto& [seqid, one] : open) {
            front.open_.remove(one.ours);
            front.core_.cancel(one.cores);
        }
        open.clear();
    }
    // Its client waits for each response before it sends, and nothing is open behind this one. A client whose
    // requests overlap may be sending already, for it had an earlier response just now.
    bool waits_for_last_response() const {
        return open.empty() && !overlaps && !reading && !reader.partial();
    }
    bool waits_for_core() const {
        return std::ranges::any_of(open, [](const auto& entry) { return !entry.second.held; });
    }
};

PlatformServer::PlatformServer(net::Loop& loop, core::Core& core, const config::Site& site,
                               const net::ListenAddress& listen, Limits limits)
    : core_(core),
      site_(site),
      limits_(limits),
      loop_(loop),
      connection_manager_(loop, listen, limits.connections,
                          {.request = kRequestIn, .idle = kIdle, .write = kReading, .settle = kSettle},
                          [this] { return std::make_unique<Client>(*this); }) {}

// What no cache could use is turned away here: sent on, it would count against the caches that can't use it.
bool PlatformServer::read_ask(ThriftCall& call, core::Request& ask) const {
    const auto kind = text(call.fields, "kind");
    const auto place = std::find(site_.classes.begin(), site_.classes.end(), kind);
    if (place == site_.classes.end()) return false;
    ask.class_index = static_cast<int>(place - site_.classes.begin());
    ask.class_name = kind;
    ask.id = text(call.fields, "req");
    ask.object = text(call.fields, "subject");
    ask.client_etag = text(call.fields, "seen");
    // The origin drops repeats by this key alone. Sent on without one a request could run twice.
    const bool keyed =
        site_.settings.classes[ask.class_index].retry_safety == routing::RetrySafety::with_idempotency_key;
    if (keyed) ask.idempotency_key = text(call.fields, "opkey");
    if (keyed && (ask.idempotency_key.empty() || !plain(ask.idempotency_key))) return false;
    const bool kept = !site_.settings.classes[ask.class_index].uncacheable;
    if (!hex_name(ask.id) || !plain(ask.client_etag) || call.body.size() > kLongestBody) return false;
    if (!hex_name(ask.object) && (kept || !ask.object.empty())) return false;
    std::int64_t timeout_ms = 0;
    const bool sound = figure<std::int64_t>(call.fields, "timeout", 1, kLongestWait / 1000, timeout_ms) &&
                       figure(call.fields, "slice", 0, kMostParts, ask.part) &&
                       figure(call.fields, "set", 0, 255, ask.purge_group) &&
                       figure(call.fields, "need", 0.0, kMostNeed, ask.size_kb);
    if (!sound || timeout_ms == 0) return false;
    ask.time_left = timeout_ms * 1000;
    ask.body = std::move(call.body);
    return true;
}

void PlatformServer::call(Client& client, ThriftCall call) {
    switch (call.method) {
        case Method::alive:
            return client.stream()->write(encode_alive(call.seqid, ready_));
        case Method::unknown:
            return client.stream()->write(encode_unknown_method(call.name, call.seqid));
        case Method::cancel: {
            const auto found = client.open.find(call.cancelled);
            if (found == client.open.end()) return;  // answered already
            const Client::OpenCall one = found->second;
            client.open.erase(found);
            open_.remove(one.ours);
            return core_.cancel(one.cores);
        }
        case Method::dispatch:
            break;
    }
    if (call.seqid <= client.last_seqid) throw FrameError("sequence numbers don't rise");
    client.last_seqid = call.seqid;
    if (!client.open.empty()) client.overlaps = true;
    const base::Micros now = loop_.clock().now();
    const bool refuses = connection_manager_.drain().rejects_new_requests(now);
    if (refuses) hurry(client, now);
    core::Request ask;
    if (!read_ask(call, ask) || core_.is_open(ask.id))
        return client.stream()->write(encode_response(call.seqid, {}));
    const bool unread = connection_manager_.unsent_bytes() > limits_.unsent_bytes;
    if (unread) connection_manager_.evict_slowest_reader(client);
    const bool crowded =
        client.open.size() >= kMostOpen || unread || client.stream()->unsent_bytes() > kMostUnsent ||
        core_.open_requests() >= static_cast<std::size_t>(std::max(1, site_.settings.max_in_flight));
    ask.received_at = client.came;  // from then on the time runs
    if (crowded || ask.received_at + ask.time_left <= now)
        return client.stream()->write(
            encode_response(call.seqid, {.status = core::ResponseStatus::rejected}));
    if (refuses) return turn_away(client, call.seqid, ask.received_at + ask.time_left - now, now);
    const Handle ours = open_.add({client.id(), call.seqid});
    const Handle cores = core_.submit(std::move(ask), *this, ours.number());
    client.open[call.seqid] = {ours, cores};
}

// What is open on a connection on which requests go on coming late in a drain: it may not hold up the moment
// with nothing open beyond the drain's own time.
void PlatformServer::hurry(Client& client, base::Micros now) {
    for (auto& [seqid, one] : client.open) {
        if (one.held || std::exchange(one.hurried, true)) continue;
        ++drain_metrics_.hurried;
        core_.set_response_deadline(one.cores, connection_manager_.drain().response_deadline(now));
    }
}

// A request that comes late in a drain is refused, so that its connection gets a moment with nothing open.
void PlatformServer::turn_away(Client& client, std::int32_t seqid, base::Micros left, base::Micros now) {
    ++drain_metrics_.rejected;
    if (!client.waits_for_core())
        return client.stream()->write(encode_response(seqid, {.status = core::ResponseStatus::rejected}));
    ++drain_metrics_.held;
    const Handle ours = open_.add({client.id(), seqid});
    client.open[seqid] = {.ours = ours, .cores = {}, .held = true};
    log::debug("connection={} seqid={} held by the drain", client.id(), seqid);
    loop_.timers().schedule(connection_manager_.drain().rejection_deadline(now, left),
                            [this, ours, alive = std::weak_ptr<bool>(alive_)] {
                                if (!alive.expired())
                                    on_response(ours.number(), {.status = core::ResponseStatus::rejected});
                            });
}

// Once nothing else is open on their connection.
void PlatformServer::refuse_held(Client& client) {
    if (!client.stream() || client.waits_for_core()) return;
    for (const auto& [seqid, one] : std::exchange(client.open, {})) {
        open_.remove(one.ours);
        client.stream()->write(encode_response(seqid, {.status = core::ResponseStatus::rejected}));
    }
}

void PlatformServer::set_draining(bool on, const admin::DrainSchedule& drain) {
    const bool over = connection_manager_.drain().is_active() && !drain.is_active();
    connection_manager_.set_drain(drain);
    connection_manager_.set_draining(on);
    if (over) end_drain();
}

// What was held is refused, and what was hurried has its own time again.
void PlatformServer::end_drain() {
    std::vector<std::uint64_t> held;
    open_.for_each([&](Handle ours, const Open& open) {
        auto* client = static_cast<Client*>(connection_manager_.find(open.client));
        if (!client) return;
        const auto found = client->open.find(open.seqid);
        if (found == client->open.end()) return;
        if (found->second.held) return held.push_back(ours.number());
        found->second.hurried = false;
        core_.set_response_deadline(found->second.cores, std::nullopt);
    });
    for (const std::uint64_t ours : held) on_response(ours, {.status = core::ResponseStatus::rejected});
}

void PlatformServer::on_response(std::uint64_t cookie, core::Response reply) {
    const Handle ours = Handle::of(cookie);
    const Open* open = open_.find(ours);
    if (!open) return;
    const auto [number, seqid] = *open;
    open_.remove(ours);
    auto* found = static_cast<Client*>(connection_manager_.find(number));
    if (!found) return;
    Client& client = *found;
    client.open.erase(seqid);
    if (client.waits_for_last_response())
        connection_manager_.write_last_response(client, encode_response(seqid, reply));
    else
        client.stream()->write(encode_response(seqid, reply));
    refuse_held(client);
    client.update_state();
}

}  // namespace sumackeel::platform_server
