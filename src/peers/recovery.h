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
#include "base/generations.h"
#include "config/operator.h"
#include "net/latest_on_disk.h"
#include "net/loop.h"
#include "peers/peers.h"
#include "recovery/budget.h"
#include "recovery/kept.h"
#include "recovery/ladder.h"

namespace sumackeel::peers {

class Recovery {
  public:
    struct Told {  // a purge, by its age
        std::string object;
        int group = 0;
        base::Micros age = 0;
    };
    struct Hooks {
        std::function<std::vector<Told>()> purges;            // to tell others
        std::function<void(const std::vector<Told>&)> learn;  // told by others
        std::function<bool()> sure;                           // the list was confirmed just now
        std::function<std::size_t()> proxies;                 // as many as are counted
        std::function<void(recovery::Stage from)> entered;    // another stage
    };

    // Reads the folder; one that does not answer counts as empty. `elects`: there is an agreed log.
    // `cleared_within`: after a purge no box has an older copy. Peers outlive this.
    Recovery(net::Loop& loop, Peers& peers, const config::Recovery& setup, bool elects,
             std::vector<double> worths, base::Micros cleared_within, std::uint64_t seed, Hooks hooks);
    ~Recovery();
    Recovery(const Recovery&) = delete;
    Recovery& operator=(const Recovery&) = delete;

    const recovery::Kept& kept() const { return kept_; }
    // Goes to disk; where that fails it is logged and tried again until it is there.
    void keep(const std::set<std::string>& bans, const std::set<std::string>& leased, bool drain);
    net::LatestOnDisk& disk() { return writes_; }
    bool disk_busy() const { return writes_.writing(); }
    const recovery::Ladder& ladder() const { return ladder_; }
    void listed();
    void led(bool leader);
    void go(recovery::Stage stage, const std::string& by);

    // None: let through. Else when to come back.
    std::optional<base::Micros> turn_away(const recovery::Asked& asked);
    void ended(std::uint64_t key, recovery::Took took) { budget_.ended(key, took); }
    // The oldest copy that will do, as an age; 0: any.
    base::Micros oldest() const;
    std::string as_json() const;

  private:
    void read();
    void write();
    void tick();
    void ask();
    void heard(const std::string& from, const std::string& body);
    std::string answer() const;
    void follow(recovery::Stage before);
    static base::Micros steady();

    net::Loop& loop_;
    Peers& peers_;
    const config::Recovery setup_;
    const base::Micros cleared_within_;
    Hooks hooks_;
    struct Found {
        recovery::Kept kept;
        std::vector<std::string> aside;  // files that can't be used, each with the reason
    };
    // The folder's files. One thread at a time: the one that reads at the start, then the writer's.
    struct Folder {
        explicit Folder(const std::string& at) : files(at, "kept-", ".sumkept"), path(at) {}
        base::Generations files;
        std::string path;
        std::mutex in_use;
        std::unique_ptr<base::FolderLock> lock;
        std::uint64_t generation = 0;
        std::atomic<std::uint64_t> good = 0;
        Found read();
        std::string put(const std::string& packed);
    };
    std::shared_ptr<Folder> folder_;
    net::LatestOnDisk writes_;
    recovery::Kept kept_;
    recovery::Ladder ladder_;
    recovery::Budget budget_;
    base::Micros unsure_since_ = 0, members_kept_ = 0, asked_ = 0;
    std::size_t next_ = 0;  // whom to ask
    std::vector<std::string> aside_;
    std::vector<std::string> hands_;  // operators', the newest last
    std::uint64_t asks_ = 0, answers_ = 0;
    std::optional<base::Deadlines::Key> next_tick_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::peers
