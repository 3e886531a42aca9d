#include "net/connection_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace sumackeel::net {

namespace {

constexpr Micros kSweep = 20'000;  // deadlines are kept, and room looked for, to within this
// A client sends its request as soon as it is connected. One younger than this at what it does is no victim,
// so that a flood of new connections can't sweep out the honest ones among them.
constexpr Micros kSettled = 100'000;
constexpr Micros kLeastSettled = 1'000;  // with however many waiting: what timers can tell apart
// One that reads at all takes an answer in less; it need not go when memory is short.
constexpr Micros kSlow = 1'000'000;
// One sent away ends within a way there and back; a request that crossed is seen by its client within 50 ms.
constexpr Micros kLeaving = 500'000;
// Bytes that are read later than this after they came are old: their sender's time has run meanwhile.
constexpr Micros kDelayed = 50'000;
// Connections taken in one turn of the loop, so that a flood of them does not hold up those that are open.
constexpr int kMostAtOnce = 64;

}  // namespace

const char* name_of(CloseReason reason) {
    static constexpr std::array<const char*, kCloseReasonCount> kNames{
        "client",       "broken",          "drain", "process_end", "request_timeout",
        "idle_timeout", "reading_timeout", "room",  "memory",      "front"};
    return kNames[static_cast<std::size_t>(reason)];
}

const char* name_of(ConnectionState doing) {
    static constexpr std::array<const char*, kConnectionStateCount> kNames{"arriving", "sending", "idle",
                                                                           "unsent",   "busy",    "leaving"};
    return kNames[static_cast<std::size_t>(doing)];
}

void ClientConnection::on_close(Stream&, DisconnectCause how) {
    stream_ = nullptr;
    ConnectionManager& door = *manager_;
    door.record_close(*this, how == DisconnectCause::closed_by_peer ? CloseReason::client_closed
                                                                    : CloseReason::connection_error);
    door.on_disconnect(*this);
    door.accept_waiting();
}

// Danger: one reading of the clock. The process may be stopped between two, and what came before the stop
// would seem to have come behind it.
Micros ClientConnection::received_at() {
    const Micros now = manager_->loop_.clock().now();
    const Micros earliest = came_after_ > 0 ? came_after_ : manager_->loop_.last_poll_at();
    read_late_ = now - earliest >= kDelayed;
    // What had come by then may be read in several turns.
    came_after_ = read_late_ && stream_->has_unread_data() ? earliest : 0;
    return read_late_ ? std::max(earliest, now - stream_->time_since_last_byte()) : now;
}

bool ClientConnection::peer_has_left() const {
    return read_late_ && stream_->peer_has_closed();
}

ConnectionManager::ConnectionManager(Loop& loop, const ListenAddress& place, int connections,
                                     Timeouts patience,
                                     std::function<std::unique_ptr<ClientConnection>()> make)
    : loop_(loop),
      timeouts_(patience),
      make_(std::move(make)),
      budget_(connections),
      listener_(loop, place, [this] {
          waiting_ = true;
          accept_waiting();
      }) {
    loop_.on_each_iteration([this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) closed_.clear();
    });
    sweep();
}

ConnectionManager::~ConnectionManager() {
    for (auto& [number, guest] : connections_)
        if (guest->stream_) guest->stream_->close();
}

ClientConnection* ConnectionManager::find(std::uint64_t number) const {
    const auto found = connections_.find(number);
    const bool here = found != connections_.end() && found->second->state_ != ConnectionState::half_closed;
    return here ? found->second.get() : nullptr;
}

// Connections that find no room stay with the system until somebody has gone or can be let go.
void ConnectionManager::accept_waiting() {
    for (int taken = 0; waiting_ && taken < kMostAtOnce; ++taken) {
        const bool room = budget_.available() > 0;
        if (!room && !listener_.has_waiting()) return on_accept_queue_empty();
        if (!room && !make_room()) {
            on_accept_queue_waiting();
            if (timeouts_.accept_queue > 0) retry_accept_after(min_evictable_age());
            return listener_.pause();
        }
        const int fd = listener_.accept();
        if (fd < 0 && !listener_.lacks_resources()) return on_accept_queue_empty();
        if (fd < 0) return on_accept_queue_waiting();
        adopt(fd);
    }
    if (waiting_) on_accept_queue_waiting();
    listener_.resume();
}

void ConnectionManager::on_accept_queue_empty() {
    waiting_ = false;
    longest_queue_ = 0;
    backlog_since_ = 0;
    listener_.resume();
}

