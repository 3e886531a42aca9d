// The copy of the replicated state that a member holds which does not vote, or is cut off from the other
// voters: it polls one voter after another and keeps the newest that it has received.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "consensus/raft_node.h"
#include "kv_store/kv_store.h"
#include "net/loop.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

using cluster_transport::ClusterTransport;

class StateFollower {
  public:
    struct Hooks {
        std::function<void(const rollout::State&)> state_changed;
        std::function<void()> kv_store_changed;
    };
    // `transport` and `setup`, as it stands now, outlive this.
    StateFollower(net::Loop& loop, ClusterTransport& transport, const config::Consensus& setup, Hooks hooks);
    ~StateFollower();
    StateFollower(const StateFollower&) = delete;
    StateFollower& operator=(const StateFollower&) = delete;

    // Polls now, and from then on at an interval that grows with the number of members.
    void start_polling();
    void stop_polling();
    bool is_polling() const { return poll_timer_.has_value(); }
    // Polls that one now; no answer within `timeout` is no error.
    void poll(const std::string& voter, base::Micros timeout);
    // Round robin, for polls and requests alike.
    std::string next_voter();

    const rollout::State& state() const { return state_; }
    const kv_store::State& kv_store() const { return kv_store_; }
    // Of the log that the copy is from; a later one makes the copy void.
    std::uint64_t history() const { return history_; }
    void raise_history(std::uint64_t history) { history_ = std::max(history_, history); }
    // What this member holds is all that had been committed at some moment since the start: see
    // StateView::is_known().
    bool is_known() const { return known_; }
    // By the reply of `source`, a voter that knows, or by this member's own log where that is its own name.
    void mark_known(const std::string& source);
    void forget_known() { known_ = false; }
    // The leader's name by the last reply; empty: none is known.
    const std::string& leader() const { return leader_; }
    void set_leader(const std::string& leader) { leader_ = leader; }
    // How long ago a voter that knows a leader last replied; none: never.
    std::optional<base::Micros> confirmed_age() const;

    // Takes over what is newer in a voter's own log, of a node that votes no more.
    void adopt(const RaftNode& node);
    // Drops the copy: it was of an older history.
    void reset(std::uint64_t history);
    // No callbacks from now on.
    void close();

  private:
    base::Micros poll_interval() const;
    void on_reply(const std::string& voter, const std::string& body);
    void apply_kv_store_update(const std::string& update);
    void apply_state(const std::string& body);

    net::Loop& loop_;
    ClusterTransport& transport_;
    const config::Consensus& setup_;
    Hooks hooks_;
    rollout::State state_;
    kv_store::State kv_store_;
    std::uint64_t history_ = 0;
    bool needs_full_kv_store_ = false;  // an update did not fit on the copy
    bool known_ = false;
    std::string leader_;
    std::optional<base::Micros> confirmed_at_;
    std::size_t next_voter_ = 0;
    std::optional<base::TimerQueue::Key> poll_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::consensus
