#include "consensus/consensus_messages.h"

#include <fmt/format.h>

#include <sstream>

#include "base/msgpack.h"
#include "consensus/consensus_error.h"
#include "kv_store/purge_exchange.h"

namespace sumackeel::consensus {

namespace {

constexpr std::size_t kMaxElements = 16;  // per message
constexpr std::size_t kMaxConfirmReplyBytes = 256;
constexpr std::int64_t kNone = -1;  // on the wire
// Array sizes as encoded by the first version that supported them; later versions append fields.
constexpr std::size_t kRequestSize = 8, kGuardSize = 5, kTokenSize = 4;

std::optional<std::int64_t> next_optional(base::MsgpackReader& reader) {
    const auto value = reader.next<std::int64_t>();
    return value < 0 ? std::nullopt : std::optional(value);
}

// An empty array if there is none.
void write(base::MsgpackWriter& out, const std::optional<AdmissionToken>& token) {
    out.array(token ? kTokenSize : 0);
    if (token) out.add(token->issuer.start, token->issuer.term, token->reading, token->sequence);
}

std::optional<AdmissionToken> read_token(base::MsgpackReader reader) {
    if (reader.remaining() == 0) return std::nullopt;
    AdmissionToken token;
    token.issuer.start = reader.next<std::uint64_t>();
    token.issuer.term = reader.next<std::uint64_t>();
    token.reading = reader.next<base::Micros>();
    token.sequence = reader.next<std::uint64_t>();
    return token;
}

void write(base::MsgpackWriter& out, const ChangeGuard& guard) {
    out.array(kGuardSize).add(guard.id.caller, guard.id.start, guard.id.number, guard.time_left);
    write(out, guard.token);
}

ChangeGuard read_guard(base::MsgpackReader reader) {
    ChangeGuard guard;
    guard.id.caller = reader.text(rollout::kMaxNameLength);
    guard.id.start = reader.next<std::uint64_t>();
    guard.id.number = reader.next<std::uint64_t>();
    guard.time_left = reader.next<base::Micros>();
    guard.token = read_token(reader.array(0));
    return guard;
}

}  // namespace

const char* name_of(RequestKind kind) {
    switch (kind) {
        case RequestKind::request_lease:
            return "request_lease";
        case RequestKind::return_lease:
            return "return_lease";
        case RequestKind::upgrade_lease:
            return "upgrade_lease";
        case RequestKind::release_command:
            return "release_command";
        case RequestKind::change:
            return "change";
        case RequestKind::read:
            return "read";
        case RequestKind::take_leadership:
            return "take_leadership";
    }
    return "?";
}

std::string encode(const ConsensusReply& reply) {
    base::MsgpackWriter out;
    out.array(reply.refusal         ? 8
              : reply.confirmed_age ? 6
                                    : 5)
        .add(reply.done, reply.leader, reply.body, reply.history, reply.kv_store_update);
    if (reply.refusal || reply.confirmed_age) out.add(reply.confirmed_age.value_or(kNone));
    if (reply.refusal) {
        out.add(static_cast<int>(*reply.refusal));
        write(out, reply.token);
    }
    return out.bytes();
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
    if (reader.remaining() > 0) reply.confirmed_age = next_optional(reader);
    if (reader.remaining() < 2) return reply;  // sent by a version without admission tokens
    reply.refusal = reader.enumeration(Refusal::undecided);
    reply.token = read_token(reader.array(0));
    return reply;
}

std::string encode(const ConfirmReply& reply) {
    const std::int64_t last_stored =
        reply.last_stored ? static_cast<std::int64_t>(*reply.last_stored) : kNone;
    base::MsgpackWriter out;
    out.array(reply.pending_purges.empty() ? 6 : 7)
        .add(reply.history, last_stored, reply.revision, reply.kv_store, reply.confirmed_age.value_or(kNone),
             reply.leader);
    if (!reply.pending_purges.empty()) kv_store::pack_purges(out, reply.pending_purges);
    return out.bytes();
}

ConfirmReply decode_confirm_reply(const std::string& body) {
    const base::MsgpackDocument document = base::parse_msgpack(body, kMaxElements, kMaxConfirmReplyBytes);
    base::MsgpackReader reader = document.reader(6);
    ConfirmReply reply;
    reply.history = reader.next<std::uint64_t>();
    reply.last_stored = next_optional(reader);
    reply.revision = reader.next<std::uint64_t>();
    reply.kv_store = reader.next<std::uint64_t>();
    reply.confirmed_age = next_optional(reader);
    reply.leader = reader.text(rollout::kMaxNameLength);
    if (reader.remaining() > 0) reply.pending_purges = kv_store::read_purges(reader);
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
    out.array(guard ? kRequestSize + 1 : kRequestSize)
        .add(static_cast<int>(kind), forced, static_cast<int>(member_kind), member, by, body, running.start,
             running.version);
    if (guard) write(out, *guard);
    return out.bytes();
}

ConsensusRequest ConsensusRequest::decode(const std::string& bytes) {
    const base::MsgpackDocument document = base::parse_msgpack(bytes, kMaxElements, kMaxBodyBytes);
    base::MsgpackReader reader = document.reader(kRequestSize);
    ConsensusRequest request;
    request.kind = reader.enumeration(RequestKind::take_leadership);
    request.forced = reader.next<bool>();
    request.member_kind = reader.enumeration(rollout::MemberKind::pop_cache);
    request.member = reader.text(rollout::kMaxNameLength);
    request.by = reader.text(rollout::kMaxNameLength);
    request.body = reader.text(kMaxBodyBytes);
    request.running.start = reader.next<std::uint64_t>();
    request.running.version = reader.text(rollout::kMaxNameLength);
    if (reader.remaining() > 0) request.guard = read_guard(reader.array(kGuardSize));
    return request;
}

}  // namespace sumackeel::consensus
