#include "front_platform/front.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>
#include <vector>

#include "base/log.h"

namespace sumackeel::front_platform {

using base::Handle;

namespace {

constexpr std::size_t kMostOpen = 32;         // on one connection
constexpr std::size_t kMostUnsent = 4 << 20;  // to one client, before nothing more is read from it
constexpr std::size_t kLongestBody = 48'000;
// What can't be used is owed an end within 3 s of connecting; an honest request comes in one go.
constexpr base::Micros kRequestIn = 2'000'000;
constexpr base::Micros kIdle = 5'000'000;     // clients close after 4 s themselves
constexpr base::Micros kReading = 5'000'000;  // an answer of 240 KB takes 0.8 s at the usual pace
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

struct Front::Client : net::Guest {
    Front& front;
    FrameReader reader;
    struct OpenCall {
        Handle ours, cores;    // our entry and the core's request
        bool held = false;     // to be refused by a drain: the core does not know it
        bool hurried = false;  // to be answered by the drain's own time
    };
    std::map<std::int32_t, OpenCall> open;  // by seqid
    std::int32_t last_seqid = 0;
    bool heard = false;     // a whole frame has come
    base::Micros came = 0;  // when the last byte of what is being read came

    explicit Client(Front& owner) : front(owner) {}

    void received(net::Stream&, std::string_view bytes) override {
        came = arrived_at();
        if (left_meanwhile()) return front.door_.part(*this);
        reader.read(bytes, [this](std::string_view frame) {
            heard = true;
            front.call(*this, read_call(frame));
            return stream() != nullptr;
        });
        front.refuse_held(*this);
        tell_door();
    }
    void drained(net::Stream&) override { tell_door(true); }
    void tell_door(bool has_read = false) {
        if (!stream()) return;
        // Danger: what is not read is not heard, a cancellation and an end of the connection among it. So as
        // long as requests are open reading goes on, up to a further bound: refusals and answers to `alive`
        // add up too.
        stream()->pause(stream()->unsent() > (open.empty() ? kMostUnsent : 2 * kMostUnsent));
        const net::Doing doing = !open.empty()            ? net::Doing::busy
                                 : stream()->unsent() > 0 ? net::Doing::unsent
                                 : !heard                 ? net::Doing::arriving
                                 : reader.partial()       ? net::Doing::sending
                                                          : net::Doing::idle;
        front.door_.now(*this, doing, has_read);
    }
    void left() override {
        for (const auto& [seqid, one] : open) {
            front.open_.remove(one.ours);
            front.core_.leave(one.cores);
        }
        open.clear();
    }
    bool waits_for_core() const {
        return std::ranges::any_of(open, [](const auto& entry) { return !entry.second.held; });
    }
};

Front::Front(net::Loop& loop, core::Core& core, const config::Site& site, const net::Place& listen,
             Limits limits)
    : core_(core),
      site_(site),
      limits_(limits),
      loop_(loop),
      door_(loop, listen, limits.connections, {.request = kRequestIn, .idle = kIdle, .reading = kReading},
            [this] { return std::make_unique<Client>(*this); }) {}

// What no cache could use is turned away here: sent on, it would count against the caches that can't use it.
bool Front::read_ask(Call& call, core::Ask& ask) const {
    const auto kind = text(call.fields, "kind");
    const auto place = std::find(site_.classes.begin(), site_.classes.end(), kind);
    if (place == site_.classes.end()) return false;
    ask.service = static_cast<int>(place - site_.classes.begin());
    ask.service_name = kind;
    ask.id = text(call.fields, "req");
    ask.object = text(call.fields, "subject");
    ask.have = text(call.fields, "seen");
    // The origin drops repeats by this key alone. Sent on without one a request could run twice.
    const bool keyed = site_.settings.classes[ask.service].semantics == nettlethread::Semantics::keyed;
    if (keyed) ask.idempotency_key = text(call.fields, "opkey");
    if (keyed && (ask.idempotency_key.empty() || !plain(ask.idempotency_key))) return false;
    const bool kept = !site_.settings.classes[ask.service].uncached;
    if (!hex_name(ask.id) || !plain(ask.have) || call.body.size() > kLongestBody) return false;
    if (!hex_name(ask.object) && (kept || !ask.object.empty())) return false;
    std::int64_t timeout_ms = 0;
    const bool sound = figure<std::int64_t>(call.fields, "timeout", 1, kLongestWait / 1000, timeout_ms) &&
                       figure(call.fields, "slice", 0, kMostParts, ask.part) &&
                       figure(call.fields, "set", 0, 255, ask.group) &&
                       figure(call.fields, "need", 0.0, kMostNeed, ask.size_kb);
    if (!sound || timeout_ms == 0) return false;
    ask.left = timeout_ms * 1000;
    ask.body = std::move(call.body);
    return true;
}

void Front::call(Client& client, Call call) {
    switch (call.verb) {
        case Verb::alive:
            return client.stream()->write(write_alive(call.seqid, ready_));
        case Verb::unknown:
            return client.stream()->write(write_unknown(call.name, call.seqid));
        case Verb::cancel: {
            const auto found = client.open.find(call.cancelled);
            if (found == client.open.end()) return;  // answered already
            const Client::OpenCall one = found->second;
            client.open.erase(found);
            open_.remove(one.ours);
            return core_.leave(one.cores);
        }
        case Verb::dispatch:
            break;
    }
    if (call.seqid <= client.last_seqid) throw FrameError("sequence numbers don't rise");
    client.last_seqid = call.seqid;
    const base::Micros now = loop_.clock().now();
    const bool refuses = door_.drain().refuses(now);
    if (refuses) hurry(client, now);
    core::Ask ask;
    if (!read_ask(call, ask) || core_.is_open(ask.id))
        return client.stream()->write(write_answer(call.seqid, {}));
    const bool unread = door_.unsent() > limits_.unsent_bytes;
    if (unread) door_.let_go_slowest(client);
    const bool crowded =
        client.open.size() >= kMostOpen || unread || client.stream()->unsent() > kMostUnsent ||
        core_.open_requests() >= static_cast<std::size_t>(std::max(1, site_.settings.most_held));
    ask.came = client.came;  // from then on the time runs
    if (crowded || ask.came + ask.left <= now)
        return client.stream()->write(write_answer(call.seqid, {.how = core::Answered::refused}));
    if (refuses) return turn_away(client, call.seqid, ask.came + ask.left - now, now);
    const Handle ours = open_.add({client.number(), call.seqid});
    const Handle cores = core_.take(std::move(ask), *this, ours.number());
    client.open[call.seqid] = {ours, cores};
}

// What is open on a connection on which requests go on coming late in a drain: it may not hold up the moment
// with nothing open beyond the drain's own time.
void Front::hurry(Client& client, base::Micros now) {
    for (auto& [seqid, one] : client.open) {
        if (one.held || std::exchange(one.hurried, true)) continue;
        ++drain_figures_.hurried;
        core_.answer_by(one.cores, door_.drain().answer_by(now));
    }
}

// A request that comes late in a drain is refused, so that its connection gets a moment with nothing open.
void Front::turn_away(Client& client, std::int32_t seqid, base::Micros left, base::Micros now) {
    ++drain_figures_.refused;
    if (!client.waits_for_core())
        return client.stream()->write(write_answer(seqid, {.how = core::Answered::refused}));
    ++drain_figures_.held;
    const Handle ours = open_.add({client.number(), seqid});
    client.open[seqid] = {.ours = ours, .cores = {}, .held = true};
    log::debug("connection={} seqid={} held by the drain", client.number(), seqid);
    loop_.deadlines().set(door_.drain().refuse_by(now, left),
                          [this, ours, alive = std::weak_ptr<bool>(alive_)] {
                              if (!alive.expired()) answer(ours.number(), {.how = core::Answered::refused});
                          });
}

// Once nothing else is open on their connection.
void Front::refuse_held(Client& client) {
    if (!client.stream() || client.waits_for_core()) return;
    for (const auto& [seqid, one] : std::exchange(client.open, {})) {
        open_.remove(one.ours);
        client.stream()->write(write_answer(seqid, {.how = core::Answered::refused}));
    }
}

void Front::send_away(bool on, const ops::Drain& drain) {
    const bool over = door_.drain().on() && !drain.on();
    door_.set_drain(drain);
    door_.send_away(on);
    if (over) end_drain();
}

// What was held is refused, and what was hurried has its own time again.
void Front::end_drain() {
    std::vector<std::uint64_t> held;
    open_.each([&](Handle ours, const Open& open) {
        auto* client = static_cast<Client*>(door_.find(open.client));
        if (!client) return;
        const auto found = client->open.find(open.seqid);
        if (found == client->open.end()) return;
        if (found->second.held) return held.push_back(ours.number());
        found->second.hurried = false;
        core_.answer_by(found->second.cores, std::nullopt);
    });
    for (const std::uint64_t ours : held) answer(ours, {.how = core::Answered::refused});
}

void Front::answer(std::uint64_t cookie, core::Reply reply) {
    const Handle ours = Handle::of(cookie);
    const Open* open = open_.find(ours);
    if (!open) return;
    const auto [number, seqid] = *open;
    open_.remove(ours);
    auto* found = static_cast<Client*>(door_.find(number));
    if (!found) return;
    Client& client = *found;
    client.open.erase(seqid);
    client.stream()->write(write_answer(seqid, reply));
    refuse_held(client);
    client.tell_door();
}

}  // namespace sumackeel::front_platform
