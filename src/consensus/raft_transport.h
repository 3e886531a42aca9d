// How voters of the agreed log reach each other: TCP with proof of the group's key before the first byte of
// the log, in the form that the raft library asks of a transport.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cluster_transport/message_codec.h"
#include "consensus/raft_library.h"
#include "net/listener.h"

namespace sumackeel::consensus {

using cluster_transport::MessageCodec;

class RaftTransport {
  public:
    // `reach` tells where this member reaches an address that another one has. `newer`: another voter has a
    // log of a later history; told from the loop, as often as it is met.
    RaftTransport(net::Loop& loop, const MessageCodec& codec, std::string listen,
                  std::function<std::string(const std::string&)> reach,
                  std::function<void(std::uint64_t)> newer);
    ~RaftTransport();
    RaftTransport(const RaftTransport&) = delete;
    RaftTransport& operator=(const RaftTransport&) = delete;

    // Of the own log. Voters of another history are not spoken with: a log that an operator forced to go on
    // alone has a later one than those that it went on without.
    void set_history(std::uint64_t history) { history_ = history; }
    std::uint64_t history() const { return history_; }
    raft_uv_transport* raw() { return &transport_; }
    std::uint64_t refused() const { return refused_; }  // connections without the proof

  private:
    struct Hand;  // a connection until both sides are known
    void closed(Hand* hand);
    void take_next();
    void finish_close();

    net::Loop& loop_;
    const MessageCodec& codec_;
    std::string listen_;
    std::function<std::string(const std::string&)> reach_;
    std::function<void(std::uint64_t)> newer_;
    std::uint64_t history_ = 0;
    raft_uv_transport transport_{};
    raft_id id_ = 0;
    std::string address_;
    std::unique_ptr<net::Listener> listener_;
    raft_uv_accept_cb accepted_ = nullptr;
    raft_uv_transport_close_cb close_cb_ = nullptr;
    std::vector<Hand*> hands_;
    std::uint64_t refused_ = 0;
    bool closing_ = false, closed_listener_ = false;
};

}  // namespace sumackeel::consensus
