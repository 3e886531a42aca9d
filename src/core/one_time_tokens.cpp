#include "core/one_time_tokens.h"

namespace sumackeel::core {

void LocalOneTimeTokens::redeem(const std::string& name, double now, double expires_at, Done done) {
    while (!by_expiry_.empty() && by_expiry_.begin()->first < now) {
        used_.erase(by_expiry_.begin()->second);
        by_expiry_.erase(by_expiry_.begin());
    }
    if (used_.contains(name)) return done(TokenUse::reused);
    // Evicting a token to make room would let it be used twice.
    if (used_.size() >= max_tokens_) return done(TokenUse::unknown);
    used_.emplace(name, by_expiry_.emplace(expires_at, name));
    done(TokenUse::first);
}

void LocalOneTimeTokens::release(const std::string& name) {
    const auto found = used_.find(name);
    if (found == used_.end()) return;
    by_expiry_.erase(found->second);
    used_.erase(found);
}

}  // namespace sumackeel::core