void ConnectionManager::on_accept_queue_waiting() {
    if (backlog_since_ == 0) backlog_since_ = loop_.last_poll_at();
}

void ConnectionManager::adopt(int fd) {
    std::unique_ptr<ClientConnection> guest = make_();
    guest->manager_ = this;
    guest->id_ = next_++;
    guest->since_ = loop_.clock().now();
    guest->came_after_ = backlog_since_ > 0 ? backlog_since_ : loop_.last_poll_at();
    guest->stream_ = Stream::adopt(loop_, budget_, fd, *guest);
    if (!guest->stream_) return;
    guest->place_ = queue(ConnectionState::awaiting_request)
                        .insert(queue(ConnectionState::awaiting_request).end(), guest.get());
    connections_.emplace(guest->id_, std::move(guest));
}

// Danger: a listener that closes resets who waits in its queue, with the request sent on the connection.
void ConnectionManager::stop_listening(bool others_listen) {
    while (!others_listen && listener_.has_waiting()) {
        waiting_ = true;
        accept_waiting();
        if (waiting_) return;
    }
    waiting_ = false;
    listener_.close();
}

// In the order of what is lost by it: those that said nothing, those that stopped in the middle, the idle.
// One whose next bytes have arrived, though not been read yet, is never let go. The descriptor is needed now,
// so this does not wait for the other side's end.
bool ConnectionManager::make_room() {
    for (ClientConnection* guest : queue(ConnectionState::half_closed))
        if (guest->stream_->unsent_bytes() == 0) return evict(*guest, CloseReason::evicted), true;
    const Micros before = loop_.clock().now() - min_evictable_age();
    for (const ConnectionState doing :
         {ConnectionState::awaiting_request, ConnectionState::receiving, ConnectionState::idle})
        for (ClientConnection* guest : queue(doing)) {
            if (guest->since_ > before) break;
            if (guest->stream_->has_unread_data()) continue;
            evict(*guest, CloseReason::evicted);
            return true;
        }
    thread_local log::RateLimitedLogger line;
    line.warn("all {} connections are in use, a client waits", connections_.size());
    return false;
}

// How old at what it does a connection has to be before it may make room.
// Danger: by the queue as it stands the last in it would wait for much longer than the first, since the pace
// would slow down as it gets shorter.
Micros ConnectionManager::min_evictable_age() {
    if (timeouts_.accept_queue == 0) return kSettled;
    longest_queue_ = std::max({longest_queue_, listener_.waiting(), 1});
    return std::clamp(timeouts_.accept_queue * budget_.limit() / longest_queue_, kLeastSettled, kSettled);
}

void ConnectionManager::retry_accept_after(Micros wait) {
    if (std::exchange(admits_later_, true)) return;
    loop_.timers().schedule(loop_.clock().now() + wait, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        admits_later_ = false;
        accept_waiting();
    });
}

void ConnectionManager::evict_slowest_reader(const ClientConnection& keep) {
    const Micros before = loop_.clock().now() - kSlow;
    for (const ConnectionState doing : {ConnectionState::flushing, ConnectionState::half_closed})
        for (ClientConnection* guest : queue(doing)) {
            if (guest->since_ > before) break;
            if (guest != &keep && guest->stream_->unsent_bytes() > 0)
                return evict(*guest, CloseReason::memory_pressure);
        }
}

void ConnectionManager::set_state(ClientConnection& guest, ConnectionState doing, bool has_read) {
    const bool same = guest.state_ == doing && doing != ConnectionState::idle &&
                      !(doing == ConnectionState::flushing && has_read);
    if (!guest.stream() || same) return;
    if (guest.state_ != doing)
        log::debug("connection={} state={} was={}", guest.id_, name_of(doing), name_of(guest.state_));
    std::list<ClientConnection*>& to = queue(doing);
    to.splice(to.end(), queue(guest.state_), guest.place_);
    guest.state_ = doing;
    guest.since_ = loop_.clock().now();
    // Between two requests is the one moment at which ending loses nothing that was sent.
    if (draining_ && doing == ConnectionState::idle && can_close(guest)) close(guest, drain_close_reason());
}

// Danger: what the client sends before it sees the end is lost where that takes it longer than a way there.
// So nothing may wait to be read here, and nothing that it reads slowly may lie before the end.
bool ConnectionManager::can_close(const ClientConnection& guest) const {
    if (guest.stream_->congested()) return false;
    return !guest.stream_->has_unread_data() ||
           drain_.stage(loop_.clock().now()) == admin::DrainStage::forcing;
}

