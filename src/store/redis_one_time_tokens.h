// One-time links shared by several proxies through Redis (SET NX PX). While Redis is down or too slow, no use
// is granted.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "core/one_time_tokens.h"
#include "net/loop.h"

struct redisAsyncContext;

namespace sumackeel::store {

class RedisOneTimeTokens : public core::OneTimeTokens {
  public:
    RedisOneTimeTokens(net::Loop& loop, const std::string& address, base::Micros timeout = 250'000);
    ~RedisOneTimeTokens() override;
    RedisOneTimeTokens(const RedisOneTimeTokens&) = delete;
    RedisOneTimeTokens& operator=(const RedisOneTimeTokens&) = delete;

    void redeem(const std::string& name, double now, double until, Done done) override;
    void release(const std::string& name) override;

  private:
    struct PendingCommand;
    struct LateRelease {
        RedisOneTimeTokens& owner;
        std::string name;
    };

    void connect();
    void on_disconnected();
    void release_late(const std::string& name);

    net::Loop& loop_;
    std::string host_;
    int port_ = 0;
    base::Micros timeout_;
    redisAsyncContext* context_ = nullptr;
    bool connected_ = false;
    std::set<std::string> releasing_late_;  // names, see release_late()
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::store
