#include "routing/purge_log.h"

#include <algorithm>

namespace sumackeel::routing {
namespace {

std::string object_key(const std::string& object) {
    return "object " + object;
}

std::string group_key(int purge_group) {
    return "group " + std::to_string(purge_group);
}

}  // namespace

void PurgeLog::record(const Purge& purge) {
    const std::string key = purge.object.empty() ? group_key(purge.purge_group) : object_key(purge.object);
    Micros& at = purged_at_.touch(key);
    at = std::max(at, context_.now - purge.age);
}

Micros PurgeLog::purged_at(const Request& request) const {
    return last_purge(request.arrival.object, request.arrival.purge_group);
}

Micros PurgeLog::last_purge(const std::string& object, int purge_group) const {
    const Micros* of_object = purged_at_.find(object_key(object));
    const Micros* of_group = purged_at_.find(group_key(purge_group));
    return std::max(of_object ? *of_object : 0, of_group ? *of_group : 0);
}

// At least 1: 0 would allow any copy within the class's freshness lifetime.
Micros PurgeLog::age_limit(Micros now, const std::string& object, int purge_group) const {
    const Micros purged = last_purge(object, purge_group);
    return purged == 0 ? 0 : std::max<Micros>(1, now - purged);
}

Micros PurgeLog::max_age(const Request& request, bool accepts_stale) const {
    const ClassSettings& class_settings = class_of(context_.settings, request);
    const Micros age = accepts_stale ? class_settings.freshness_lifetime + class_settings.stale_grace : 0;
    const Micros since = age_limit(context_.now, request.arrival.object, request.arrival.purge_group);
    if (since == 0) return age;
    const Micros limit = age > 0 ? age : class_settings.freshness_lifetime;
    return limit > 0 ? std::min(limit, since) : since;
}

void PurgeLog::sweep() {
    purged_at_.sweep(
        [&](Micros at) { return context_.now - at > 2 * context_.settings.purge_completes_within; });
}

}  // namespace sumackeel::routing
