// Example from the README: one cache, one parent, one request.
#include <iostream>
#include <variant>
#include <vector>

#include "routing/router.h"

int main() {
    using namespace sumackeel::routing;
    Settings settings;
    settings.classes.push_back({.latency_objective = 400'000, .deadline = 3'000'000});
    settings.parent_kind = 1;
    settings.transfer_rate_kb_per_s = 5'000;
    settings.coalescing_allowed = true;
    settings.max_attempts = 3;
    settings.own_zone = 0;

    Router router(settings, 42);
    std::vector<Action> actions;
    EndpointUpdate update;
    update.endpoints.push_back({.name = "10.0.0.1:80", .weight = 4, .zone = 0, .kind = 0});
    update.endpoints.push_back({.name = "10.0.9.1:80", .weight = 20, .zone = 1, .kind = 1});
    router.handle(1'000'000, update, actions);

    actions.clear();
    RequestReceived request;
    request.id = "r1";
    request.object = "timetable";
    request.time_left = 2'000'000;
    request.size_kb = 300;
    router.handle(1'002'000, request, actions);
    for (const Action& action : actions)
        if (const auto* forward = std::get_if<Forward>(&action)) {
            std::cout << forward->id << " -> " << forward->endpoint << ", filled from " << forward->source
                      << '\n';
            return forward->endpoint == "10.0.0.1:80" && forward->source == "10.0.9.1:80" ? 0 : 1;
        }
    return 1;
}
