// One call from this member to another on its own stream, ended by the response, a failure or the timeout.
// Internal to src/cluster_transport.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cluster_transport/cluster_transport.h"

namespace sumackeel::cluster_transport {

// Owned by the transport, which releases it once it has ended. Calls back exactly once, from the loop.
class ClusterTransport::OutgoingCall : public net::Stream::Handler {
  public:
    OutgoingCall(ClusterTransport& transport, CallFrame request, base::Micros timeout, CallCallback callback);
    ~OutgoingCall() override;
    OutgoingCall(const OutgoingCall&) = delete;
    OutgoingCall& operator=(const OutgoingCall&) = delete;

    void attach(net::Stream* stream) { stream_ = stream; }
    bool is_attached() const { return stream_ != nullptr; }
    // Ends the call without a response, from the loop.
    void fail_soon();
    // Ends the call without its callback.
    void abandon();
    std::uint64_t number() const { return request_.sequence; }

    void on_open(net::Stream&) override;
    void on_data(net::Stream&, std::string_view bytes) override;
    void on_close(net::Stream&, net::DisconnectCause) override;

  private:
    void schedule_end(base::Micros at);
    void cancel_timeout();
    bool is_answered_by(const CallFrame& response) const;
    void end(std::optional<std::string> response);

    ClusterTransport& transport_;
    net::Stream* stream_ = nullptr;
    const CallFrame request_;
    std::string received_;  // bytes of a frame that is not complete yet
    CallCallback callback_;
    base::MemoryCharge received_memory_;
    std::optional<base::TimerQueue::Key> timeout_;  // none: the call has ended
};

}  // namespace sumackeel::cluster_transport
