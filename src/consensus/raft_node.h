// One voter of the replicated log: the raft library's log, disk and elections on this loop, and the states
// that the log drives. Its owner decides who may vote and what is proposed.
//
// Guarantees: a proposal that was answered is on disk at a majority; no callback is called once close_now()
// has returned; the lock of the log's directory is held from open() until the log is closed, so no two
// processes write one log; a log whose disk fails is closed and never used again.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster_transport/message_codec.h"
#include "config/operator.h"
#include "kv_store/kv_store.h"
#include "net/loop.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

using cluster_transport::MessageCodec;

// How a voter without a log begins.
enum class LogStart : std::uint8_t {
    bootstrap,  // writes the first entry, the voters of the operator's file
    join,       // there is a log already; the leader adds this voter and sends it what it lacks
};

class RaftNode {
  public:
    // None: not committed while this one led. It may have been committed all the same.
    using ResultCallback = std::function<void(std::optional<rollout::CommandResult>)>;
    struct Hooks {
        const config::Consensus& setup;                          // as it stands now
        const std::map<std::string, std::string>& known_voters;  // by name: all that a file here has named
        std::string marker_directory;                            // shows whether this one has had a log
        std::function<std::string(const std::string&)> reachable_address;  // where it is reached from here
        std::function<bool(const std::string& voter)> is_alive;            // by the cluster's membership
        std::function<void()> state_changed, kv_store_changed;
        std::function<void(std::uint64_t history)> newer_history_found;  // another voter's log has it
        std::function<void()> failed;  // the log can't be written, and was closed
    };

    RaftNode(net::Loop& loop, const MessageCodec& codec, const std::string& name, Hooks hooks);
    ~RaftNode();
    RaftNode(const RaftNode&) = delete;
    RaftNode& operator=(const RaftNode&) = delete;

    // Locks the directory and starts. Empty on success, else the error; then this is to be closed. Throws
    // ConsensusError where a forced start can't read the log's history.
    std::string open(LogStart start);
    // It had a log before, and the votes recorded in it are lost with it.
    bool has_lost_log() const;
    // open() failed since the entries or snapshots on disk can't be read.
    bool is_log_unreadable() const;
    // Votes no more, and closes.
    void stop();
    bool stopped() const;
    // Begins to close; what the library still has to finish, it finishes on the loop.
    void close();
    bool closing() const;  // the library is open, or has not finished closing
    // Closes at once, and runs the loop until that is done. Not from within a callback of the loop.
    void close_now();
    bool is_disk_stuck() const;  // close_now() would wait for it

    bool is_voter() const;
    bool is_leader() const;
    std::string leader() const;  // a name; empty: none is known
    // It leads, and all that was in its log when it began to lead is applied: with that, all that was ever
    // committed before.
    bool leads_caught_up() const;
    std::vector<std::string> voters() const;  // an empty name: one that no file here has named
    std::uint64_t history() const;            // of the log, see RaftDirectory

    const rollout::State& state() const;
    const kv_store::State& kv_store() const;

    // Once a second: as the leader, brings the log's voters nearer to those of the operator's file.
    void reconcile_voters();
    void propose(const std::string& command, ResultCallback done);
    // Linearizable: sees all that was committed before the call. `granted` with version and value, or `none`.
    void read(const std::string& key, ResultCallback done);
    // `granted` with the term once `to` leads, `rejected` where it does not vote.
    void transfer_leadership(const std::string& to, ResultCallback done);

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace sumackeel::consensus
