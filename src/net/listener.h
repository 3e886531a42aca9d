// A listening TCP socket whose owner accepts connections one by one, as it has room for them.
//
// Connections that are not accepted stay in the system's accept queue, whatever the reason. libuv's own
// listener is not used: on EMFILE and ENFILE it accepts the next connection and closes it, and on other
// errors it calls accept again without end.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include "net/loop.h"

namespace sumackeel::net {

// An address to bind, or an inherited descriptor that already listens.
struct ListenAddress {
    ListenAddress(const std::string& at) : address(at) {}  // NOLINT: an address is the usual place
    ListenAddress(const char* at) : address(at) {}         // NOLINT
    ListenAddress(const std::string& at, int fd) : address(at), inherited(fd) {}
    static constexpr int kUsualBacklog = 1024;
    std::string address;
    int inherited = -1;           // below 0: none; `address` is then bound
    int backlog = kUsualBacklog;  // length of the accept queue; the system's own bound holds too
};

// Listening on an address or a descriptor failed; the text says on which, and why.
class ListenError : public std::runtime_error {
  public:
    enum class Code {
        invalid_address,
        invalid_descriptor,  // inherited, and no listening TCP socket over IPv4
        system_error
    };
    ListenError(Code code, const std::string& text) : std::runtime_error(text), code_(code) {}
    Code code() const { return code_; }

  private:
    Code code_;
};

// Throws ListenError unless `fd` is a listening TCP socket over IPv4.
void check_listening(int fd);

class Listener {
  public:
    // Retries for a while where descriptors are short; throws ListenError. `on_ready` is called from the
    // loop, in each iteration, while connections wait and the listener is not paused.
    Listener(Loop& loop, const ListenAddress& address, std::function<void()> on_ready);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    int port() const;  // -1: closed
    // The next waiting connection as a descriptor that the caller owns; -1: none, or none can be accepted
    // now.
    int accept();
    bool has_waiting() const;
    // How many connections wait in the system's queue; 0 where it can't tell.
    int waiting() const;
    // accept() failed for want of descriptors or memory a moment ago; on_ready is called again by itself.
    bool lacks_resources() const { return lacks_resources_; }
    void pause();
    void resume();
    // Connections in the accept queue are reset.
    void close();

  private:
    void start_polling();
    void back_off(int error);

    Loop& loop_;
    std::function<void()> on_ready_;
    int fd_ = -1;
    uv_poll_t* poll_ = nullptr;
    bool paused_ = false;
    bool lacks_resources_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for callbacks set in the loop
};

}  // namespace sumackeel::net
