// One-time tokens: which of them have been redeemed.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace sumackeel::core {

enum class TokenUse { first, reused, unknown };  // unknown: can't be determined now, so the use is denied

class OneTimeTokens {
  public:
    using Done = std::function<void(TokenUse)>;
    virtual ~OneTimeTokens() = default;
    // `expires_at`: Unix seconds, after which the link itself is invalid. `done` is called once.
    virtual void redeem(const std::string& name, double now, double expires_at, Done done) = 0;
    // The request was rejected and did not run: the token may be used again.
    virtual void release(const std::string& name) = 0;
};

// In memory, for a single proxy. A restart loses the redeemed tokens, so links should be short-lived.
class LocalOneTimeTokens : public OneTimeTokens {
  public:
    explicit LocalOneTimeTokens(std::size_t max_tokens = 100'000) : max_tokens_(max_tokens) {}
    void redeem(const std::string& name, double now, double expires_at, Done done) override;
    void release(const std::string& name) override;

  private:
    std::size_t max_tokens_;
    std::unordered_map<std::string, std::multimap<double, std::string>::iterator> used_;
    std::multimap<double, std::string> by_expiry_;
};

}  // namespace sumackeel::core
