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

constexpr std::size_t kMaxOpenRequests = 32;      // per connection
constexpr std::size_t kMaxWriteMemory = 4 << 20;  // per connection; beyond it, reading pauses
// The same while responses take more memory than they may over all connections.
constexpr std::size_t kMaxWriteMemoryOverBudget = 64 << 10;
constexpr std::size_t kMaxBodyBytes = 48'000;
// A connection that sends nothing usable has to be closed within 3 s of connecting. A regular client sends a
// request at once.
constexpr base::Micros kRequestTimeout = 2'000'000;
constexpr base::Micros kIdleTimeout = 5'000'000;   // clients close after 4 s themselves
constexpr base::Micros kWriteTimeout = 5'000'000;  // a response of 240 KB takes 0.8 s at the usual rate
constexpr base::Micros kSettleTime = 5'000;        // us; a client reacts to a response within this time
constexpr int kShareForFurtherClients = 8;         // one part in so many
constexpr base::Micros kRetryAfterMemoryShortage = 200'000;  // us
constexpr int kMaxPart = 1'000'000;
constexpr double kMaxSizeKb = 1e6;                      // KB; far above the size of any object
constexpr base::Micros kMaxClientTimeout = 60'000'000;  // longer time-outs are invalid

std::string get_field(const std::map<std::string, std::string>& fields, const char* name) {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string{} : found->second;
}

// False: not a number, or out of range. An absent field leaves `into` unchanged.
template <typename T>
bool read_number(const std::map<std::string, std::string>& fields, const char* name, T min, T max, T& into) {
    const auto found = fields.find(name);
    if (found == fields.end()) return true;
    const std::string& text = found->second;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), into);
    return read.ec == std::errc{} && read.ptr == text.data() + text.size() && into >= min && into <= max;
}

// Ids of requests and objects. They are written to the line protocol of the pop caches, where a space, a
// comma or a line break would change the request, and a cache closes a connection with an invalid request,
// which fails all requests open on it.
bool is_hex_id(const std::string& text) {
    return text.size() == 16 &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c); });
}

bool is_alphanumeric(const std::string& text) {
    return text.size() <= 64 &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c); });
}

}  // namespace

struct PlatformServer::Client : net::ClientConnection {
    PlatformServer& server;
    FrameReader reader;
    struct OpenCall {
        Handle entry, core_request;       // in open_requests_, and in the core
        std::size_t memory = 0;           // of the request and its expected response
        bool rejection_pending = false;   // delayed rejection by a drain: not submitted to the core
        bool has_drain_deadline = false;  // has the drain's response deadline
    };
    std::map<std::int32_t, OpenCall> open_calls;  // by seqid
    std::int32_t last_seqid = 0;
    bool has_received_frame = false;  // a complete one
    bool processing_input = false;    // within on_data(): further frames may follow
    base::MemoryCharge partial_memory;
    bool has_overlapped = false;    // a request arrived while another was open
    base::Micros last_byte_at = 0;  // when the last byte of the frame being read arrived

    explicit Client(PlatformServer& owner)
        : server(owner), partial_memory(owner.loop_.memory(), base::MemoryHolder::partial_requests) {}