void ConnectionManager::set_draining(bool on) {
    draining_ = on;
    if (on) close_in_state(ConnectionState::idle);
}

void ConnectionManager::close(ClientConnection& guest, CloseReason reason) {
    if (!guest.stream()) return;
    record_close(guest, reason);
    std::list<ClientConnection*>& leaving = queue(ConnectionState::half_closed);
    leaving.splice(leaving.end(), queue(guest.state_), guest.place_);
    guest.state_ = ConnectionState::half_closed;
    guest.since_ = loop_.clock().now();
    guest.on_closed();
    guest.stream_->shutdown();
}

void ConnectionManager::close_in_state(ConnectionState doing) {
    std::vector<ClientConnection*> quiet;
    for (ClientConnection* guest : queue(doing))
        if (can_close(*guest)) quiet.push_back(guest);
    for (ClientConnection* guest : quiet) close(*guest, drain_close_reason());
}

// Those that have been at it for longer than that.
// Danger: one that could not be half-closed has gone, and another may have gone for who came in its place. So
// before each is sent away it is asked whether it is still there.
std::vector<ClientConnection*> ConnectionManager::overdue(ConnectionState doing, Micros patience) const {
    const Micros before = loop_.clock().now() - patience;
    std::vector<ClientConnection*> found;
    for (ClientConnection* guest : queue(doing)) {
        if (guest->since_ > before) break;
        found.push_back(guest);
    }
    return found;
}

// Bytes that wait to be read are no reason to bear longer with a request that never ends.
void ConnectionManager::close_overdue(ConnectionState doing) {
    for (ClientConnection* guest : overdue(doing, drain_.timeout(timeouts_.request, loop_.clock().now()))) {
        if (!guest->stream()) continue;
        guest->on_request_timeout();
        close(*guest, CloseReason::request_timeout);
    }
}

// Told of each connection once, at the first of its ends.
void ConnectionManager::record_close(const ClientConnection& guest, CloseReason reason) {
    if (guest.state_ == ConnectionState::half_closed) return;
    ++closed_counts_[static_cast<std::size_t>(reason)];
    log::debug("connection={} ended why={} state={}", guest.id_, name_of(reason), name_of(guest.state_));
}

void ConnectionManager::close_all_idle() {
    close_in_state(ConnectionState::awaiting_request);
    close_in_state(ConnectionState::idle);
}

bool ConnectionManager::has_pending_input() const {
    const auto unread = [](const ClientConnection* guest) { return guest->stream_->has_unread_data(); };
    return waiting_ || !queue(ConnectionState::receiving).empty() ||
           std::ranges::any_of(queue(ConnectionState::awaiting_request), unread) ||
           std::ranges::any_of(queue(ConnectionState::idle), unread);
}

void ConnectionManager::sweep() {
    const Micros now = loop_.clock().now();
    close_overdue(ConnectionState::awaiting_request);
    close_overdue(ConnectionState::receiving);
    for (ClientConnection* guest : overdue(ConnectionState::idle, timeouts_.idle))
        if (guest->stream() && !guest->stream_->has_unread_data()) close(*guest, CloseReason::idle_timeout);
    for (ClientConnection* guest : overdue(ConnectionState::flushing, timeouts_.write))
        evict(*guest, CloseReason::write_timeout);
    // Its last answer may take as long to be read as any other.
    for (ClientConnection* guest : overdue(ConnectionState::half_closed, kLeaving))
        if (guest->stream_->unsent_bytes() == 0 || guest->since_ <= now - timeouts_.write)
            evict(*guest, CloseReason::write_timeout);
    if (draining_) close_in_state(ConnectionState::idle);  // those whose bytes were unread at the last look
    accept_waiting();
    loop_.timers().schedule(now + kSweep, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) sweep();
    });
}

void ConnectionManager::evict(ClientConnection& guest, CloseReason reason) {
    record_close(guest, reason);
    guest.stream_->close();
    guest.stream_ = nullptr;
    on_disconnect(guest);
}

void ConnectionManager::on_disconnect(ClientConnection& guest) {
    const bool told = guest.state_ == ConnectionState::half_closed;
    queue(guest.state_).erase(guest.place_);
    const auto found = connections_.find(guest.id_);
    closed_.push_back(std::move(found->second));
    connections_.erase(found);
    if (!told) guest.on_closed();
}

}  // namespace sumackeel::net
