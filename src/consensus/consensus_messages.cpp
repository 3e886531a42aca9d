#include "consensus/consensus_messages.h"

#include <fmt/format.h>

#include <sstream>

#include "base/msgpack.h"
#include "consensus/consensus_error.h"

namespace sumackeel::consensus {

namespace {

constexpr std::size_t kMaxElements = 16;  // per message

}  // namespace

std::string encode(const ConsensusReply& reply) {
    base::MsgpackWriter out;
    return out.array(5)
        .add(reply.done, reply.leader, reply.body, reply.history, reply.kv_store_update)
        .bytes();
}

ConsensusReply decode_reply(const std::string& body) {
    const base::MsgpackDocument document = base::parse_msgpack(body, kMaxElements, kMaxCallBytes);
    base::MsgpackReader reader = document.reader(3);
    ConsensusReply reply;
    reply.done = reader.next<bool>();
    reply.leader = reader.text(rollout::kMaxNameLength);
    reply.body = reader.text(kMaxCallBytes);
    if (reader.remaining() < 2) return reply;  // sent by a version without the key-value store
    reply.history = reader.next<std::uint64_t>();
    reply.kv_store_update = reader.text(kMaxCallBytes);
    return reply;
}

std::string encode(const KnownRevision& known) {
    return fmt::format("{} {} {}", known.revision, known.kv_store, known.history);
}

KnownRevision decode_known_revision(const std::string& body) {
    KnownRevision known;
    std::istringstream in(body);
    if (!(in >> known.revision)) throw ConsensusError(ConsensusErrorCode::malformed_message, "no revision");
    in >> known.kv_store >> known.history;
    return known;
}

std::string ConsensusRequest::encode() const {
    base::MsgpackWriter out;
    return out.array(8)
        .add(static_cast<int>(kind), forced, static_cast<int>(member_kind), member, by, body, running.start,
             running.version)
        .bytes();
}

ConsensusRequest ConsensusRequest::decode(const std::string& bytes) {
    const base::MsgpackDocument document = base::parse_msgpack(bytes, kMaxElements, kMaxBodyBytes);
    base::MsgpackReader reader = document.reader(8);
    ConsensusRequest request;
    request.kind = reader.enumeration(RequestKind::take_leadership);
    request.forced = reader.next<bool>();
    request.member_kind = reader.enumeration(rollout::MemberKind::pop_cache);
    request.member = reader.text(rollout::kMaxNameLength);
    request.by = reader.text(rollout::kMaxNameLength);
    request.body = reader.text(kMaxBodyBytes);
    request.running.start = reader.next<std::uint64_t>();
    request.running.version = reader.text(rollout::kMaxNameLength);
    return request;
}

}  // namespace sumackeel::consensus
