// Who votes on the replicated log: changes by the leader, one at a time, until the log's voters are those of
// the operator's file; and the transfer of leadership.
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
        const config::Consensus& setup;                          // as it stands now
        const std::map<std::string, std::string>& known_voters;  // by name: all that a file here has named
        std::function<bool(const std::string& voter)> is_alive;  // by the cluster's membership
    };
    // `raft` outlives this.
    VoterReconciler(raft& raft, Options options);
    VoterReconciler(const VoterReconciler&) = delete;
    VoterReconciler& operator=(const VoterReconciler&) = delete;
    ~VoterReconciler() = default;

    // Of a leader: begins the next change, if one is due and none is under way. Voters are added before
    // others are removed.
    void reconcile();
    // Of a leader; `done` is called once, also where the library rejects the transfer. `to`: 0 for the voter
    // whose log is the longest.
    void transfer_leadership(raft_id to, std::function<void()> done);
    // A change or a transfer is under way.
    bool busy() const { return busy_; }

    // In alphabetical order; an empty name: one that no file here has named.
    std::vector<std::string> voters() const;
    std::string name_of(raft_id id) const;

  private:
    bool add_missing_voter();
    void remove_former_voter();
    bool is_safe_to_remove(const raft_server& voter) const;
    // `start`: int(raft_change*, raft_change_cb), the library's call.
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