    void on_data(net::Stream&, std::string_view bytes) override {
        last_byte_at = received_at();
        if (peer_has_left()) return server.connection_manager_.close(*this);
        processing_input = true;
        auto progress = net::Progress::none;
        if (server.is_over_budget()) server.connection_manager_.evict_slowest_reader(*this);
        const auto on_frame = [this, &progress](std::string_view frame) {
            has_received_frame = true;
            progress = net::Progress::request_complete;
            server.handle_call(*this, decode_call(frame));
            return stream() != nullptr;
        };
        // Pages that are in memory already cost less time, and more memory where few of them are needed.
        const base::MemoryAccount& memory = server.loop_.memory();
        const bool has_room = memory.has_room_for_partial_requests() && !memory.is_short();
        reader.read(bytes, on_frame,
                    has_room ? net::PageBuffer::Pages::used_before : net::PageBuffer::Pages::fresh);
        processing_input = false;
        partial_memory.set(reader.memory());
        server.send_delayed_rejections(*this);
        update_state(progress);
    }
    void on_write_drained(net::Stream&) override { update_state(net::Progress::response_read); }
    void update_state(net::Progress progress = net::Progress::none) {
        if (!stream()) return;
        // Danger: while reading is paused, cancellations and disconnects go unnoticed. So the limit is twice
        // as high while requests are open; there is one, as rejections and replies to `alive` add up too.
        const std::size_t limit = server.is_over_budget() ? kMaxWriteMemoryOverBudget : kMaxWriteMemory;
        const bool responses_unread = stream()->write_memory() > (open_calls.empty() ? limit : 2 * limit);
        const bool has_room = !reader.partial() || server.connection_manager_.may_read_partial_request(*this);
        stream()->pause(responses_unread || !has_room);
        const net::ConnectionState state = !open_calls.empty()            ? net::ConnectionState::processing
                                           : stream()->unsent_bytes() > 0 ? net::ConnectionState::flushing
                                           : !has_received_frame ? net::ConnectionState::awaiting_request
                                           : reader.partial()    ? net::ConnectionState::receiving
                                                                 : net::ConnectionState::idle;
        server.connection_manager_.set_state(*this, state, progress);
    }
    void on_room() override { update_state(); }
    std::size_t partial_request_bytes() const override { return partial_memory.bytes(); }
    // What is held for the client already, beside a partial request.
    std::size_t held_memory() const {
        std::size_t memory = stream()->write_memory();
        for (const auto& [seqid, open_call] : open_calls) memory += open_call.memory;
        return memory;
    }
    bool overlaps_requests() const override { return has_overlapped; }
    void on_closed() override {
        for (const auto& [seqid, open_call] : open_calls) {
            server.open_requests_.remove(open_call.entry);
            server.core_.cancel(open_call.core_request);
        }
        open_calls.clear();
        reader = {};
        partial_memory.set(0);
    }
    // The client sends one request at a time, and no other is open. A client with overlapping requests may
    // already be sending the next one, in reaction to an earlier response.
    bool waits_for_last_response() const {
        return open_calls.empty() && !has_overlapped && !processing_input && !reader.partial();
    }
    bool waits_for_core() const {
        return std::ranges::any_of(open_calls,
                                   [](const auto& entry) { return !entry.second.rejection_pending; });
    }
};

PlatformServer::PlatformServer(net::Loop& loop, core::Core& core, const config::Site& site,
                               const net::ListenAddress& listen, Limits limits)
    : core_(core),
      site_(site),
      limits_(limits),
      loop_(loop),
      connection_manager_(
          loop, listen, limits.connections,
          {.request = kRequestTimeout, .idle = kIdleTimeout, .write = kWriteTimeout, .settle = kSettleTime},
          [this] { return std::make_unique<Client>(*this); }) {}

