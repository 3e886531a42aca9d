// Queries and replies of one datagram each, see ClusterTransport::send_query().
#include <optional>
#include <string>
#include <utility>

#include "cluster_transport/cluster_transport.h"

namespace sumackeel::cluster_transport {

// Replays need no filter: a repeated query is answered by what holds now, and a repeated reply has the number
// of the query that it answered.
void ClusterTransport::receive_query(std::string_view bytes) {
    ++metrics_.queries_in;
    metrics_.bytes_in += bytes.size();
    DecodeError error{};
    const auto frame = codec_.decode_call(bytes, error);
    if (!frame) return reject_datagram(error);
    const cluster::MemberRecord& self = membership_.self();
    if (frame->to != self.name) return reject_datagram(DecodeError::wrong_protocol);
    if (!frame->is_response) return answer_query(*frame);
    const auto handler = query_reply_handlers_.find(frame->method);
    if (handler == query_reply_handlers_.end() || frame->start != self.incarnation.start) return;
    handler->second(frame->from, frame->sequence, frame->body);
}

void ClusterTransport::answer_query(const CallFrame& query) {
    const auto handler = query_handlers_.find(query.method);
    if (handler == query_handlers_.end()) return;
    std::optional<std::string> body = handler->second(query.from, query.body);
    if (!body) return;
    send_query_frame({.from = membership_.self().name,
                      .to = query.from,
                      .start = query.start,
                      .sequence = query.sequence,
                      .is_response = true,
                      .method = query.method,
                      .body = std::move(*body)});
}

void ClusterTransport::send_query(const std::string& to, const std::string& method, std::uint64_t number,
                                  std::string body) {
    send_query_frame({.from = membership_.self().name,
                      .to = to,
                      .start = membership_.self().incarnation.start,
                      .sequence = number,
                      .is_response = false,
                      .method = method,
                      .body = std::move(body)});
}

void ClusterTransport::send_query_frame(const CallFrame& frame) {
    const std::string advertised = membership_.address_of(frame.to);
    if (!is_listening() || advertised.empty()) return;
    const std::string bytes = codec_.encode_call(frame).substr(kFrameLengthBytes);
    if (bytes.size() <= kMaxDatagramBytes && send_bytes(advertised, bytes)) ++metrics_.queries_out;
}

}  // namespace sumackeel::cluster_transport
