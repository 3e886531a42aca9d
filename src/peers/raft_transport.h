// How voters of the agreed log reach each other: TCP with proof of the group's key before the first byte of
// the log, in the form that the raft library asks of a transport.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"
#include "peers/raft_library.h"
#include "peers/wire.h"

namespace sumackeel::peers {

class RaftTransport {
  public:
    // `reach` tells where this member reaches an address that another one has.
    RaftTransport(net::Loop& loop, const Codec& codec, std::string listen,
                  std::function<std::string(const std::string&)> reach);
    ~RaftTransport();
    RaftTransport(const RaftTransport&) = delete;
    RaftTransport& operator=(const RaftTransport&) = delete;

    raft_uv_transport* raw() { return &transport_; }
    std::uint64_t refused() const { return refused_; }  // connections without the proof

  private:
    struct Hand;  // a connection until both sides are known
    void closed(Hand* hand);
    void finish_close();

    net::Loop& loop_;
    const Codec& codec_;
    std::string listen_;
    std::function<std::string(const std::string&)> reach_;
    raft_uv_transport transport_{};
    raft_id id_ = 0;
    std::string address_;
    uv_tcp_t* listener_ = nullptr;
    raft_uv_accept_cb accepted_ = nullptr;
    raft_uv_transport_close_cb close_cb_ = nullptr;
    std::vector<Hand*> hands_;
    std::uint64_t refused_ = 0;
    bool closing_ = false;
};

}  // namespace sumackeel::peers
