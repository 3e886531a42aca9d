// One stream between two members: a state exchange, or an incoming call. Internal to src/cluster_transport.
//
// A state exchange: `hello` with a digest, answered by `same`, or by a state that is answered with a state. A
// call: the request, and the response on the same stream, which is then closed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cluster_transport/cluster_transport.h"

namespace sumackeel::cluster_transport {

// Owned by the transport, which releases it once it has ended.
class ClusterTransport::ExchangeStream : public net::Stream::Handler {
  public:
    enum class Direction { incoming, outgoing };

    // `peer`: the member's name; empty if it is not known.
    ExchangeStream(ClusterTransport& transport, Direction direction, std::string peer);
    ~ExchangeStream() override;
    ExchangeStream(const ExchangeStream&) = delete;
    ExchangeStream& operator=(const ExchangeStream&) = delete;

    // Null: no stream could be opened, and the exchange is dropped.
    void attach(net::Stream* stream) { stream_ = stream; }
    bool is_attached() const { return stream_ != nullptr; }
    bool is_outgoing() const { return direction_ == Direction::outgoing; }
    void cancel_timeout();
    // Number of the call received on this stream; 0: none.
    std::uint64_t call_number() const { return call_number_; }
    void respond(std::string body);

    void on_open(net::Stream&) override { send(ExchangeStep::hello); }
    void on_data(net::Stream&, std::string_view bytes) override;
    void on_close(net::Stream&, net::DisconnectCause cause) override;

  private:
    void send(ExchangeStep step);
    void on_call_frame(const std::string& bytes);
    void dispatch_call(const CallFrame& call, const CallHandler& handler);
    void on_exchange_frame(const ExchangeFrame& frame);
    void on_hello(const ExchangeFrame& frame);
    void on_state(const ExchangeFrame& frame);
    void reject(DecodeError reason);
    void finish();  // closes the stream once all written data is sent
    enum class Outcome { done, failed };
    void end(Outcome outcome);

    ClusterTransport& transport_;
    const Direction direction_;
    net::Stream* stream_ = nullptr;
    std::string peer_;
    std::string received_;  // bytes of a frame that is not complete yet
    base::MemoryCharge received_memory_;
    CallFrame call_;  // the call received instead of an exchange
    std::uint64_t call_number_ = 0;
    bool ended_ = false;
    std::optional<base::TimerQueue::Key> timeout_;
};

}  // namespace sumackeel::cluster_transport
