#include "store/redis_one_time_tokens.h"

#include <hiredis/adapters/libuv.h>
#include <hiredis/async.h>

#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "config/config.h"

namespace sumackeel::store {

using core::TokenUse;

namespace {

constexpr base::Micros kAgainAfter = 300'000;
const std::string kPrefix = "sumackeel:used:";

}  // namespace

// One question out. Whoever comes first, the answer or the deadline, settles it.
struct RedisOneTimeTokens::Asked {
    Done done;
    base::TimerQueue::Key by;
    bool settled = false;
    std::shared_ptr<Asked> self;  // held for hiredis until its callback

    void settle(TokenUse use) {
        if (!std::exchange(settled, true)) done(use);
    }
};

RedisOneTimeTokens::RedisOneTimeTokens(net::Loop& loop, const std::string& address, base::Micros timeout)
    : loop_(loop), timeout_(timeout) {
    sockaddr_in at{};
    if (!net::parse_address(address, at)) throw config::ConfigError("redis: no address: " + address);
    host_ = address.substr(0, address.rfind(':'));
    port_ = ntohs(at.sin_port);
    connect();
}

RedisOneTimeTokens::~RedisOneTimeTokens() {
    alive_.reset();
    if (context_) redisAsyncFree(context_);
}

void RedisOneTimeTokens::connect() {
    up_ = false;
    context_ = redisAsyncConnect(host_.c_str(), port_);
    if (!context_ || context_->err) {
        if (context_) redisAsyncFree(context_);
        context_ = nullptr;
        return lost();
    }
    context_->data = this;
    redisLibuvAttach(context_, loop_.raw());
    redisAsyncSetConnectCallback(context_, [](const redisAsyncContext* context, int status) {
        auto* self = static_cast<RedisOneTimeTokens*>(context->data);
        self->up_ = status == REDIS_OK;
        if (status == REDIS_OK) return;
        self->context_ = nullptr;  // hiredis frees it
        self->lost();
    });
    redisAsyncSetDisconnectCallback(context_, [](const redisAsyncContext* context, int) {
        auto* self = static_cast<RedisOneTimeTokens*>(context->data);
        if (!self->alive_) return;
        self->context_ = nullptr;
        self->lost();
    });
}

void RedisOneTimeTokens::lost() {
    if (std::exchange(up_, false)) log::warn("redis is gone: links for one use are refused");
    loop_.timers().schedule(loop_.clock().now() + kAgainAfter, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired() && !context_) connect();
    });
}

void RedisOneTimeTokens::redeem(const std::string& name, double now, double until, Done done) {
    if (!context_ || !up_) return done(TokenUse::unknown);
    const std::string key = kPrefix + name;
    const auto ms = static_cast<long long>(std::clamp(std::ceil((until - now) * 1000), 1000.0, 1e12));
    auto asked = std::make_shared<Asked>();
    asked->done = std::move(done);
    asked->self = asked;
    asked->by = loop_.timers().schedule(loop_.clock().now() + timeout_,
                                        [asked] { asked->settle(TokenUse::unknown); });
    const int sent = redisAsyncCommand(
        context_,
        [](redisAsyncContext* context, void* answer, void* data) {
            const std::shared_ptr<Asked> request = std::move(static_cast<Asked*>(data)->self);
            auto* self = static_cast<RedisOneTimeTokens*>(context->data);
            if (!self->alive_) return;
            self->loop_.timers().cancel(request->by);
            const auto* reply = static_cast<redisReply*>(answer);
            const bool first =
                reply && reply->type == REDIS_REPLY_STATUS && std::string_view(reply->str) == "OK";
            const bool again = reply && reply->type == REDIS_REPLY_NIL;
            request->settle(first ? TokenUse::first : again ? TokenUse::reused : TokenUse::unknown);
        },
        asked.get(), "SET %b 1 NX PX %lld", key.data(), key.size(), ms);
    if (sent == REDIS_OK) return;
    loop_.timers().cancel(asked->by);
    asked->self.reset();
    asked->settle(TokenUse::unknown);
}

void RedisOneTimeTokens::release(const std::string& name) {
    if (!context_ || !up_) return;  // the link stays used, which is the safe side
    const std::string key = kPrefix + name;
    redisAsyncCommand(context_, nullptr, nullptr, "DEL %b", key.data(), key.size());
}

}  // namespace sumackeel::store
