// One voter of the replicated log: runs the raft library (log, disk, elections) on this loop and holds the
// replicated state machines. The owner decides who may vote and what is proposed.
//
// Guarantees: a proposal reported as committed is on disk at a majority of voters; no callback runs after
// close_now() has returned; the lock of the log directory is held from open() until the log is closed, so
// that two processes never write to one log; a log whose disk fails is closed and never used again.
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

// How a voter without a log starts.
enum class LogStart : std::uint8_t {
    bootstrap,  // writes the first entry: the voters named in the operator's file
    join,       // a log exists already; the leader adds this voter and sends it the log
};

class RaftNode {
  public:
    // No value: not committed while this voter was the leader. It may have been committed nevertheless.
    using ResultCallback = std::function<void(std::optional<rollout::CommandResult>)>;
    struct Hooks {
        const config::Consensus& setup;                          // always the current settings
        const std::map<std::string, std::string>& known_voters;  // addresses by name, including former voters
        std::string marker_directory;  // holds the marker that this voter has had a log
        std::function<std::string(const std::string&)>
            reachable_address;                                   // maps an address to one reachable here
        std::function<bool(const std::string& voter)> is_alive;  // according to cluster membership
        std::function<void()> state_changed, kv_store_changed;
        std::function<void(std::uint64_t history)> newer_history_found;  // in another voter's log
        std::function<void()> failed;  // the log can't be written and was closed
    };

    RaftNode(net::Loop& loop, const MessageCodec& codec, const std::string& name, Hooks hooks);
    ~RaftNode();
    RaftNode(const RaftNode&) = delete;
    RaftNode& operator=(const RaftNode&) = delete;

    // Locks the directory and starts. Returns an empty string on success, otherwise the error; the node must
    // be closed then. Throws ConsensusError if a forced start can't read the log's history.
    std::string open(LogStart start);
    // True if there was a log before; the votes recorded in it are lost with it.
    bool has_lost_log() const;
    // True if open() failed because the entries or snapshots on disk can't be read.
    bool is_log_unreadable() const;
    // Stops voting for good and closes.
    void stop();
    bool stopped() const;
    // Starts closing; the library completes its pending work on the loop.
    void close();
    bool closing() const;  // true while the library is open or still closing
    // Closes synchronously by running the loop until it is done. Must not be called from a callback of the
    // loop.
    void close_now();
    bool is_disk_stuck() const;  // if so, close_now() would block on it

    bool is_voter() const;
    bool is_leader() const;
    std::string leader() const;  // a name; empty if none is known
    // True if this voter is the leader and has applied everything that was in its log when it was elected,
    // and thereby everything committed before.
    bool is_caught_up_leader() const;
    // The log entries that this voter has on disk, and those applied to its state, up to these indices. None:
    // the log lacks entries that this voter once acknowledged, or is being replaced by a snapshot.
    std::optional<std::uint64_t> last_stored() const;
    std::uint64_t last_applied() const;
    std::vector<std::string> voters() const;  // names; empty for a voter not in known_voters
    std::uint64_t history() const;            // of the log, see RaftDirectory

    const rollout::State& state() const;
    const kv_store::State& kv_store() const;

    // To be called once a second. On the leader: moves the log's voters one step closer to those named in the
    // operator's file.
    void reconcile_voters();
    // False: this voter may not propose now, and `done` is not called.
    [[nodiscard]] bool propose(const std::string& command, ResultCallback done);
    // Commits an empty entry: `done` gets true once a majority has it and this voter, still the leader, has
    // applied everything that was proposed before. It may be called from within this call.
    void confirm_leadership(std::function<void(bool confirmed)> done);
    std::uint64_t term() const;
    // Linearizable: sees everything committed before the call. The result is `granted` with version and
    // value, or `none`.
    void read(const std::string& key, ResultCallback done);
    // The result is `granted` with the term once `to` is the leader, or `rejected` if `to` is not a voter.
    void transfer_leadership(const std::string& to, ResultCallback done);

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace sumackeel::consensus