// Requests that no cache can process are refused here: forwarded, their failures would count against the
// caches.
bool PlatformServer::decode_request(ThriftCall& call, core::Request& request) const {
    const auto kind = get_field(call.fields, "kind");
    const auto found_class = std::find(site_.classes.begin(), site_.classes.end(), kind);
    if (found_class == site_.classes.end()) return false;
    request.class_index = static_cast<int>(found_class - site_.classes.begin());
    request.class_name = kind;
    request.id = get_field(call.fields, "req");
    request.object = get_field(call.fields, "subject");
    request.client_etag = get_field(call.fields, "seen");
    // The origin detects duplicates by this key only. Without it, a request could be executed twice.
    const bool needs_key = site_.settings.classes[request.class_index].retry_safety ==
                           routing::RetrySafety::with_idempotency_key;
    if (needs_key) request.idempotency_key = get_field(call.fields, "opkey");
    if (needs_key && (request.idempotency_key.empty() || !is_alphanumeric(request.idempotency_key)))
        return false;
    const bool cacheable = !site_.settings.classes[request.class_index].uncacheable;
    if (!is_hex_id(request.id) || !is_alphanumeric(request.client_etag) || call.body.size() > kMaxBodyBytes)
        return false;
    if (!is_hex_id(request.object) && (cacheable || !request.object.empty())) return false;
    std::int64_t timeout_ms = 0;
    const bool valid =
        read_number<std::int64_t>(call.fields, "timeout", 1, kMaxClientTimeout / 1000, timeout_ms) &&
        read_number(call.fields, "slice", 0, kMaxPart, request.part) &&
        read_number(call.fields, "set", 0, 255, request.purge_group) &&
        read_number(call.fields, "need", 0.0, kMaxSizeKb, request.size_kb);
    if (!valid || timeout_ms == 0) return false;
    request.time_left = timeout_ms * 1000;
    request.body = std::move(call.body);
    return true;
}

void PlatformServer::handle_call(Client& client, ThriftCall call) {
    switch (call.method) {
        case Method::alive:
            return client.stream()->write(encode_alive(call.seqid, ready_));
        case Method::unknown:
            return client.stream()->write(encode_unknown_method(call.name, call.seqid));
        case Method::cancel: {
            const auto found = client.open_calls.find(call.cancelled_seqid);
            if (found == client.open_calls.end()) return;  // already has its response
            const Client::OpenCall open_call = found->second;
            client.open_calls.erase(found);
            open_requests_.remove(open_call.entry);
            return core_.cancel(open_call.core_request);
        }
        case Method::dispatch:
            break;
    }
    if (call.seqid <= client.last_seqid) throw FrameError("sequence numbers don't rise");
    client.last_seqid = call.seqid;
    if (!client.open_calls.empty()) client.has_overlapped = true;
    const base::Micros now = loop_.clock().now();
    const bool rejecting = connection_manager_.drain().rejects_new_requests(now);
    if (rejecting) set_drain_deadlines(client, now);
    core::Request request;
    if (!decode_request(call, request) || core_.is_open(request.id))
        return client.stream()->write(encode_response(call.seqid, {}));
    request.received_at = client.last_byte_at;  // the time-out counts from here
    const std::size_t memory = core_.memory_needed(request);
    if (const Shortage shortage = find_shortage(client, request, memory); shortage != Shortage::none) {
        ++rejected_counts_[static_cast<std::size_t>(shortage)];
        const base::Micros retry_after = shortage == Shortage::memory ? kRetryAfterMemoryShortage : 0;
        return client.stream()->write(encode_response(
            call.seqid, {.status = core::ResponseStatus::rejected, .retry_after = retry_after}));
    }
    if (rejecting)
        return reject_for_drain(client, call.seqid, request.received_at + request.time_left - now, now);
    const Handle entry = open_requests_.add({client.id(), call.seqid});
    const Handle core_request = core_.submit(std::move(request), *this, entry.number());
    client.open_calls[call.seqid] = {.entry = entry, .core_request = core_request, .memory = memory};
}

PlatformServer::Shortage PlatformServer::find_shortage(Client& client, const core::Request& request,
                                                       std::size_t memory) {
    const bool over_budget = is_over_budget();
    if (over_budget) connection_manager_.evict_slowest_reader(client);
    if (client.open_calls.size() >= kMaxOpenRequests ||
        core_.open_requests() >= max_open_requests(client.open_calls.empty()))
        return Shortage::open_requests;
    if (over_budget || client.stream()->write_memory() > kMaxWriteMemory) return Shortage::unsent_responses;
    if (request.received_at + request.time_left <= loop_.clock().now()) return Shortage::time;
    if (!loop_.memory().admits(memory, client.held_memory())) return Shortage::memory;
    return Shortage::none;
}

