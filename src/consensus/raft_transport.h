// The transport of the raft library between voters: TCP, with a handshake that proves the cluster's key
// before the first byte of the log.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster_transport/message_codec.h"
#include "consensus/raft_library.h"
#include "net/listener.h"

namespace sumackeel::consensus {

using cluster_transport::MessageCodec;

class RaftTransport {
  public:
    // `reachable_address`: where this member reaches an address that another one has. `newer_history_found`:
    // another voter has a log of a later history; called from the loop, each time that it is met.
    RaftTransport(net::Loop& loop, const MessageCodec& codec, std::string listen_address,
                  std::function<std::string(const std::string&)> reachable_address,
                  std::function<void(std::uint64_t)> newer_history_found);
    ~RaftTransport();
    RaftTransport(const RaftTransport&) = delete;
    RaftTransport& operator=(const RaftTransport&) = delete;

    // Of the own log. Connections to voters of another history are closed: a log that an operator forced to
    // go on alone has a later one than those that it went on without.
    void set_history(std::uint64_t history) { history_ = history; }
    std::uint64_t history() const { return history_; }
    // For raft_uv_init(); this outlives the library's use of it.
    raft_uv_transport* raw() { return &transport_; }
    std::uint64_t rejected() const { return rejected_; }  // connections with a wrong code

  private:
    struct Handshake;  // a connection until both sides are known
    int listen(raft_uv_accept_cb on_accepted);
    int connect(raft_uv_connect* request, const char* address, raft_uv_connect_cb on_connected);
    void close(raft_uv_transport_close_cb on_closed);
    void on_incoming();
    void on_handshake_closed(Handshake* handshake);
    void finish_close();

    net::Loop& loop_;
    const MessageCodec& codec_;
    std::string listen_address_;
    std::function<std::string(const std::string&)> reachable_address_;
    std::function<void(std::uint64_t)> newer_history_found_;
    std::uint64_t history_ = 0;
    raft_uv_transport transport_{};
    raft_id own_id_ = 0;
    std::string own_address_;
    std::unique_ptr<net::Listener> listener_;
    raft_uv_accept_cb on_accepted_ = nullptr;
    raft_uv_transport_close_cb on_closed_ = nullptr;
    std::vector<Handshake*> handshakes_;  // each owns itself until its socket is closed or handed over
    std::uint64_t rejected_ = 0;
    bool closing_ = false;
    bool listener_closed_ = false;
};

}  // namespace sumackeel::consensus
