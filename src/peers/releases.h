// The shell of releases: members report to whoever leads, and the leader looks and proposes the step that
// src/rollout's watch says. Nothing runs but while a release is under way and not halted.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peers/agreed.h"
#include "peers/peers.h"
#include "rollout/watch.h"

namespace sumackeel::peers {

class Releases {
  public:
    // `tally`: what this process did since its start. `serving`: it is ready. Peers and agreed outlive this.
    Releases(net::Loop& loop, Peers& peers, Agreed& agreed, std::function<rollout::Tally()> tally,
             std::function<bool()> serving);
    ~Releases();
    Releases(const Releases&) = delete;
    Releases& operator=(const Releases&) = delete;

    void changed();  // the agreed state
    std::string as_json() const;

  private:
    void arm();
    void turn();
    std::vector<rollout::MemberNow> members() const;

    net::Loop& loop_;
    Peers& peers_;
    Agreed& agreed_;
    std::function<rollout::Tally()> tally_;
    std::function<bool()> serving_;
    rollout::Watch watch_;
    bool proposing_ = false;
    std::optional<base::Deadlines::Key> next_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::peers
