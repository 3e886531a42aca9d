// One member of the replicated store. A primary named by the operator takes the writes, followers take them
// over by sequence or by snapshot; a write counts once a majority has it on disk. An epoch shuts out a
// primary that was replaced; only an operator's command replaces it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/operator.h"
#include "net/stream.h"
#include "store/log.h"

namespace Json {
class Value;
}

namespace sumackeel::store {

enum class Put { done, conflict, not_primary, unknown };  // unknown: no majority in time; it may yet count

class Member {
  public:
    using PutDone = std::function<void(Put, std::int64_t version)>;
    using Promoted = std::function<void(const std::string& why_not)>;

    Member(net::Loop& loop, net::Budget& budget, const config::Store& setup);
    ~Member();

    bool primary() const { return primary_; }
    std::int64_t epoch() const { return log_.promised().epoch; }
    int port() const { return listener_.port(); }
    std::optional<Entry> get(const std::string& key) const;
    // `expected`: only if the key has this version (0: no value yet); below 0: whatever it has.
    void put(const std::string& key, const std::string& value, std::int64_t expected, PutDone done);
    // Takes the lead with a new epoch if a majority follows and nothing acknowledged can be lost.
    void promote(Promoted done);
    // Where the others listen, for those who were set up before all ports were known.
    void place(const std::string& name, const std::string& address);

  private:
    struct Caller;  // a connection that came in
    struct Link;    // the primary's connection to one other member
    struct Vote;    // a promotion under way
    struct Pending {
        std::int64_t seq = 0, version = 0;
        PutDone done;
        base::Deadlines::Key by;
    };

    void lead(std::int64_t epoch);
    void step_down(std::int64_t epoch, const std::string& leader);
    void heard(Caller& caller, const Json::Value& message);
    void obey(Caller& caller, const Json::Value& message);
    void count();
    std::size_t majority() const { return (setup_.members.size()) / 2 + 1; }
    void clear_pending();

    net::Loop& loop_;
    net::Budget& budget_;
    config::Store setup_;
    Log log_;
    bool primary_ = false;
    std::int64_t seen_epoch_ = 0;  // of others, in a promotion that was refused
    std::vector<std::unique_ptr<Link>> links_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::vector<std::unique_ptr<Link>> dead_links_;
    std::vector<std::unique_ptr<Caller>> dead_callers_;
    std::vector<Pending> pending_;
    std::unique_ptr<Vote> vote_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::Listener listener_;
};

}  // namespace sumackeel::store
