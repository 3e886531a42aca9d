#include "recovery_coordinator/recovery_messages.h"

#include <algorithm>
#include <utility>

#include "base/msgpack.h"
#include "cluster_transport/message_codec.h"
#include "recovery/persisted_state.h"

namespace sumackeel::recovery_coordinator {

using base::Micros;
using cluster_transport::kMaxCallBytes;

namespace {

constexpr int kReplyVersion = 1;
constexpr std::size_t kMaxObjectLength = 64;
constexpr Micros kMicrosPerMs = 1'000;

}  // namespace

std::string encode(const RecoveryReply& reply) {
    base::MsgpackWriter out;
    out.array(8).add(kReplyVersion, static_cast<int>(reply.phase), reply.serving_fleet,
                     reply.purges_confirmed, reply.members_back, reply.members_before);
    out.array(reply.purges.size());
    for (const RecentPurge& purge : reply.purges)
        out.array(3).add(purge.object, purge.group, purge.age / kMicrosPerMs);
    out.array(reply.leased.size());
    for (const std::string& id : reply.leased) out.add(id);
    return out.bytes();
}

std::optional<RecoveryReply> decode_recovery_reply(const std::string& body) {
    const base::MsgpackDocument document = base::parse_msgpack(body, kMaxPurges, kMaxCallBytes);
    base::MsgpackReader reader = document.reader(7);
    if (reader.next<int>() != kReplyVersion) return std::nullopt;
    RecoveryReply reply;
    reply.phase = reader.enumeration(recovery::Phase::serving);
    reply.serving_fleet = reader.next<bool>();
    reply.purges_confirmed = reader.next<bool>();
    reply.members_back = reader.next<std::uint64_t>();
    reply.members_before = reader.next<std::uint64_t>();
    for (base::MsgpackReader list = reader.list(kMaxPurges); list.remaining() > 0;) {
        base::MsgpackReader item = list.array(3);
        RecentPurge purge;
        purge.object = item.text(kMaxObjectLength);
        purge.group = item.next<int>();
        purge.age = std::max<Micros>(0, item.next<Micros>()) * kMicrosPerMs;
        reply.purges.push_back(std::move(purge));
    }
    if (reader.remaining() == 0) return reply;  // sent by a version without leases
    for (base::MsgpackReader list = reader.list(recovery::kMaxNames); list.remaining() > 0;)
        reply.leased.insert(list.text(recovery::kMaxNameLength));
    return reply;
}

}  // namespace sumackeel::recovery_coordinator
