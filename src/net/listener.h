// A listening TCP socket whose connections are taken one by one, when its owner has room for them.
//
// Connections that are not taken stay in the system's queue, whatever the reason. libuv's own listener is not
// used: on EMFILE and ENFILE it takes the next connection and closes it, and on other errors it calls accept
// again without end.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"

namespace sumackeel::net {

// Where a listener is: an address to bind, or a descriptor handed in that listens already.
struct ListenAddress {
    ListenAddress(const std::string& at) : address(at) {}  // NOLINT: an address is the usual place
    ListenAddress(const char* at) : address(at) {}         // NOLINT
    ListenAddress(const std::string& at, int fd) : address(at), inherited(fd) {}
    static constexpr int kUsualBacklog = 1024;
    std::string address;
    int inherited = -1;           // below 0: none; `address` is then bound
    int backlog = kUsualBacklog;  // connections that may wait to be taken; the system's own bound holds too
};

// Throws with a plain line unless `fd` is a listening TCP socket over IPv4.
void check_listening(int fd);

class Listener {
  public:
    // Waits out a shortage of descriptors; throws with one plain line where the address can't be listened on.
    // `on_ready` is called from the loop, turn after turn, while connections wait and it is not paused.
    Listener(Loop& loop, const ListenAddress& place, std::function<void()> on_ready);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    int port() const;  // -1: closed
    // The next waiting connection as a descriptor that is the caller's; -1: none, or none can be taken just
    // now.
    int accept();
    bool has_waiting() const;
    // How many connections wait in the system's queue, by its own account; 0 where it can't tell.
    int waiting() const;
    // accept() failed for want of descriptors or memory a moment ago; on_ready comes again by itself.
    bool lacks_resources() const { return short_; }
    void pause();
    void resume();
    // Danger: what waits in the queue is reset.
    void close();

  private:
    void start_polling();
    void back_off(int error);

    Loop& loop_;
    std::function<void()> on_ready_;
    int fd_ = -1;
    uv_poll_t* poll_ = nullptr;
    bool paused_ = false, short_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is set in the loop
};

}  // namespace sumackeel::net
