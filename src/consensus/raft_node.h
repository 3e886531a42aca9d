// One of those that vote on the agreed log: the raft library's log, disk and elections on this loop, and the
// states that the log drives. Who may vote and what is proposed is decided by whoever owns it.
//
// Promises: what `propose` answered is on disk at a majority; nothing is told once it was shut. It is one
// process at a folder: the lock is held from `open` until the log is closed. A log whose disk fails is
// closed, never gone on with.
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

class RaftNode {
  public:
    // None: not agreed on in this one's lead. It may have been all the same.
    using ResultCallback = std::function<void(std::optional<rollout::CommandResult>)>;
    struct Hooks {
        const config::Consensus& setup;                        // as it stands now
        const std::map<std::string, std::string>& ever;        // all that it ever named as voters
        std::string marks;                                     // the folder that tells whether it had a log
        std::function<std::string(const std::string&)> reach;  // where an address is reached from here
        std::function<bool(const std::string&)> there;         // a voter is alive to the group
        std::function<void()> leaves, registered;              // another state of leaves, of the registry
        std::function<void(std::uint64_t)> older;  // another voter has a log of that later history
        std::function<void()> failed;              // the log can't be written, and is closed
    };

    RaftNode(net::Loop& loop, const MessageCodec& codec, const std::string& name, Hooks hooks);
    ~RaftNode();
    RaftNode(const RaftNode&) = delete;
    RaftNode& operator=(const RaftNode&) = delete;

    // Takes the folder and starts. Empty: done; else what went wrong, and this is to be closed. `joins`:
    // there is a log, so none is begun.
    std::string open(bool joins);
    // Reads all that is in the folder, for one that may hang: not on the loop. Empty: it can be opened; else
    // what is wrong with it.
    static std::string check_directory(const std::string& folder);
    // It had a log before, and what that voted for is lost with it.
    bool has_lost_log() const;
    // Votes no more, and closes.
    void stop();
    bool stopped() const;
    void close();
    bool closing() const;  // the library still has something to end, or was never told to
    // At once; the loop is run until that is done. Not from within a call of the loop.
    void close_now();
    bool is_disk_stuck() const;  // shut() would wait for it

    bool is_voter() const;
    bool is_leader() const;
    std::string leader() const;               // a name; empty: none is known
    bool caught_up() const;                   // what was in the log when a leader was met is applied
    std::vector<std::string> voters() const;  // an empty name: one that no file here has named
    std::uint64_t history() const;
    static std::string write_history(const std::string& folder, std::uint64_t history);

    const rollout::State& state() const;
    const kv_store::State& kv_store() const;

    // Of a leader, once a second: the log's voters are made those of the operator's file.
    void reconcile_voters();
    void propose(const std::string& command, ResultCallback told);
    // Behind all that was agreed on before it was asked for: `granted` with version and value, or `nothing`.
    void read(const std::string& key, ResultCallback told);
    void transfer_leadership(const std::string& to, ResultCallback told);

  private:
    struct Log;
    std::unique_ptr<Log> log_;
};

}  // namespace sumackeel::consensus
