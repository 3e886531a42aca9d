// Worlds: what goes wrong with a fleet while one proxy of one school is asked, as a list of events. Which
// worlds are tried is enumerated here, the same for the same fleet, settings and seed.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "expect/language.h"

namespace sumackeel::expect {

enum class Trouble {
    drain,        // told at `at`; it goes on answering
    dies,         // from `at` on connections are refused; told gone 2 s later
    vanishes,     // from `at` on it says nothing; told gone 2 s later
    back_cold,    // from `at` on it answers again, empty and at its coldest, and is told so at once
    fails_fills,  // as a source: refuses what it is asked for fills
    full,         // answers 'full'
    stale_report  // reports a load that is long over: full, though it is idle
};
const char* name_of(Trouble trouble);
std::optional<Trouble> trouble_of(const std::string& name);

struct Happening {
    Micros at = 0;  // from the world's start
    Trouble trouble = Trouble::drain;
    int member = -1;

    bool operator==(const Happening&) const = default;
};

struct Ask {
    Micros at = 0;  // from the world's start
    int number = 0;
    int service = 0;
    int object = 0;
    int part = 0;
    double size_kb = 0;

    bool operator==(const Ask&) const = default;
};
// As the proxy is asked for it; `group` is its group of 256.
std::string object_name(int object);
int group_of(int object);

struct World {
    int number = 0;
    std::string title;       // "all up", "s-1 dies", …
    int school = 0;          // zone of the proxy
    std::uint64_t seed = 0;  // of the router and the traffic
    std::vector<Happening> happenings;
};

std::vector<World> enumerate(const Fleet& fleet, const Suite& suite);
// The requests of a world, in order of time.
std::vector<Ask> traffic_of(const World& world, const Fleet& fleet, const Traffic& traffic);

}  // namespace sumackeel::expect
