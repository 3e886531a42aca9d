// The shell of the way back: asks other members and answers them, keeps what is trusted from before in a
// folder, and lets the ladder and the budget of src/recovery decide. Off unless the operator's file has
// [recovery].
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/files.h"
#include "base/generation_files.h"
#include "cluster_transport/cluster_transport.h"
#include "config/operator.h"
#include "net/latest_value_writer.h"
#include "net/loop.h"
#include "recovery/fill_budget.h"
#include "recovery/persisted_state.h"
#include "recovery/recovery_phases.h"

namespace sumackeel::recovery_coordinator {

using cluster_transport::ClusterTransport;
using cluster_transport::kMaxCallBytes;

class RecoveryCoordinator {
  public:
    struct RecentPurge {  // a purge, by its age
        std::string object;
        int group = 0;
        base::Micros age = 0;
    };
    struct Hooks {
        std::function<std::vector<RecentPurge>()> purges;            // to tell others
        std::function<void(const std::vector<RecentPurge>&)> learn;  // told by others
        std::function<bool()> sure;                                  // the list was confirmed just now
        std::function<std::size_t()> proxies;                        // as many as are counted
        std::function<void(recovery::Phase from)> entered;           // another stage
    };

    // Reads the folder; one that does not answer counts as empty. `elects`: there is an agreed log.
    // `cleared_within`: after a purge no box has an older copy. ClusterTransport outlive this.
    RecoveryCoordinator(net::Loop& loop, ClusterTransport& peers, const config::Recovery& setup, bool elects,
                        std::vector<double> worths, base::Micros cleared_within, std::uint64_t seed,
                        Hooks hooks);
    ~RecoveryCoordinator();
    RecoveryCoordinator(const RecoveryCoordinator&) = delete;
    RecoveryCoordinator& operator=(const RecoveryCoordinator&) = delete;

    const recovery::PersistedState& persisted() const { return persisted_; }
    // Goes to disk; where that fails it is logged and tried again until it is there.
    void persist(const std::set<std::string>& bans, const std::set<std::string>& leased, bool drain);
    net::LatestValueWriter& writer() { return writes_; }
    bool disk_busy() const { return writes_.writing(); }
    const recovery::RecoveryPhases& phases() const { return phases_; }
    void on_endpoints_confirmed();
    void on_leader_known(bool leader);
    void advance_to(recovery::Phase stage, const std::string& by);

    // None: let through. Else when to come back.
    std::optional<base::Micros> admit(const recovery::RequestCost& asked);
    void on_request_finished(std::uint64_t key, recovery::FillSource took) {
        budget_.on_request_finished(key, took);
    }
    // The oldest copy that will do, as an age; 0: any.
    base::Micros max_copy_age() const;
    std::string as_json() const;

  private:
    void read();
    void write();
    void tick();
    void ask();
    void heard(const std::string& from, const std::string& body);
    std::string answer() const;
    void follow(recovery::Phase before);
    static base::Micros steady();

    net::Loop& loop_;
    ClusterTransport& peers_;
    const config::Recovery setup_;
    const base::Micros cleared_within_;
    Hooks hooks_;
    struct Found {
        recovery::PersistedState kept;
        std::vector<std::string> aside;  // files that can't be used, each with the reason
    };
    // The folder's files. One thread at a time: the one that reads at the start, then the writer's.
    struct Folder {
        explicit Folder(const std::string& at) : files(at, "kept-", ".sumkept"), path(at) {}
        base::GenerationFiles files;
        std::string path;
        std::mutex in_use;
        std::unique_ptr<base::DirectoryLock> lock;
        std::uint64_t generation = 0;
        std::atomic<std::uint64_t> good = 0;
        Found read();
        std::string put(const std::string& packed);
    };
    std::shared_ptr<Folder> folder_;
    net::LatestValueWriter writes_;
    recovery::PersistedState persisted_;
    recovery::RecoveryPhases phases_;
    recovery::FillBudget budget_;
    base::Micros unsure_since_ = 0, members_kept_ = 0, asked_ = 0;
    std::size_t next_ = 0;  // whom to ask
    std::vector<std::string> aside_;
    std::vector<std::string> hands_;  // operators', the newest last
    std::uint64_t asks_ = 0, answers_ = 0;
    std::optional<base::TimerQueue::Key> next_tick_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::recovery_coordinator
