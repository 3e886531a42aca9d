// Keeps the state of this member confirmed: finds out, several times within the time for which a state may be
// used unconfirmed, that it includes everything committed when a query was sent.
//
// A voter asks all other voters and decides by QuorumRead. Other members ask one voter, and count their state
// as confirmed when that voter's was, if theirs is as new. Ages count from the moment before a query is sent,
// by the clock of this loop, so that a late answer confirms nothing that is newer than its query.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "consensus/consensus_messages.h"
#include "consensus/local_voter.h"
#include "consensus/purge_relay.h"
#include "consensus/quorum_read.h"
#include "consensus/state_follower.h"
#include "consensus/state_view.h"
#include "net/loop.h"

namespace sumackeel::consensus {

class StateConfirmer {
  public:
    struct Context {
        net::Loop& loop;
        ClusterTransport& transport;
        const config::Consensus& setup;  // always the current settings
        const LocalVoter& voter;
        const StateView& view;
        const PurgeRelay& purge_relay;
        StateFollower& follower;
    };
    // Everything that the context refers to must outlive this object. `max_age`: how old the confirmation of
    // a state may be when it is used.
    StateConfirmer(Context context, base::Micros max_age);
    ~StateConfirmer() { close(); }
    StateConfirmer(const StateConfirmer&) = delete;
    StateConfirmer& operator=(const StateConfirmer&) = delete;

    // Asks now and then repeatedly, until close().
    void start();
    void close();

  private:
    void tick();
    base::Micros interval() const;
    // The voters to ask next.
    std::vector<std::string> targets();
    std::string next_single_target();
    void on_reply(const std::string& from, std::uint64_t number, const std::string& body);
    // Confirms this member's state by the majority's answers, if it is a voter.
    void evaluate();
    // Confirms it by that of `voter`, whose state was confirmed before `asked_at`.
    void confirm_by(const std::string& voter, base::Micros asked_at, const ConfirmReply& reply);
    void fetch_state(const std::string& voter);
    void log_transitions();
    // By the log of this member; empty if it is not a voter, or its log has no configuration yet.
    std::vector<std::string> current_voters() const;
    const std::string& self() const { return context_.transport.membership().self().name; }

    Context context_;
    const base::Micros max_age_;
    QuorumRead reads_;
    std::uint64_t history_ = 0;     // that the open queries are about
    std::string target_;            // of a member that asks one voter
    bool target_answered_ = false;  // since it was asked last
    std::size_t next_target_;       // among the configured voters
    base::Micros next_fetch_at_ = 0;
    bool is_confirmed_ = false;  // when logged last
    std::optional<base::TimerQueue::Key> timer_;
};

}  // namespace sumackeel::consensus
