#include "core/one_time_tokens.h"

namespace sumackeel::core {

void LocalOneTimeTokens::redeem(const std::string& name, double now, double until, Done done) {
    while (!by_end_.empty() && by_end_.begin()->first < now) {
        used_.erase(by_end_.begin()->second);
        by_end_.erase(by_end_.begin());
    }
    if (used_.contains(name)) return done(TokenUse::reused);
    // Danger: forgetting one to make room would let it be used twice.
    if (used_.size() >= most_) return done(TokenUse::unknown);
    used_.emplace(name, by_end_.emplace(until, name));
    done(TokenUse::first);
}

void LocalOneTimeTokens::release(const std::string& name) {
    const auto found = used_.find(name);
    if (found == used_.end()) return;
    by_end_.erase(found->second);
    used_.erase(found);
}

}  // namespace sumackeel::core
