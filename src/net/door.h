// The door of a front: which clients are let in, how long each is borne with, and who is let go to make room.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/listener.h"
#include "net/stream.h"
#include "ops/drain.h"

namespace sumackeel::net {

class Door;

// What a connection is doing. All but the busy may be let go.
enum class Doing : std::size_t {
    arriving,  // since it came, no whole request has been read
    sending,   // a part of a further request has come
    idle,      // between two requests
    unsent,    // its answers wait to be read by it, and no request is open
    busy,      // a request is open
    leaving    // sent away: half-closed, until it has ended too
};

// Why a connection was ended, or by whom. Names for counters and logs: name_of().
enum class EndReason : std::size_t {
    client,           // the client ended it
    broken,           // reset, failed, or what came could not be read
    drain,            // nothing was open on it during a drain
    process_end,      // nothing was open on it, and the process is told to end
    request_timeout,  // no whole request in time
    idle_timeout,     // nothing between two requests
    reading_timeout,  // its answers were not read
    room,             // its place was needed for another
    memory,           // its unread answers took the memory that others needed
    front             // the front's own protocol ends it
};
constexpr std::size_t kEndReasons = 10;
const char* name_of(EndReason reason);
const char* name_of(Doing doing);

constexpr std::size_t kDoings = 6;

// One client's connection. Its door destroys it in the turn after it has gone.
class Guest : public Stream::Owner {
  public:
    std::uint64_t number() const { return number_; }
    Stream* stream() const { return doing_ == Doing::leaving ? nullptr : stream_; }  // null: gone, sent away
    void gone(Stream& stream, Gone how) final;

  protected:
    virtual void left() = 0;  // told once, after the connection has gone or was sent away
    // Told before it is sent away in the middle of a request that took too long to come: a last word may be
    // written.
    virtual void request_timed_out() {}
    // Asked from received(), once in each call: when the last of these bytes came. It is long ago where the
    // connection waited at the listener, or the process stood still.
    Micros arrived_at();
    // The bytes that arrived_at() was asked for were read late, and the client has left meanwhile: nothing it
    // asked for is wanted any more.
    bool left_meanwhile() const;

  private:
    friend class Door;
    Door* door_ = nullptr;
    std::uint64_t number_ = 0;
    Stream* stream_ = nullptr;
    Doing doing_ = Doing::arriving;
    Micros since_ = 0;
    Micros came_after_ = 0;  // what is not read yet came after this; 0: after the last look of the loop
    bool read_late_ = false;
    std::list<Guest*>::iterator place_;
};

class Door {
  public:
    struct Patience {
        Micros request;  // from connecting, or from a later request's first byte, until it has come whole
        Micros idle;     // between two requests
        Micros reading;  // until it has read one more answer
        // Within this whoever waits at the listener is taken, however many wait: the more, the sooner one
        // that sent nothing makes room. 0: nobody younger than 100 ms does.
        Micros queue = 0;
    };

    Door(Loop& loop, const Place& place, int connections, Patience patience,
         std::function<std::unique_ptr<Guest>()> make);
    ~Door();
    Door(const Door&) = delete;
    Door& operator=(const Door&) = delete;

    // To be told after each change; the time starts anew with each change, each idle spell and each answer
    // read.
    void now(Guest& guest, Doing doing, bool has_read = false);
    // For when answers take too much memory: the one that has read nothing for longest goes, but not `keep`.
    void let_go_slowest(const Guest& keep);
    Guest* find(std::uint64_t number) const;
    std::size_t unsent() const { return budget_.unsent(); }  // bytes of answers, over all guests
    void set_connections(int most) { budget_.set_most(most); }
    // Connections that wait in the system's queue are taken first, unless another process takes them from the
    // same socket. While some wait for which there is no room, or no descriptor, the listener stays: call
    // again.
    void stop_listening(bool others_listen);
    // On: clients are sent away as on a drain or at the end. Idle connections end now, the others once
    // their last answer is read; the listener goes on as it was. Off: all as before.
    void send_away(bool on);
    // The drain that is on, or none: how long clients are borne with while they are sent away.
    void set_drain(const ops::Drain& drain) { drain_ = drain; }
    const ops::Drain& drain() const { return drain_; }
    // Ends one connection behind what was written to it. Requests that cross this are not read.
    void part(Guest& guest, EndReason reason = EndReason::front);
    // Ends all at which nothing is open, half sent or unread, those too that never sent a thing.
    void part_with_all();
    // A request is half sent, or has come and was not read yet, or a connection waits at the listener.
    bool coming() const;
    std::size_t connections() const { return guests_.size(); }  // those leaving too
    std::size_t doing(Doing doing) const { return queue(doing).size(); }
    std::uint64_t ended(EndReason reason) const { return ended_[static_cast<std::size_t>(reason)]; }
    int port() const { return listener_.port(); }

  private:
    friend class Guest;

    void admit();
    void none_waits();
    void some_wait();
    bool make_room();
    Micros settled();
    void admit_later(Micros wait);
    void sweep();
    void take(int fd);
    void let_go(Guest& guest, EndReason reason);
    void part_with(Doing doing);
    std::vector<Guest*> overdue(Doing doing, Micros patience) const;
    void part_with_overdue(Doing doing);
    void note_end(const Guest& guest, EndReason reason);
    bool may_end(const Guest& guest) const;
    EndReason away() const { return drain_.on() ? EndReason::drain : EndReason::process_end; }
    void lost(Guest& guest);
    std::list<Guest*>& queue(Doing doing) { return queues_[static_cast<std::size_t>(doing)]; }
    const std::list<Guest*>& queue(Doing doing) const { return queues_[static_cast<std::size_t>(doing)]; }

    Loop& loop_;
    Patience patience_;
    std::function<std::unique_ptr<Guest>()> make_;
    Budget budget_;
    std::array<std::list<Guest*>, kDoings> queues_;  // by what they do, longest at it first
    std::map<std::uint64_t, std::unique_ptr<Guest>> guests_;
    std::vector<std::unique_ptr<Guest>> gone_;
    std::uint64_t next_ = 1;
    bool sending_away_ = false;
    ops::Drain drain_;
    std::array<std::uint64_t, kEndReasons> ended_{};
    int longest_queue_ = 0;      // at the listener since it was last empty
    bool admits_later_ = false;  // a deadline for that is set
    bool waiting_ = false;       // connections may wait at the listener
    Micros backlog_since_ = 0;   // who waits there came after this; 0: nobody has waited over a turn
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is set in the loop
    Listener listener_;
};

}  // namespace sumackeel::net
