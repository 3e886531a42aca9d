// What goes between those that ask and the voters of the agreed log: MessagePack over the group's streams.
// Each reader throws std::runtime_error on bytes that are none.
#pragma once

#include <cstdint>
#include <sstream>
#include <stdexcept>
#include <string>

#include "base/msgpack.h"
#include "cluster_transport/message_codec.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

using cluster_transport::kMaxCallBytes;

// What somebody wants of the leader.
enum class RequestKind : std::uint8_t {
    request_lease,
    return_lease,
    upgrade_lease,
    release_command,
    change,
    read,
    take_leadership
};
constexpr std::size_t kMaxBodyBytes = 1 << 20;

// Of a voter to one that asked: whether it could, who leads, and what came of it.
struct ConsensusReply {
    bool done = false;
    std::string leader, body;
    std::uint64_t history = 0;         // of the voter's log
    std::string kv_store_update = {};  // of a state that was asked for: what is new there
};

inline std::string encode(const ConsensusReply& said) {
    base::MsgpackWriter out;
    return out.array(5).add(said.done, said.leader, said.body, said.history, said.kv_store_update).bytes();
}

inline ConsensusReply decode_reply(const std::string& body) {
    const base::MsgpackDocument whole = base::parse_msgpack(body, 16, kMaxCallBytes);
    base::MsgpackReader at = whole.reader(3);
    ConsensusReply said;
    said.done = at.next<bool>(), said.leader = at.text(rollout::kMaxNameLength);
    said.body = at.text(kMaxCallBytes);
    if (at.remaining() < 2) return said;  // of the version before the registry
    said.history = at.next<std::uint64_t>(), said.kv_store_update = at.text(kMaxCallBytes);
    return said;
}

// Which state somebody has: "REVISION REGISTRY HISTORY"; the first alone of the version before the registry.
struct KnownRevision {
    std::uint64_t revision = 0, kv_store = 0, history = 0;
};
inline KnownRevision decode_known_revision(const std::string& body) {
    KnownRevision has;
    std::istringstream in(body);
    if (!(in >> has.revision)) throw std::runtime_error("no revision");
    in >> has.kv_store >> has.history;
    return has;
}

// What somebody wants, with what only the asker knows.
struct ConsensusRequest {
    RequestKind kind = RequestKind::request_lease;
    bool forced = false;
    rollout::MemberKind member_kind = rollout::MemberKind::proxy;
    std::string member, by;
    std::string body;                      // an order, as the log holds it
    rollout::RunningVersion running = {};  // of a proxy that asks for itself

    std::string encode() const {
        base::MsgpackWriter out;
        return out.array(8)
            .add(static_cast<int>(kind), forced, static_cast<int>(member_kind), member, by, body,
                 running.start, running.version)
            .bytes();
    }
    static ConsensusRequest decode(const std::string& bytes) {
        const base::MsgpackDocument whole = base::parse_msgpack(bytes, 16, kMaxBodyBytes);
        base::MsgpackReader at = whole.reader(8);
        ConsensusRequest wanted;
        wanted.kind = at.enumeration(RequestKind::take_leadership), wanted.forced = at.next<bool>();
        wanted.member_kind = at.enumeration(rollout::MemberKind::pop_cache);
        wanted.member = at.text(rollout::kMaxNameLength), wanted.by = at.text(rollout::kMaxNameLength);
        wanted.body = at.text(kMaxBodyBytes);
        wanted.running.start = at.next<std::uint64_t>();
        wanted.running.version = at.text(rollout::kMaxNameLength);
        return wanted;
    }
};

}  // namespace sumackeel::consensus
