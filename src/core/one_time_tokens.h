// Links that hold for one use: who has used which.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace sumackeel::core {

enum class TokenUse { first, reused, unknown };  // unknown: it can't be told now, so the use is not granted

class OneTimeTokens {
  public:
    using Done = std::function<void(TokenUse)>;
    virtual ~OneTimeTokens() = default;
    // `until` in Unix seconds: from then on the link has expired anyway. `done` is called once.
    virtual void redeem(const std::string& name, double now, double until, Done done) = 0;
    // The request was refused and never ran: the link may be used after all.
    virtual void release(const std::string& name) = 0;
};

// For a single proxy: its own memory. A restart forgets, so links should be short-lived.
class LocalOneTimeTokens : public OneTimeTokens {
  public:
    explicit LocalOneTimeTokens(std::size_t most = 100'000) : most_(most) {}
    void redeem(const std::string& name, double now, double until, Done done) override;
    void release(const std::string& name) override;

  private:
    std::size_t most_;
    std::unordered_map<std::string, std::multimap<double, std::string>::iterator> used_;
    std::multimap<double, std::string> by_end_;
};

}  // namespace sumackeel::core