// The last of the requests that may be open are for clients that have none open.
std::size_t PlatformServer::max_open_requests(bool client_has_none) const {
    const int limit = std::max(1, site_.settings.max_in_flight);
    return static_cast<std::size_t>(client_has_none ? limit : limit - limit / kShareForFurtherClients);
}

// Applies when a request arrives late in a drain: the requests open on its connection get the drain's
// response deadline, so that the connection has a moment without an open request in time.
void PlatformServer::set_drain_deadlines(Client& client, base::Micros now) {
    for (auto& [seqid, open_call] : client.open_calls) {
        if (open_call.rejection_pending || std::exchange(open_call.has_drain_deadline, true)) continue;
        ++drain_metrics_.hurried;
        core_.set_response_deadline(open_call.core_request,
                                    connection_manager_.drain().response_deadline(now));
    }
}

// A request that arrives late in a drain is rejected, so that its connection has a moment without an open
// request. The rejection is delayed while the connection has requests open in the core.
void PlatformServer::reject_for_drain(Client& client, std::int32_t seqid, base::Micros time_left,
                                      base::Micros now) {
    ++drain_metrics_.rejected;
    if (!client.waits_for_core())
        return client.stream()->write(encode_response(seqid, {.status = core::ResponseStatus::rejected}));
    ++drain_metrics_.held;
    const Handle entry = open_requests_.add({client.id(), seqid});
    client.open_calls[seqid] = {.entry = entry, .core_request = {}, .rejection_pending = true};
    log::debug("platform_server: drain delays rejection connection={} seqid={}", client.id(), seqid);
    loop_.timers().schedule(connection_manager_.drain().rejection_deadline(now, time_left),
                            [this, entry, alive = std::weak_ptr<bool>(alive_)] {
                                if (!alive.expired())
                                    on_response(entry.number(), {.status = core::ResponseStatus::rejected});
                            });
}

// Called when the connection may have no other request open.
void PlatformServer::send_delayed_rejections(Client& client) {
    if (!client.stream() || client.waits_for_core()) return;
    for (const auto& [seqid, open_call] : std::exchange(client.open_calls, {})) {
        open_requests_.remove(open_call.entry);
        client.stream()->write(encode_response(seqid, {.status = core::ResponseStatus::rejected}));
    }
}

void PlatformServer::set_draining(bool on, const admin::DrainSchedule& drain) {
    const bool drain_ended = connection_manager_.drain().is_active() && !drain.is_active();
    connection_manager_.set_drain(drain);
    connection_manager_.set_draining(on);
    if (drain_ended) end_drain();
}

// Sends the delayed rejections; requests with the drain's response deadline get their own one back.
void PlatformServer::end_drain() {
    std::vector<std::uint64_t> held;
    open_requests_.for_each([&](Handle entry, const OpenRequest& open) {
        auto* client = static_cast<Client*>(connection_manager_.find(open.client));
        if (!client) return;
        const auto found = client->open_calls.find(open.seqid);
        if (found == client->open_calls.end()) return;
        if (found->second.rejection_pending) return held.push_back(entry.number());
        found->second.has_drain_deadline = false;
        core_.set_response_deadline(found->second.core_request, std::nullopt);
    });
    for (const std::uint64_t entry : held) on_response(entry, {.status = core::ResponseStatus::rejected});
}

void PlatformServer::on_response(std::uint64_t cookie, core::Response response) {
    const Handle entry = Handle::of(cookie);
    const OpenRequest* open = open_requests_.find(entry);
    if (!open) return;
    const auto [client_id, seqid] = *open;
    open_requests_.remove(entry);
    auto* found = static_cast<Client*>(connection_manager_.find(client_id));
    if (!found) return;
    Client& client = *found;
    client.open_calls.erase(seqid);
    if (client.waits_for_last_response())
        connection_manager_.write_last_response(client, encode_response(seqid, std::move(response)));
    else
        client.stream()->write(encode_response(seqid, std::move(response)));
    send_delayed_rejections(client);
    client.update_state();
}

}  // namespace sumackeel::platform_server
