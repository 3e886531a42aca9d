// The copy of the replicated state on a member that is not a voter or is partitioned from the other voters.
// It polls the voters in turn and keeps the newest state received.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/pending_calls.h"
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
    // `transport` and `setup` must outlive this object; `setup` always has the current settings.
    StateFollower(net::Loop& loop, ClusterTransport& transport, const config::Consensus& setup, Hooks hooks);
    ~StateFollower();
    StateFollower(const StateFollower&) = delete;
    StateFollower& operator=(const StateFollower&) = delete;

    // Polls now and then repeatedly, at an interval that grows with the number of members.
    void start_polling();
    void stop_polling();
    bool is_polling() const { return poll_timer_.has_value(); }
    // Polls that voter now, beside polls that wait for a late reply; none is not an error.
    void poll(const std::string& voter);
    // Round robin, shared by polls and requests.
    std::string next_voter();

    const rollout::State& state() const { return state_; }
    const kv_store::State& kv_store() const { return kv_store_; }
    // The history of the log that the copy is from; a later history invalidates the copy.
    std::uint64_t history() const { return history_; }
    void raise_history(std::uint64_t history) { history_ = std::max(history_, history); }
    // True if the state held here includes everything that had been committed at some point since this
    // process started, see StateView::is_known().
    bool is_known() const { return known_; }
    // `source` is the voter whose reply established this, or this member's name if its own log did.
    void mark_known(const std::string& source);
    void forget_known();
    // To be called when the state of this member is found to include everything committed before `at`.
    void confirm(base::Micros at, const std::string& source);
    // The latest time before which everything committed is included; no value if there is none.
    std::optional<base::Micros> confirmed_at() const { return confirmed_at_; }
    // The leader's name according to the last reply; empty if none is known.
    const std::string& leader() const { return leader_; }
    void set_leader(const std::string& leader) { leader_ = leader; }
    // Takes over whatever is newer in the state of `node`, which has stopped voting.
    void adopt(const RaftNode& node);
    // Discards the copy because it is from an older history.
    void reset(std::uint64_t history);
    // No callbacks run after this call.
    void close();

  private:
    base::Micros poll_interval() const;
    void end_poll(const std::string& voter, base::CallId poll);
    void abandon_polls();
    void on_reply(const std::string& voter, const std::string& body, base::Micros asked_at);
    void apply_kv_store_update(const std::string& update);
    void apply_state(const std::string& body);

    net::Loop& loop_;
    ClusterTransport& transport_;
    const config::Consensus& setup_;
    Hooks hooks_;
    rollout::State state_;
    kv_store::State kv_store_;
    std::uint64_t history_ = 0;
    bool needs_full_kv_store_ = false;  // an incremental update could not be applied to the copy
    bool known_ = false;
    std::string leader_;
    base::Micros known_from_;  // a confirmation of this time or later makes the state known
    std::optional<base::Micros> confirmed_at_;
    std::size_t next_voter_ = 0;
    std::map<std::string, base::PendingCalls> polls_;  // by voter
    std::optional<base::TimerQueue::Key> poll_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::consensus
