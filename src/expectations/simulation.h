// Simulates a scenario on a virtual clock: the real Router of one proxy, an emulated fleet that responds to
// it, and an observer that sees each decision. A scenario always gives the same run, also with others in
// parallel.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "expectations/fault_scenario.h"

namespace sumackeel::expectations {

// One attempt that the router requested.
struct Decision {
    Micros at = 0;    // since the scenario's start
    int request = 0;  // SimulatedRequest::number
    int attempt = 0;  // from 0
    int target = -1,
        source = -1;  // member indices; source -1: no fill (or from the target itself); -2: not in the fleet
    int rank = 0;
    bool may_have_run = false;  // an earlier attempt may have been executed
    Micros first_at = 0;        // time of the request's first attempt
    int first_target = -1;
};

enum class RequestOutcome { served, rejected, failed, unanswered };
const char* name_of(RequestOutcome outcome);

// The state of a member as the proxy was notified of it, and since when.
struct NotifiedStateSince {
    NotifiedState notified = NotifiedState::up;
    Micros since = 0;  // time of the notification
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
    virtual void on_decision(const SimulatedRequest& request, const Decision& decision,
                             const std::vector<NotifiedStateSince>& notified) = 0;
    virtual void on_request_finished(const SimulatedRequest& request, const RequestResult& result,
                                     const std::vector<NotifiedStateSince>& notified) = 0;
    // For replays: a description of each input event and each resulting action.
    virtual void step(Micros at, const std::string& description) {
        static_cast<void>(at), static_cast<void>(description);
    }
    virtual bool wants_steps() const { return false; }
    // True ends the run early.
    virtual bool enough() const { return false; }
};

// `requests` have to be ordered by time.
void simulate(const Scenario& scenario, const FleetModel& fleet,
              const std::vector<SimulatedRequest>& requests, SimulationObserver& observer);

}  // namespace sumackeel::expectations
