// The README's example: one cache, one parent, one request.
#include <iostream>
#include <variant>
#include <vector>

#include "nettlethread/router.h"

int main() {
    using namespace nettlethread;
    Settings settings;
    settings.classes.push_back({.aim = 400'000, .give_up = 3'000'000});
    settings.parent_kind = 1;
    settings.pace_kb_per_s = 5'000;
    settings.joins = true;
    settings.most_tries = 3;
    settings.my_zone = 0;

    Router router(settings, 42);
    std::vector<Action> actions;
    ListNews news;
    news.entries.push_back({.cache = "10.0.0.1:80", .weight = 4, .zone = 0, .kind = 0});
    news.entries.push_back({.cache = "10.0.9.1:80", .weight = 20, .zone = 1, .kind = 1});
    router.handle(1'000'000, news, actions);

    actions.clear();
    Arrival request;
    request.id = "r1";
    request.object = "timetable";
    request.grace = 2'000'000;
    request.size_kb = 300;
    router.handle(1'002'000, request, actions);
    for (const Action& action : actions)
        if (const auto* serve = std::get_if<Serve>(&action)) {
            std::cout << serve->id << " -> " << serve->cache << ", filled from " << serve->source << '\n';
            return serve->cache == "10.0.0.1:80" && serve->source == "10.0.9.1:80" ? 0 : 1;
        }
    return 1;
}
