#include "net/door.h"

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

const char* name_of(EndReason reason) {
    static constexpr std::array<const char*, kEndReasons> kNames{
        "client",       "broken",          "drain", "process_end", "request_timeout",
        "idle_timeout", "reading_timeout", "room",  "memory",      "front"};
    return kNames[static_cast<std::size_t>(reason)];
}

const char* name_of(Doing doing) {
    static constexpr std::array<const char*, kDoings> kNames{"arriving", "sending", "idle",
                                                             "unsent",   "busy",    "leaving"};
    return kNames[static_cast<std::size_t>(doing)];
}

void Guest::gone(Stream&, Gone how) {
    stream_ = nullptr;
    Door& door = *door_;
    door.note_end(*this, how == Gone::ended ? EndReason::client : EndReason::broken);
    door.lost(*this);
    door.admit();
}

// Danger: one reading of the clock. The process may be stopped between two, and what came before the stop
// would seem to have come behind it.
Micros Guest::arrived_at() {
    const Micros now = door_->loop_.clock().now();
    const Micros earliest = came_after_ > 0 ? came_after_ : door_->loop_.looked_at();
    read_late_ = now - earliest >= kDelayed;
    // What had come by then may be read in several turns.
    came_after_ = read_late_ && stream_->unread() ? earliest : 0;
    return read_late_ ? std::max(earliest, now - stream_->since_last_byte()) : now;
}

bool Guest::left_meanwhile() const {
    return read_late_ && stream_->peer_ended();
}

Door::Door(Loop& loop, const Place& place, int connections, Patience patience,
           std::function<std::unique_ptr<Guest>()> make)
    : loop_(loop),
      patience_(patience),
      make_(std::move(make)),
      budget_(connections),
      listener_(loop, place, [this] {
          waiting_ = true;
          admit();
      }) {
    loop_.each_turn([this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) gone_.clear();
    });
    sweep();
}

Door::~Door() {
    for (auto& [number, guest] : guests_)
        if (guest->stream_) guest->stream_->close();
}

Guest* Door::find(std::uint64_t number) const {
    const auto found = guests_.find(number);
    const bool here = found != guests_.end() && found->second->doing_ != Doing::leaving;
    return here ? found->second.get() : nullptr;
}

// Connections that find no room stay with the system until somebody has gone or can be let go.
void Door::admit() {
    for (int taken = 0; waiting_ && taken < kMostAtOnce; ++taken) {
        const bool room = budget_.left() > 0;
        if (!room && !listener_.has_waiting()) return none_waits();
        if (!room && !make_room()) {
            some_wait();
            if (patience_.queue > 0) admit_later(settled());
            return listener_.pause();
        }
        const int fd = listener_.accept();
        if (fd < 0 && !listener_.is_short()) return none_waits();
        if (fd < 0) return some_wait();
        take(fd);
    }
    if (waiting_) some_wait();
    listener_.resume();
}

void Door::none_waits() {
    waiting_ = false;
    longest_queue_ = 0;
    backlog_since_ = 0;
    listener_.resume();
}

void Door::some_wait() {
    if (backlog_since_ == 0) backlog_since_ = loop_.looked_at();
}

void Door::take(int fd) {
    std::unique_ptr<Guest> guest = make_();
    guest->door_ = this;
    guest->number_ = next_++;
    guest->since_ = loop_.clock().now();
    guest->came_after_ = backlog_since_ > 0 ? backlog_since_ : loop_.looked_at();
    guest->stream_ = Stream::adopt(loop_, budget_, fd, *guest);
    if (!guest->stream_) return;
    guest->place_ = queue(Doing::arriving).insert(queue(Doing::arriving).end(), guest.get());
    guests_.emplace(guest->number_, std::move(guest));
}

// Danger: a listener that closes resets who waits in its queue, with the request sent on the connection.
void Door::stop_listening(bool others_listen) {
    while (!others_listen && listener_.has_waiting()) {
        waiting_ = true;
        admit();
        if (waiting_) return;
    }
    waiting_ = false;
    listener_.close();
}

// In the order of what is lost by it: those that said nothing, those that stopped in the middle, the idle.
// One whose next bytes have arrived, though not been read yet, is never let go. The descriptor is needed now,
// so this does not wait for the other side's end.
bool Door::make_room() {
    for (Guest* guest : queue(Doing::leaving))
        if (guest->stream_->unsent() == 0) return let_go(*guest, EndReason::room), true;
    const Micros before = loop_.clock().now() - settled();
    for (const Doing doing : {Doing::arriving, Doing::sending, Doing::idle})
        for (Guest* guest : queue(doing)) {
            if (guest->since_ > before) break;
            if (guest->stream_->unread()) continue;
            let_go(*guest, EndReason::room);
            return true;
        }
    thread_local log::Sparing line;
    line.warn("all {} connections are in use, a client waits", guests_.size());
    return false;
}

// How old at what it does a connection has to be before it may make room.
// Danger: by the queue as it stands the last in it would wait for much longer than the first, since the pace
// would slow down as it gets shorter.
Micros Door::settled() {
    if (patience_.queue == 0) return kSettled;
    longest_queue_ = std::max({longest_queue_, listener_.waiting(), 1});
    return std::clamp(patience_.queue * budget_.most() / longest_queue_, kLeastSettled, kSettled);
}

