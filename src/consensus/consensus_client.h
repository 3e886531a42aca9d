// The agreed log: a few of the proxies vote (the raft library, on this loop), the others ask them. What it
// holds is the state of src/rollout, who may leave, and of src/registry, keys and purges. Off unless the
// operator's file has [agreed].
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "consensus/raft_node.h"
#include "kv_store/kv_store.h"
#include "net/background_task.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

using cluster_transport::ClusterTransport;
using cluster_transport::MessageCodec;

struct ConsensusRequest;

class ConsensusClient {
  public:
    using FleetView =
        std::function<std::vector<rollout::FleetMember>(rollout::MemberKind)>;  // as this member sees it now
    using StateCallback = std::function<void(const rollout::State&)>;
    // None: no majority answered in time. It may have been agreed on all the same; asking again tells.
    using ResultCallback = std::function<void(std::optional<rollout::CommandResult>)>;

    // Throws where the folder or the address can't be used. ClusterTransport must outlive this.
    // `wait_for_folder`: another process of this proxy may hold it until that one is told to end.
    ConsensusClient(net::Loop& loop, ClusterTransport& peers, const config::Consensus& setup,
                    bool wait_for_folder, FleetView world, StateCallback changed);
    ~ConsensusClient();
    // The operator's file was read anew: rules hold from the next ask on; who votes is changed by the leader,
    // one after another. The folder and the time of an election wait for the next start.
    void update_config(const config::Consensus& setup);
    ConsensusClient(const ConsensusClient&) = delete;
    ConsensusClient& operator=(const ConsensusClient&) = delete;

    // Each is told within a second, from the loop.
    void request_lease(rollout::MemberKind kind, const std::string& member, const std::string& by,
                       bool forced, ResultCallback told);
    void return_lease(rollout::MemberKind kind, const std::string& member, const std::string& by,
                      ResultCallback told);

    // A turn of the release under way, for whoever changes `member`.
    void request_upgrade_lease(const std::string& member, bool forced, ResultCallback told);
    void submit_release_command(const rollout::ReleaseCommand& order, ResultCallback told);
    // Of a leader alone.
    void submit_release_step(rollout::ReleaseStep step, ResultCallback told);
    // Of the registry; `granted` with the revision, or `refused` with why.
    void submit_change(const kv_store::Transaction& change, ResultCallback told);
    void submit_purge(const kv_store::Purge& purge, ResultCallback told);
    // What a key holds now, by the leader and a majority: `granted` with its version as the number and its
    // value as the reason, or `nothing`.
    void read(const std::string& key, ResultCallback told);
    // Makes this one the leader, if it votes: `granted` with the term, or `refused`.
    void take_leadership(ResultCallback told);
    const kv_store::State& kv_store() const;
    // Told after each change of it.
    void on_kv_store_change(std::function<void()> what) { registered_ = std::move(what); }
    // Of a leader: what is applied here is applied by all voters in touch at once, not with the next
    // heartbeat.
    void replicate_now();
    // Of one that does not vote: asks that member for what it has, now.
    void poll_now(const std::string& member);
    // How long ago what is known here was surely all that is agreed on; none: never since the start.
    std::optional<base::Micros> confirmed_age() const;

    // What a leave of it would be answered now, by what this one knows; none: nobody knows it.
    std::optional<rollout::CommandResult> explain(const std::string& member) const;
    bool is_leader() const;

    // What a proxy runs, by the freshest that is known here: its word in the group, or with its last turn.
    rollout::RunningVersion running_version_of(const cluster::MemberRecord& word) const;

    const rollout::State& state() const;
    bool is_known() const;  // the state was heard from a voter, or is a voter's own that has met a leader
    std::string leader() const;  // a member's name; empty: none is known
    std::string as_json() const;
    // Stops voting, and gives the folder back once the log is closed.
    void close();
    // The same at once; the loop is run until that is done. Nothing is told any more.
    void close_now();
    bool is_disk_stuck() const;  // shut() would wait for it

  private:
    struct PendingRequest;

    std::unique_ptr<RaftNode> make_voter();
    std::string command_of(const ConsensusRequest& wanted) const;
    void propose(const ConsensusRequest& wanted, ResultCallback done);
    void want(ConsensusRequest wanted, ResultCallback told);
    rollout::LeaseRequest ask_of(const ConsensusRequest& wanted) const;
    void pursue(std::shared_ptr<PendingRequest> wish);
    void later(std::shared_ptr<PendingRequest> wish);
    void settle(const std::shared_ptr<PendingRequest>& wish, std::optional<rollout::CommandResult> answer);
    void take(const std::string& from, const std::string& verb, const std::string& body,
              const ClusterTransport::Respond& say);
    void poll();
    void ask_state(const std::string& voter, base::Micros within);
    void stop_voting();
    void vote_later();
    void tend();
    void look_alone();
    void keep_own();
    void yield(std::uint64_t history);
    void set_aside(std::uint64_t history);
    void was_set_aside(const std::string& fault);
    void take_folder();
    bool votes() const;
    bool there(const std::string& voter) const;
    void hold(const std::string& answer);

    net::Loop& loop_;
    ClusterTransport& transport_;
    config::Consensus setup_;
    std::map<std::string, std::string> voters_ever_;  // by name: also those that the file named before
    FleetView world_;
    StateCallback changed_;
    net::BackgroundTask files_;            // what is done in the folder while no log is open there
    std::unique_ptr<RaftNode> raft_node_;  // null: this one does not vote
    rollout::State heard_;                 // of one that does not vote
    kv_store::State heard_registry_;
    bool ask_all_ = false;  // what was told of the registry does not fit on what is here
    std::uint64_t heard_history_ = 0;
    std::optional<base::Micros> heard_at_;  // when a voter that knows a leader last answered
    std::function<void()> registered_;
    bool known_ = false;
    std::string leader_;
    base::Micros led_at_ = 0;  // of one that votes: when it last knew a leader
    bool yielding_ = false;    // its log is of an older history, and is being set aside
    bool joins_ = false;       // named as a voter while it ran: it writes no first entry of its own
    std::size_t next_voter_ = 0;
    std::optional<base::TimerQueue::Key> poll_, tend_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::consensus
