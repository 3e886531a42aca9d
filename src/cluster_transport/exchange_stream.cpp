#include "cluster_transport/exchange_stream.h"

#include <memory>
#include <utility>

namespace sumackeel::cluster_transport {

namespace {

constexpr base::Micros kExchangeTimeout = 3'000'000;

}  // namespace

ClusterTransport::ExchangeStream::ExchangeStream(ClusterTransport& transport, Direction direction,
                                                 std::string peer)
    : transport_(transport),
      direction_(direction),
      peer_(std::move(peer)),
      received_memory_(transport.loop_.memory(), base::MemoryHolder::other) {
    net::Loop& loop = transport_.loop_;
    timeout_ =
        loop.timers().schedule(loop.clock().now() + kExchangeTimeout, [this] { end(Outcome::failed); });
}

// An exchange that has ended may outlive the transport, and must not access it any more.
ClusterTransport::ExchangeStream::~ExchangeStream() {
    cancel_timeout();
    if (stream_) stream_->close();
}

void ClusterTransport::ExchangeStream::cancel_timeout() {
    if (timeout_) transport_.loop_.timers().cancel(*timeout_);
    timeout_.reset();
}

void ClusterTransport::ExchangeStream::send(ExchangeStep step) {
    ExchangeFrame frame{.step = step, .to = peer_, .digest = transport_.membership_.digest(), .state = {}};
    if (step == ExchangeStep::state)
        frame.state = transport_.membership_.full_state();
    else
        frame.state.from = transport_.membership_.self().name;
    std::string bytes = transport_.codec_.encode_frame(frame);
    transport_.metrics_.bytes_out += bytes.size();
    transport_.exchange_limiter_.spend(bytes.size());
    stream_->write(std::move(bytes));
}

void ClusterTransport::ExchangeStream::on_data(net::Stream&, std::string_view bytes) {
    if (ended_) return;
    transport_.metrics_.bytes_in += bytes.size();
    received_ += bytes;
    received_memory_.set(received_.capacity());
    if (!transport_.loop_.memory().has_room_for_response(received_.size())) return end(Outcome::failed);
    while (!ended_) {
        bool oversized = false;
        const auto bytes_of_frame = take_frame(received_, oversized);
        if (oversized) return reject(DecodeError::oversized);
        if (!bytes_of_frame) return;
        if (!is_outgoing() && MessageCodec::is_call(*bytes_of_frame)) return on_call_frame(*bytes_of_frame);
        DecodeError error{};
        const auto frame = transport_.codec_.decode_frame(*bytes_of_frame, error);
        if (!frame) return reject(error);
        on_exchange_frame(*frame);
    }
}

// A stream carries one call: the response is sent on it, and the stream is closed.
void ClusterTransport::ExchangeStream::on_call_frame(const std::string& bytes) {
    DecodeError error{};
    const auto call = transport_.codec_.decode_call(bytes, error);
    if (!call) return reject(error);
    if (call->to != transport_.membership_.self().name || call->is_response)
        return reject(DecodeError::wrong_protocol);
    if (!transport_.call_replay_filter_.accept(call->from, call->start, call->sequence))
        return reject(DecodeError::replayed);
    const auto handler = transport_.call_handlers_.find(call->method);
    if (handler == transport_.call_handlers_.end()) return reject(DecodeError::malformed);
    dispatch_call(*call, handler->second);
}

void ClusterTransport::ExchangeStream::dispatch_call(const CallFrame& call, const CallHandler& handler) {
    call_ = call;
    call_number_ = ++transport_.last_call_number_;
    // The response may be sent later, when the transport or this stream no longer exists.
    const std::weak_ptr<bool> lifetime = transport_.lifetime_token_;
    ClusterTransport* transport = &transport_;
    const std::uint64_t number = call_number_;
    handler(call.from, call.method, call.body, [lifetime, transport, number](std::string response) {
        if (lifetime.expired()) return;
        for (const auto& exchange : transport->exchanges_)
            if (exchange->call_number() == number) return exchange->respond(std::move(response));
    });
}

void ClusterTransport::ExchangeStream::respond(std::string body) {
    if (ended_ || !stream_) return;
    const CallFrame response{.from = transport_.membership_.self().name,
                             .to = call_.from,
                             .start = call_.start,
                             .sequence = call_.sequence,
                             .is_response = true,
                             .method = call_.method,
                             .body = std::move(body)};
    std::string bytes = transport_.codec_.encode_call(response);
    transport_.metrics_.bytes_out += bytes.size();
    stream_->write(std::move(bytes));
    finish();
}

void ClusterTransport::ExchangeStream::on_exchange_frame(const ExchangeFrame& frame) {
    if (!frame.to.empty() && frame.to != transport_.membership_.self().name)
        return reject(DecodeError::wrong_protocol);
    switch (frame.step) {
        case ExchangeStep::hello:
            return on_hello(frame);
        case ExchangeStep::same:
            return end(is_outgoing() ? Outcome::done : Outcome::failed);
        case ExchangeStep::state:
            return on_state(frame);
    }
}

void ClusterTransport::ExchangeStream::on_hello(const ExchangeFrame& frame) {
    if (is_outgoing()) return end(Outcome::failed);
    peer_ = frame.state.from;
    if (frame.digest != transport_.membership_.digest()) return send(ExchangeStep::state);
    ++transport_.metrics_.exchanges_same;
    send(ExchangeStep::same);
    finish();
}

void ClusterTransport::ExchangeStream::on_state(const ExchangeFrame& frame) {
    transport_.membership_.merge(monotonic_now(), frame.state);
    if (!is_outgoing()) return end(Outcome::done);
    send(ExchangeStep::state);
    finish();
}

void ClusterTransport::ExchangeStream::reject(DecodeError reason) {
    ++transport_.metrics_.decode_errors[static_cast<int>(reason)];
    end(Outcome::failed);
}

void ClusterTransport::ExchangeStream::finish() {
    ended_ = true;
    stream_->shutdown();
}

void ClusterTransport::ExchangeStream::end(Outcome outcome) {
    ended_ = true;
    if (stream_) std::exchange(stream_, nullptr)->close();
    transport_.on_exchange_ended(*this, outcome == Outcome::done);
}

void ClusterTransport::ExchangeStream::on_close(net::Stream&, net::DisconnectCause cause) {
    stream_ = nullptr;
    transport_.on_exchange_ended(*this, ended_ && cause == net::DisconnectCause::closed_by_peer);
}

}  // namespace sumackeel::cluster_transport
