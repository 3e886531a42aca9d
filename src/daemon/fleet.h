// The fleet as the daemon lives with it: one view, fed by the configuration, the list on disk and the change
// logs, whose changes go to the pool of connections and into the module; and the list kept on disk.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "config/config.h"
#include "config/operator.h"
#include "core/core.h"
#include "feed/feed.h"
#include "membership/view.h"
#include "net/loop.h"
#include "saved_list/keeper.h"
#include "upstream/pool.h"

namespace sumackeel::daemon {

class Fleet {
  public:
    Fleet(net::Loop& loop, net::Budget& sockets, core::Core& core, upstream::Pool& pool,
          const config::Config& config, const config::Operator& setup);
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // The configuration was read anew: change logs may be elsewhere, and events may stand in it.
    void renew(const config::Config& config, const config::Operator& setup);
    void leaving();  // a last write, if there is something to write
    bool disk_busy() const { return keeper_ && keeper_->writing(); }
    const membership::View& view() const { return view_; }
    // Taken out by the operators: told to the module as draining whatever the change log says, until lifted.
    void set_bans(const std::set<std::string>& bans);
    // Purges that another proxy told, with their ages.
    void learn(const std::vector<membership::Purge>& purges);
    // Whoever started before now is taken to be cold since now.
    void all_cold();
    // The list was confirmed within the last `within`, or nobody is there to confirm it.
    bool sure(base::Micros within) const;
    void on_sure(std::function<void()> what) { on_sure_ = std::move(what); }
    bool listed(const std::string& id) const { return view_.find(id) != nullptr; }

  private:
    void start_keeping(const config::SavedList& list);
    void take_found(saved_list::Found found);
    void look_for_found();
    void hear(const config::Change& change, int log);
    void tell_purge(const membership::Purge& purge);
    void sure();
    void publish();
    void date_starts(config::Change& change);
    void seed(config::Change list);

    struct Start {
        base::UnixTime told;
        base::Micros moment = 0;
    };

    net::Loop& loop_;
    core::Core& core_;
    upstream::Pool& pool_;
    const config::Config& config_;
    membership::View view_;
    std::string site_;
    std::optional<saved_list::Loading> loading_;
    std::shared_ptr<base::FolderLock> lock_;
    std::unique_ptr<saved_list::Keeper> keeper_;
    std::unique_ptr<feed::Feed> feed_;
    std::optional<base::Deadlines::Key> next_publish_;
    std::set<std::string> bans_;
    std::map<std::string, Start> starts_;  // by member
    base::Micros cold_since_ = 0;          // 0: nobody is taken to be cold
    std::function<void()> on_sure_;
};

}  // namespace sumackeel::daemon
