// Purges that one proxy learns outside of the replicated log, on their way to all others: which ones are new
// here, which ones still have to be proposed for the log, and which ones to pass on until they are in it.
//
// A purge is identified by its object or group and the time that the origin gave it, so proxies that follow
// change logs of their own recognize it. Takes events and times; nothing here reads a clock or a socket.
// Bounds: kMaxKnownPurges are recognized, for the retention time; kMaxPendingPurges wait for the log.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/msgpack.h"
#include "kv_store/kv_store.h"

namespace sumackeel::kv_store {

constexpr std::size_t kMaxKnownPurges = 20'000, kMaxPendingPurges = 1'000;
constexpr std::size_t kMaxRelayedPurges = 12, kMaxRelayedBytes = 1'000;  // in one datagram

enum class PurgeSource { change_log, peer, replicated_log };
const char* name_of(PurgeSource source);

// The part of this proxy in the replicated log. The leader proposes a purge at once. Voters leave it the time
// to do so, and other members the time to hear of it, so that a purge that all hear of is proposed once.
enum class ConsensusRole { leader, voter, follower };

class PurgeExchange {
  public:
    // `retention`: for how long a copy from before a purge may exist.
    explicit PurgeExchange(Micros retention) : retention_(retention) {}

    // Returns whether the purge was not known here. One that did not come from the log is pending from now
    // on.
    bool learn(const Purge& purge, PurgeSource source, Micros now);
    // The pending purges to propose now. Each is returned again after a while for as long as it is pending.
    std::vector<Purge> take_due(ConsensusRole role, Micros now);
    // When take_due() next returns something; no value if nothing is pending.
    std::optional<Micros> next_due(ConsensusRole role) const;
    // The oldest pending purges that fit into one datagram beside what else it carries.
    std::vector<Purge> to_relay() const;
    std::size_t pending_count() const { return pending_.size(); }
    // Purges that were not passed on because too many were pending.
    std::uint64_t not_passed_on() const { return not_passed_on_; }

  private:
    struct Pending {
        Purge purge;
        Micros learned_at = 0;
        std::optional<Micros> proposed_at;
    };
    struct Known {
        std::string identity;
        Micros learned_at = 0;
    };
    static Micros due_at(const Pending& pending, ConsensusRole role);
    void forget_outdated(Micros now);
    void stop_pending(const std::string& identity);

    const Micros retention_;
    std::unordered_map<std::string, std::uint64_t> known_;  // the number of the pending purge; 0: not pending
    std::deque<Known> known_by_age_;                        // the oldest first
    std::map<std::uint64_t, Pending> pending_;              // by number, the oldest first
    std::uint64_t next_number_ = 1;
    std::uint64_t not_passed_on_ = 0;
};

// Whether no copy from before the purge is left, judged by how much later the newest purge of the log is.
// Both the origin's and the leader's times have to say so, as either clock may have been set.
bool is_outdated(const Purge& purge, const Purge& newest, Micros retention);

// The list as one value of a message between members. read_purges() throws base::DecodeError.
void pack_purges(base::MsgpackWriter& out, const std::vector<Purge>& purges);
std::vector<Purge> read_purges(base::MsgpackReader& reader);
// The list as a message of its own; empty for no purges.
std::string encode_purges(const std::vector<Purge>& purges);
std::vector<Purge> decode_purges(std::string_view bytes);

}  // namespace sumackeel::kv_store
