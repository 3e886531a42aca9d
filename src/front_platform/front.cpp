#include "front_platform/front.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

#include "net/log.h"

namespace sumackeel::front_platform {

using core::Handle;

namespace {

constexpr std::size_t kMostOpen = 32;         // on one connection
constexpr std::size_t kMostUnsent = 4 << 20;  // to one client, before nothing more is read from it
constexpr std::size_t kLongestBody = 48'000;
constexpr core::Micros kLongestWait = 60'000'000;  // a time-out beyond this is no sound figure

template <typename T>
std::optional<T> number(const std::map<std::string, std::string>& fields, const char* name) {
    const auto found = fields.find(name);
    if (found == fields.end()) return std::nullopt;
    const std::string& text = found->second;
    T value{};
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size()) return std::nullopt;
    return value;
}

std::string text(const std::map<std::string, std::string>& fields, const char* name) {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string{} : found->second;
}

// Names go on into the line protocol, where a space, a comma or a line's end would make another request.
bool plain(const std::string& text) {
    return text.size() <= 64 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isalnum(c) || c == '-' || c == '_' || c == '.';
           });
}

}  // namespace

struct Front::Client : net::Stream::Owner {
    Front& front;
    std::uint64_t number;
    net::Stream* stream = nullptr;
    FrameReader reader;
    std::map<std::int32_t, std::pair<Handle, Handle>> open;  // seqid to our entry and the core's
    std::int32_t last_seqid = 0;

    Client(Front& owner, std::uint64_t n) : front(owner), number(n) {}

    void received(net::Stream&, std::string_view bytes) override {
        reader.add(bytes);
        std::string frame;
        while (stream && reader.next(frame)) front.call(*this, read_call(frame));
    }
    void drained(net::Stream& s) override { s.pause(false); }
    void gone(net::Stream&, net::Gone) override {
        stream = nullptr;
        front.lost(*this);
    }
};

Front::Front(net::Loop& loop, core::Core& core, const config::Site& site, const std::string& listen,
             Limits limits)
    : loop_(loop),
      core_(core),
      site_(site),
      limits_(limits),
      budget_(limits.connections),
      listener_(loop, listen, [this](uv_stream_t* listener) { accept(listener); }) {
    loop_.each_turn([this] { dead_.clear(); });
}

Front::~Front() {
    for (auto& [number, client] : clients_)
        if (client->stream) client->stream->close();
}

bool Front::unsent() const {
    return std::any_of(clients_.begin(), clients_.end(),
                       [](const auto& c) { return c.second->stream && c.second->stream->unsent() > 0; });
}

void Front::accept(uv_stream_t* listener) {
    auto client = std::make_unique<Client>(*this, next_client_++);
    client->stream = net::Stream::accept(loop_, budget_, listener, *client);
    if (!client->stream) {
        log::warn("a client's connection is one too many");
        return;
    }
    const std::uint64_t number = client->number;
    clients_.emplace(number, std::move(client));
}

bool Front::read_ask(Call& call, core::Ask& ask) const {
    const auto kind = text(call.fields, "kind");
    const auto place = std::find(site_.classes.begin(), site_.classes.end(), kind);
    const auto timeout = number<std::int64_t>(call.fields, "timeout");
    ask.id = text(call.fields, "req");
    ask.object = text(call.fields, "subject");
    ask.have = text(call.fields, "seen");
    if (place == site_.classes.end() || !timeout || *timeout < 0 || ask.id.empty()) return false;
    if (!plain(ask.id) || !plain(ask.object) || !plain(ask.have) || call.body.size() > kLongestBody)
        return false;
    ask.service = static_cast<int>(place - site_.classes.begin());
    ask.service_name = kind;
    ask.left = std::min(kLongestWait, *timeout * 1000);
    ask.part = std::max(0, number<int>(call.fields, "slice").value_or(0));
    ask.group = std::clamp(number<int>(call.fields, "set").value_or(0), 0, 255);
    ask.size_kb = number<double>(call.fields, "need").value_or(0);
    if (!std::isfinite(ask.size_kb) || ask.size_kb < 0) ask.size_kb = 0;
    ask.body = std::move(call.body);
    return true;
}

void Front::call(Client& client, Call call) {
    switch (call.verb) {
        case Verb::alive:
            return client.stream->write(write_alive(call.seqid));
        case Verb::unknown:
            return client.stream->write(write_unknown(call.name, call.seqid));
        case Verb::cancel: {
            const auto found = client.open.find(call.cancelled);
            if (found == client.open.end()) return;  // answered already
            const auto [ours, cores] = found->second;
            client.open.erase(found);
            open_.remove(ours);
            return core_.leave(cores);
        }
        case Verb::dispatch:
            break;
    }
    if (call.seqid <= client.last_seqid) throw FrameError("sequence numbers don't rise");
    client.last_seqid = call.seqid;
    core::Ask ask;
    if (!read_ask(call, ask)) return client.stream->write(write_answer(call.seqid, {}));
    std::size_t unsent = 0;
    for (const auto& [number, other] : clients_) unsent += other->stream ? other->stream->unsent() : 0;
    const bool crowded =
        client.open.size() >= kMostOpen || unsent > limits_.unsent_bytes ||
        core_.open_requests() >= static_cast<std::size_t>(std::max(1, site_.settings.most_held));
    if (crowded) return client.stream->write(write_answer(call.seqid, {.how = core::Answered::refused}));
    const Handle ours = open_.add({client.number, call.seqid});
    const Handle cores = core_.take(std::move(ask), *this, ours.number());
    client.open[call.seqid] = {ours, cores};
}

void Front::answer(std::uint64_t cookie, core::Reply reply) {
    const Handle ours = Handle::of(cookie);
    const Open* open = open_.find(ours);
    if (!open) return;
    const auto [number, seqid] = *open;
    open_.remove(ours);
    const auto found = clients_.find(number);
    if (found == clients_.end() || !found->second->stream) return;
    Client& client = *found->second;
    client.open.erase(seqid);
    client.stream->write(write_answer(seqid, reply));
    if (client.stream->unsent() > kMostUnsent) client.stream->pause(true);
}

void Front::lost(Client& client) {
    for (const auto& [seqid, handles] : client.open) {
        open_.remove(handles.first);
        core_.leave(handles.second);
    }
    client.open.clear();
    const auto found = clients_.find(client.number);
    dead_.push_back(std::move(found->second));
    clients_.erase(found);
}

}  // namespace sumackeel::front_platform
