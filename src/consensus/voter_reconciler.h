// Reconciles the voters of the replicated log with those named in the operator's file (on the leader, one
// configuration change at a time), and transfers leadership.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "config/operator.h"
#include "consensus/raft_library.h"

namespace sumackeel::consensus {

// The library's id of a voter: a digest of its name, never 0.
raft_id raft_id_of(const std::string& name);

class VoterReconciler {
  public:
    struct Options {
        std::string self;
        const config::Consensus& setup;                          // always the current settings
        const std::map<std::string, std::string>& known_voters;  // addresses by name, including former voters
        std::function<bool(const std::string& voter)> is_alive;  // according to cluster membership
    };
    // `raft` must outlive this object.
    VoterReconciler(raft& raft, Options options);
    VoterReconciler(const VoterReconciler&) = delete;
    VoterReconciler& operator=(const VoterReconciler&) = delete;
    ~VoterReconciler() = default;

    // Leader only: starts the next change if one is due and none is in progress. Voters are added before
    // others are removed.
    void reconcile();
    // Leader only. `done` is called once, even if the library rejects the transfer. If `to` is 0, the voter
    // with the longest log is chosen.
    void transfer_leadership(raft_id to, std::function<void()> done);
    // True while a change or a transfer is in progress.
    bool busy() const { return busy_; }

    // Names in alphabetical order; empty for a voter not in known_voters.
    std::vector<std::string> voters() const;
    std::string name_of(raft_id id) const;

  private:
    bool add_missing_voter();
    void remove_former_voter();
    bool is_safe_to_remove(const raft_server& voter) const;
    // `start` makes the library's call; its signature is int(raft_change*, raft_change_cb).
    template <typename Start>
    void begin_change(const std::string& description, Start start);

    raft& raft_;
    const Options options_;
    bool busy_ = false;
    raft_change change_{};
    struct raft_transfer transfer_ {};
    std::function<void()> transfer_done_;
};

}  // namespace sumackeel::consensus