void Door::admit_later(Micros wait) {
    if (std::exchange(admits_later_, true)) return;
    loop_.deadlines().set(loop_.clock().now() + wait, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        admits_later_ = false;
        admit();
    });
}

void Door::let_go_slowest(const Guest& keep) {
    const Micros before = loop_.clock().now() - kSlow;
    for (const Doing doing : {Doing::unsent, Doing::leaving})
        for (Guest* guest : queue(doing)) {
            if (guest->since_ > before) break;
            if (guest != &keep && guest->stream_->unsent() > 0) return let_go(*guest, EndReason::memory);
        }
}

void Door::now(Guest& guest, Doing doing, bool has_read) {
    const bool same = guest.doing_ == doing && doing != Doing::idle && !(doing == Doing::unsent && has_read);
    if (!guest.stream() || same) return;
    if (guest.doing_ != doing)
        log::debug("connection={} state={} was={}", guest.number_, name_of(doing), name_of(guest.doing_));
    std::list<Guest*>& to = queue(doing);
    to.splice(to.end(), queue(guest.doing_), guest.place_);
    guest.doing_ = doing;
    guest.since_ = loop_.clock().now();
    // Between two requests is the one moment at which ending loses nothing that was sent.
    if (sending_away_ && doing == Doing::idle && may_end(guest)) part(guest, away());
}

// Danger: what the client sends before it sees the end is lost where that takes it longer than a way there.
// So nothing may wait to be read here, and nothing that it reads slowly may lie before the end.
bool Door::may_end(const Guest& guest) const {
    if (guest.stream_->congested()) return false;
    return !guest.stream_->unread() || drain_.stage(loop_.clock().now()) == ops::DrainStage::forcing;
}

void Door::send_away(bool on) {
    sending_away_ = on;
    if (on) part_with(Doing::idle);
}

void Door::part(Guest& guest, EndReason reason) {
    if (!guest.stream()) return;
    note_end(guest, reason);
    std::list<Guest*>& leaving = queue(Doing::leaving);
    leaving.splice(leaving.end(), queue(guest.doing_), guest.place_);
    guest.doing_ = Doing::leaving;
    guest.since_ = loop_.clock().now();
    guest.left();
    guest.stream_->finish();
}

void Door::part_with(Doing doing) {
    std::vector<Guest*> quiet;
    for (Guest* guest : queue(doing))
        if (may_end(*guest)) quiet.push_back(guest);
    for (Guest* guest : quiet) part(*guest, away());
}

// Those that have been at it for longer than that.
// Danger: one that could not be half-closed has gone, and another may have gone for who came in its place. So
// before each is sent away it is asked whether it is still there.
std::vector<Guest*> Door::overdue(Doing doing, Micros patience) const {
    const Micros before = loop_.clock().now() - patience;
    std::vector<Guest*> found;
    for (Guest* guest : queue(doing)) {
        if (guest->since_ > before) break;
        found.push_back(guest);
    }
    return found;
}

// Bytes that wait to be read are no reason to bear longer with a request that never ends.
void Door::part_with_overdue(Doing doing) {
    for (Guest* guest : overdue(doing, drain_.patience(patience_.request, loop_.clock().now()))) {
        if (!guest->stream()) continue;
        guest->request_timed_out();
        part(*guest, EndReason::request_timeout);
    }
}

// Told of each connection once, at the first of its ends.
void Door::note_end(const Guest& guest, EndReason reason) {
    if (guest.doing_ == Doing::leaving) return;
    ++ended_[static_cast<std::size_t>(reason)];
    log::debug("connection={} ended why={} state={}", guest.number_, name_of(reason), name_of(guest.doing_));
}

void Door::part_with_all() {
    part_with(Doing::arriving);
    part_with(Doing::idle);
}

bool Door::coming() const {
    const auto unread = [](const Guest* guest) { return guest->stream_->unread(); };
    return waiting_ || !queue(Doing::sending).empty() ||
           std::ranges::any_of(queue(Doing::arriving), unread) ||
           std::ranges::any_of(queue(Doing::idle), unread);
}

void Door::sweep() {
    const Micros now = loop_.clock().now();
    part_with_overdue(Doing::arriving);
    part_with_overdue(Doing::sending);
    for (Guest* guest : overdue(Doing::idle, patience_.idle))
        if (guest->stream() && !guest->stream_->unread()) part(*guest, EndReason::idle_timeout);
    for (Guest* guest : overdue(Doing::unsent, patience_.reading)) let_go(*guest, EndReason::reading_timeout);
    // Its last answer may take as long to be read as any other.
    for (Guest* guest : overdue(Doing::leaving, kLeaving))
        if (guest->stream_->unsent() == 0 || guest->since_ <= now - patience_.reading)
            let_go(*guest, EndReason::reading_timeout);
    if (sending_away_) part_with(Doing::idle);  // those whose bytes were unread at the last look
    admit();
    loop_.deadlines().set(now + kSweep, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) sweep();
    });
}

void Door::let_go(Guest& guest, EndReason reason) {
    note_end(guest, reason);
    guest.stream_->close();
    guest.stream_ = nullptr;
    lost(guest);
}

void Door::lost(Guest& guest) {
    const bool told = guest.doing_ == Doing::leaving;
    queue(guest.doing_).erase(guest.place_);
    const auto found = guests_.find(guest.number_);
    gone_.push_back(std::move(found->second));
    guests_.erase(found);
    if (!told) guest.left();
}

}  // namespace sumackeel::net
