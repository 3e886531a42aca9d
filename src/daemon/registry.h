// The registry of the agreed log as the daemon lives with it: the words of `sumackeel store` and of
// `sumackeel purge`, purges told to the module, and what the store of earlier versions left on disk taken
// over once. Off unless the operator's file has [store].
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/operator.h"
#include "front_ops/front.h"
#include "net/loop.h"
#include "ops/calls.h"
#include "peers/agreed.h"
#include "peers/peers.h"
#include "store/desk.h"
#include "store/old_store.h"

namespace sumackeel::daemon {

class Registry {
  public:
    using Purged = std::function<void(const registry::Purge&)>;

    // Agreed and peers outlive this. `purged`: each purge once, heard just now, whenever it was told.
    Registry(net::Loop& loop, net::Budget& sockets, peers::Peers& peers, peers::Agreed& agreed,
             const config::Store& setup, Purged purged);
    ~Registry();
    Registry(const Registry&) = delete;
    Registry& operator=(const Registry&) = delete;

    std::optional<std::string> get(const std::string& key) const;
    // The oldest copy that will do, as an age; 0: any. One that has not heard for a while what is agreed on
    // may have missed a purge.
    base::Micros oldest() const;
    // Calls under /ops/purge. None: the answer comes later.
    std::optional<ops::Reply> take_call(const ops::Call& call, const front_ops::Later& later);
    int port() const { return desk_.port(); }

  private:
    void word(const Json::Value& question, const store::Desk::Answer& answer);
    void heard();
    void import();
    void import_next();
    void tell_news(const std::shared_ptr<std::vector<std::string>>& names);
    void progress(const front_ops::Later& later);

    net::Loop& loop_;
    peers::Peers& peers_;
    peers::Agreed& agreed_;
    const config::Store setup_;
    Purged purged_;
    base::Micros started_;
    std::uint64_t told_ = 0;  // the newest purge told to the module
    std::optional<store::OldStore> old_;
    std::optional<base::Deadlines::Key> next_import_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    store::Desk desk_;
};

}  // namespace sumackeel::daemon
