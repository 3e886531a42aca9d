#include "net/door.h"

#include "base/log.h"

namespace sumackeel::net {

namespace {

constexpr Micros kSweep = 20'000;  // deadlines are kept, and room looked for, to within this
// A client sends its request as soon as it is connected. One younger than this at what it does is no victim,
// so that a flood of new connections can't sweep out the honest ones among them.
constexpr Micros kSettled = 100'000;
// One that reads at all takes an answer in less; it need not go when memory is short.
constexpr Micros kSlow = 1'000'000;

}  // namespace

void Guest::gone(Stream&, Gone) {
    stream_ = nullptr;
    Door& door = *door_;
    door.lost(*this);
    door.admit();
}

Door::Door(Loop& loop, const Place& place, int connections, Patience patience,
           std::function<std::unique_ptr<Guest>()> make)
    : loop_(loop),
      patience_(patience),
      make_(std::move(make)),
      budget_(connections),
      listener_(loop, place, [this](uv_stream_t* listener) {
          waiting_ = listener;
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
    return found == guests_.end() ? nullptr : found->second.get();
}

// One connection is taken from the listener a call, which then goes on listening. While there is no room it
// is left there, and those behind it with the system, until somebody has gone or can be let go.
void Door::admit() {
    if (!waiting_ || (budget_.left() <= 0 && !make_room())) return;
    uv_stream_t* listener = std::exchange(waiting_, nullptr);
    std::unique_ptr<Guest> guest = make_();
    guest->door_ = this;
    guest->number_ = next_++;
    guest->since_ = loop_.clock().now();
    guest->stream_ = Stream::accept(loop_, budget_, listener, *guest);
    if (!guest->stream_) return;
    guest->place_ = queue(Doing::arriving).insert(queue(Doing::arriving).end(), guest.get());
    guests_.emplace(guest->number_, std::move(guest));
}

// In the order of what is lost by it: those that said nothing, those that stopped in the middle, the idle.
// One whose next bytes have arrived, though not been read yet, is never let go.
bool Door::make_room() {
    const Micros before = loop_.clock().now() - kSettled;
    for (const Doing doing : {Doing::arriving, Doing::sending, Doing::idle})
        for (Guest* guest : queue(doing)) {
            if (guest->since_ > before) break;
            if (guest->stream_->unread()) continue;
            let_go(*guest);
            return true;
        }
    thread_local log::Sparing line;
    line.warn("all {} connections are in use, a client waits", guests_.size());
    return false;
}

void Door::let_go_slowest(const Guest& keep) {
    const Micros before = loop_.clock().now() - kSlow;
    for (Guest* guest : queue(Doing::unsent)) {
        if (guest->since_ > before) return;
        if (guest != &keep) return let_go(*guest);
    }
}

void Door::now(Guest& guest, Doing doing, bool has_read) {
    const bool same = guest.doing_ == doing && doing != Doing::idle && !(doing == Doing::unsent && has_read);
    if (!guest.stream_ || same) return;
    std::list<Guest*>& to = queue(doing);
    to.splice(to.end(), queue(guest.doing_), guest.place_);
    guest.doing_ = doing;
    guest.since_ = loop_.clock().now();
    // Between two requests is the one moment at which closing loses nothing that was sent.
    if (sending_away_ && doing == Doing::idle && !guest.stream_->unread()) let_go(guest);
}

void Door::send_away(bool on) {
    sending_away_ = on;
    if (on) send_away_idle();
}

void Door::send_away_idle() {
    std::vector<Guest*> idle;
    for (Guest* guest : queue(Doing::idle))
        if (!guest->stream_->unread()) idle.push_back(guest);
    for (Guest* guest : idle) let_go(*guest);
}

void Door::sweep() {
    const Micros now = loop_.clock().now();
    for (const Doing doing : {Doing::arriving, Doing::sending, Doing::idle, Doing::unsent}) {
        const Micros before = now - (doing == Doing::idle     ? patience_.idle
                                     : doing == Doing::unsent ? patience_.reading
                                                              : patience_.request);
        std::vector<Guest*> over;
        for (Guest* guest : queue(doing)) {
            if (guest->since_ > before) break;
            // Bytes that wait to be read are no reason to bear longer with a request that never ends.
            if (doing != Doing::idle || !guest->stream_->unread()) over.push_back(guest);
        }
        for (Guest* guest : over) let_go(*guest);
    }
    if (sending_away_) send_away_idle();  // those whose bytes were unread at the last look
    admit();
    loop_.deadlines().set(now + kSweep, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) sweep();
    });
}

void Door::let_go(Guest& guest) {
    guest.stream_->close();
    guest.stream_ = nullptr;
    lost(guest);
}

void Door::lost(Guest& guest) {
    queue(guest.doing_).erase(guest.place_);
    const auto found = guests_.find(guest.number_);
    gone_.push_back(std::move(found->second));
    guests_.erase(found);
    guest.left();
}

}  // namespace sumackeel::net
