// Messages between members and the voters of the replicated log: MessagePack over the cluster transport's
// streams. Decoders throw base::DecodeError or ConsensusError on malformed input.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster_transport/message_codec.h"
#include "consensus/change_admission.h"
#include "kv_store/kv_store.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

using cluster_transport::kMaxCallBytes;

// The kinds of requests to the leader; the numeric values are the ones on the wire.
enum class RequestKind : std::uint8_t {
    request_lease,
    return_lease,
    upgrade_lease,
    release_command,
    change,
    read,
    take_leadership
};
const char* name_of(RequestKind kind);  // for the log
constexpr std::size_t kMaxBodyBytes = 1 << 20;

// The verbs of the calls, as sent on the wire.
constexpr const char* kRequestVerb = "wish";
constexpr const char* kStateVerb = "state";
constexpr const char* kConfirmVerb = "confirm";  // a query, see StateConfirmer

// A voter's reply to a request or to a state poll.
struct ConsensusReply {
    bool done = false;                 // request: `body` has a result; state poll: `confirmed_age` is known
    std::string leader, body;          // the leader's name, empty if unknown; an encoded result or state
    std::uint64_t history = 0;         // of the voter's log
    std::string kv_store_update = {};  // state poll: key-value changes since the known revision
    // State poll: see ConfirmReply. Versions without confirm queries never send it.
    std::optional<base::Micros> confirmed_age = {};
    // Request: set if `done` is false. Versions without admission tokens never send them.
    std::optional<Refusal> refusal = {};
    std::optional<AdmissionToken> token = {};
};
std::string encode(const ConsensusReply& reply);
ConsensusReply decode_reply(const std::string& body);

// A voter's reply to a confirm query.
struct ConfirmReply {
    std::uint64_t history = 0;  // of the voter's log
    // The last entry on the voter's disk; none: it lacks entries that it once acknowledged.
    std::optional<std::uint64_t> last_stored = {};
    std::uint64_t revision = 0, kv_store = 0;  // of the voter's state
    // The time since the voter's state was confirmed, see StateView::confirmed_at(); none: never.
    std::optional<base::Micros> confirmed_age = {};
    std::string leader = {};  // the leader's name by the voter's log; empty if unknown
    // Purges that the voter knows of and that are not in the log yet, see PurgeRelay.
    std::vector<kv_store::Purge> pending_purges = {};
};
std::string encode(const ConfirmReply& reply);
ConfirmReply decode_confirm_reply(const std::string& body);

// The revisions that a member already has when it polls for the state. On the wire "REVISION KV_REVISION
// HISTORY"; the version before the key-value store only sends the first.
struct KnownRevision {
    std::uint64_t revision = 0, kv_store = 0, history = 0;
};
std::string encode(const KnownRevision& known);
KnownRevision decode_known_revision(const std::string& body);

// A request to the leader, including the facts that only its sender knows.
struct ConsensusRequest {
    RequestKind kind = RequestKind::request_lease;
    bool forced = false;
    rollout::MemberKind member_kind = rollout::MemberKind::proxy;
    std::string member = {}, by = {};       // for a read, `member` is the key
    std::string body = {};                  // a command, as encoded in the log
    rollout::RunningVersion running = {};   // set by a proxy that requests its own lease
    std::optional<ChangeGuard> guard = {};  // none: sent by a version without admission tokens

    std::string encode() const;
    static ConsensusRequest decode(const std::string& bytes);
};

}  // namespace sumackeel::consensus
