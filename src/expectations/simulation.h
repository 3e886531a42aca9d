// Plays a world on a virtual clock: the real Router of one proxy, a fleet that answers it, and a watcher that
// sees each decision. The same world gives the same run, whatever runs beside it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "expectations/fault_scenario.h"

namespace sumackeel::expectations {

// One attempt that the router asked for.
struct Decision {
    Micros at = 0;    // from the world's start
    int request = 0;  // Ask::number
    int attempt = 0;  // from 0
    int target = -1,
        source = -1;  // members; source -1 or the target itself: no fill; -2: a name not in the fleet
    int rank = 0;
    bool may_have_run = false;  // an attempt before it may have run
    Micros first_at = 0;        // of the request's first attempt
    int first_target = -1;
};

enum class RequestOutcome { served, rejected, failed, unanswered };
const char* name_of(RequestOutcome ended);

// What the proxy was told of each member, and since when.
struct NotifiedStateSince {
    NotifiedState notified = NotifiedState::up;
    Micros since = 0;  // of `told`
};

struct RequestResult {
    int request = 0;
    RequestOutcome outcome = RequestOutcome::unanswered;
    int attempts = 0;
    Micros elapsed = 0;
};

class SimulationObserver {
  public:
    virtual ~SimulationObserver() = default;
    virtual void on_decision(const SimulatedRequest& ask, const Decision& decision,
                             const std::vector<NotifiedStateSince>& notified) = 0;
    virtual void on_request_finished(const SimulatedRequest& ask, const RequestResult& end,
                                     const std::vector<NotifiedStateSince>& notified) = 0;
    // For replays: each event that goes in and each action that comes out, in words.
    virtual void step(Micros at, const std::string& words) {
        static_cast<void>(at), static_cast<void>(words);
    }
    virtual bool wants_steps() const { return false; }
    // True: nothing further is of interest.
    virtual bool enough() const { return false; }
};

// `asks` in order of time.
void simulate(const Scenario& world, const FleetModel& fleet, const std::vector<SimulatedRequest>& asks,
              SimulationObserver& watcher);

}  // namespace sumackeel::expectations
