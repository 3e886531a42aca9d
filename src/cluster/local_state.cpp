#include "cluster/local_state.h"

#include <algorithm>

namespace sumackeel::cluster {

Micros LocalState::jittered(Micros span) {
    return span - static_cast<Micros>(random() % static_cast<std::uint64_t>(std::max<Micros>(1, span / 10)));
}

void LocalState::degrade_health() {
    if (options.lifeguard) health = std::min(kWorstHealth, health + 1);
}

void LocalState::improve_health() {
    health = std::max(0, health - 1);
}

}  // namespace sumackeel::cluster
