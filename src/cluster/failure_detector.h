// SWIM's failure detector: pings in shuffled rounds, indirect pings through other members, and pings on
// behalf of others. Internal to src/cluster.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/outbox.h"
#include "cluster/suspicion_tracker.h"

namespace sumackeel::cluster {

class FailureDetector {
  public:
    FailureDetector(LocalState& local, MemberTable& members, SuspicionTracker& suspicions, Outbox& outbox)
        : local_(local), members_(members), suspicions_(suspicions), outbox_(outbox) {}

    // When the next turn is due; a turn pings the next member of the round, and a few chosen by their state.
    Micros next_turn() const { return next_turn_; }
    void schedule_turn(Micros at) { next_turn_ = at; }
    void run_turn();
    std::uint64_t turn() const { return turn_; }  // number of the latest turn
    // Handles the pings in flight whose deadline has passed: asks relays, or ends the ping.
    void check_pings();
    // Discards all pings in flight: this process has paused, and acks may have been lost in the meantime.
    void cancel_pings() { pings_.clear(); }
    // The earliest moment at which check_pings() or run_turn() has something to do.
    Micros next_deadline() const;

    // Inserts a new member at a random position of the current round.
    void add_to_round(const std::string& member);
    // Pings the subject on behalf of `sender`. Returns when the ping ends; none: the request was refused.
    std::optional<Micros> on_ping_request(const Member& sender, const Datagram& request);
    void on_ack(Member& sender, const Datagram& ack);
    void on_nack(const Datagram& nack);

  private:
    struct Ping {
        std::string target;
        Micros sent_at = 0;
        Micros indirect_at = 0;  // when relays are asked
        Micros ends_at = 0;
        std::vector<std::string> relays;  // members asked to ping the target
        int nacks = 0;
        bool relays_asked = false;
        std::string requester;             // of a ping on behalf of another member; empty: own ping
        std::uint64_t request_number = 0;  // the requester's number

        bool is_own() const { return requester.empty(); }
        Micros deadline() const;
        bool has_relay(const std::string& name) const;
    };
    using PingNumber = std::uint64_t;

    void ping(const std::string& target);
    void ping_next_of_round();
    void ping_one_suspected();
    void ping_failed_once();
    void ping_one_dead();
    void ping_one_of(const std::vector<std::string>& names);
    void refill_round();
    void ask_relays(PingNumber number, Ping& ping);
    void end_relayed_ping(const Ping& ping);
    void reply_to_requester(const Ping& ping, MessageKind kind);
    std::vector<std::string> choose_relays(const std::string& target, const std::string& preferred);
    void on_failed(const Ping& ping);
    void on_answered(Member& member, const std::string& relay);

    LocalState& local_;
    MemberTable& members_;
    SuspicionTracker& suspicions_;
    Outbox& outbox_;
    Micros next_turn_ = 0;
    std::uint64_t turn_ = 0;
    std::vector<std::string> round_;        // remaining members of the current round, the next one last
    std::vector<std::string> failed_once_;  // to be pinged again in the next turn
    std::map<PingNumber, Ping> pings_;
    PingNumber last_number_ = 0;
};

}  // namespace sumackeel::cluster
