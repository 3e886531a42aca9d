#include "cluster_transport/outgoing_call.h"

#include <algorithm>
#include <utility>

namespace sumackeel::cluster_transport {

namespace {

constexpr std::size_t kMaxOutgoingCalls = 64;  // in progress; beyond it a call fails at once

}  // namespace

ClusterTransport::OutgoingCall::OutgoingCall(ClusterTransport& transport, CallFrame request,
                                             base::Micros timeout, CallCallback callback)
    : transport_(transport),
      request_(std::move(request)),
      callback_(std::move(callback)),
      received_memory_(transport.loop_.memory(), base::MemoryHolder::other) {
    schedule_end(transport_.loop_.clock().now() + timeout);
}

ClusterTransport::OutgoingCall::~OutgoingCall() {
    cancel_timeout();
    if (stream_) stream_->close();
}

void ClusterTransport::OutgoingCall::schedule_end(base::Micros at) {
    timeout_ = transport_.loop_.timers().schedule(at, [this] { end({}); });
}

void ClusterTransport::OutgoingCall::cancel_timeout() {
    if (timeout_) transport_.loop_.timers().cancel(*timeout_);
    timeout_.reset();
}

void ClusterTransport::OutgoingCall::fail_soon() {
    cancel_timeout();
    schedule_end(transport_.loop_.clock().now());
}

void ClusterTransport::OutgoingCall::abandon() {
    callback_ = nullptr;
    end({});
}

void ClusterTransport::OutgoingCall::on_open(net::Stream&) {
    std::string bytes = transport_.codec_.encode_call(request_);
    transport_.metrics_.bytes_out += bytes.size();
    stream_->write(std::move(bytes));
}

bool ClusterTransport::OutgoingCall::is_answered_by(const CallFrame& response) const {
    return response.is_response && response.from == request_.to && response.to == request_.from &&
           response.start == request_.start && response.sequence == request_.sequence;
}

void ClusterTransport::OutgoingCall::on_data(net::Stream&, std::string_view bytes) {
    transport_.metrics_.bytes_in += bytes.size();
    received_ += bytes;
    received_memory_.set(received_.capacity());
    if (!transport_.loop_.memory().has_room_for_response(received_.size())) return end({});
    bool oversized = false;
    const auto frame = take_frame(received_, oversized);
    if (!frame && !oversized) return;
    DecodeError error = DecodeError::oversized;
    const auto response = frame ? transport_.codec_.decode_call(*frame, error) : std::nullopt;
    if (response && is_answered_by(*response)) return end(response->body);
    if (response) error = DecodeError::wrong_protocol;
    ++transport_.metrics_.decode_errors[static_cast<int>(error)];
    end({});
}

void ClusterTransport::OutgoingCall::on_close(net::Stream&, net::DisconnectCause) {
    stream_ = nullptr;
    end({});
}

void ClusterTransport::OutgoingCall::end(std::optional<std::string> response) {
    if (!timeout_) return;
    cancel_timeout();
    if (stream_) std::exchange(stream_, nullptr)->close();
    transport_.release_later(transport_.outgoing_calls_, *this);
    if (const CallCallback callback = std::exchange(callback_, nullptr)) callback(std::move(response));
}

std::uint64_t ClusterTransport::call(const std::string& to, const std::string& method, std::string body,
                                     base::Micros timeout, CallCallback callback) {
    const std::string advertised = membership_.address_of(to);
    CallFrame request{.from = membership_.self().name,
                      .to = to,
                      .start = membership_.self().incarnation.start,
                      .sequence = ++last_call_number_,
                      .is_response = false,
                      .method = method,
                      .body = std::move(body)};
    auto call = std::make_unique<OutgoingCall>(*this, std::move(request), timeout, std::move(callback));
    sockaddr_in address{};
    if (is_listening() && !advertised.empty() && net::parse_address(reachable_address(advertised), address) &&
        outgoing_calls_.size() < kMaxOutgoingCalls)
        call->attach(net::Stream::connect(loop_, sockets_, address, *call));
    if (!call->is_attached()) call->fail_soon();
    outgoing_calls_.push_back(std::move(call));
    return last_call_number_;
}

void ClusterTransport::abandon(std::uint64_t call) {
    const auto found = std::find_if(outgoing_calls_.begin(), outgoing_calls_.end(),
                                    [call](const auto& open) { return open->number() == call; });
    if (found != outgoing_calls_.end()) (*found)->abandon();
}

}  // namespace sumackeel::cluster_transport
