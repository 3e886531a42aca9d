// The raft library's transport between voters: TCP, with a handshake in which both sides prove that they have
// the cluster's key before any Raft message is exchanged.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/pending_calls.h"
#include "cluster_transport/message_codec.h"
#include "consensus/raft_library.h"
#include "net/listener.h"

namespace sumackeel::consensus {

using cluster_transport::MessageCodec;

class RaftTransport {
  public:
    // `reachable_address` maps another member's address to one that is reachable from here.
    // `newer_history_found` is called from the loop on each handshake with a voter whose log has a later
    // history.
    RaftTransport(net::Loop& loop, const MessageCodec& codec, std::string listen_address,
                  std::function<std::string(const std::string&)> reachable_address,
                  std::function<void(std::uint64_t)> newer_history_found);
    ~RaftTransport();
    RaftTransport(const RaftTransport&) = delete;
    RaftTransport& operator=(const RaftTransport&) = delete;

    // Sets the history of this member's log. Connections to voters with another history are closed: a log
    // that an operator forced to continue alone has a later history than the logs of the voters left behind.
    void set_history(std::uint64_t history) { history_ = history; }
    std::uint64_t history() const { return history_; }
    // For raft_uv_init(); must outlive the library's use of it.
    raft_uv_transport* raw() { return &transport_; }
    std::uint64_t rejected() const { return rejected_; }  // connections with an invalid MAC

  private:
    enum class Direction { incoming, outgoing };
    struct Handshake;  // a connection that is not authenticated yet
    struct ConnectRequest;
    int listen(raft_uv_accept_cb on_accepted);
    int connect(raft_uv_connect* library_request, const char* address, raft_uv_connect_cb on_done);
    void begin_handshake(ConnectRequest& request);
    void drop_handshake(base::CallId id);
    void finish(ConnectRequest& request, uv_stream_t* stream, int status);
    void close(raft_uv_transport_close_cb on_closed);
    void on_incoming();
    void make_room_for_incoming();
    void remove(Handshake* handshake);
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
    std::vector<Handshake*> handshakes_;  // each deletes itself when its socket is closed or passed on
    std::vector<std::unique_ptr<ConnectRequest>> requests_;
    base::CallId last_handshake_ = 0;
    std::uint64_t rejected_ = 0;
    bool closing_ = false;
    bool listener_closed_ = false;
};

}  // namespace sumackeel::consensus
