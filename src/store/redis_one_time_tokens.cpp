#include "store/redis_one_time_tokens.h"

#include <hiredis/async.h>

#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "config/config.h"
#include "store/redis_event_adapter.h"

namespace sumackeel::store {

using core::TokenUse;

namespace {

constexpr base::Micros kReconnectInterval = 300'000;

std::string key_of(const std::string& name) {
    return "sumackeel:used:" + name;
}

}  // namespace

// A command sent to Redis. It is finished by its reply or its deadline, whichever comes first.
struct RedisOneTimeTokens::PendingCommand {
    std::string name;
    Done done;
    base::TimerQueue::Key deadline;
    bool finished = false;
    std::shared_ptr<PendingCommand> self;  // keeps this alive until the hiredis callback

    void finish(TokenUse use) {
        if (!std::exchange(finished, true)) done(use);
    }
};

RedisOneTimeTokens::RedisOneTimeTokens(net::Loop& loop, const std::string& address, base::Micros timeout)
    : loop_(loop), timeout_(timeout) {
    sockaddr_in parsed{};
    if (!net::parse_address(address, parsed)) throw config::ConfigError("redis: no address: " + address);
    host_ = address.substr(0, address.rfind(':'));
    port_ = ntohs(parsed.sin_port);
    connect();
}

RedisOneTimeTokens::~RedisOneTimeTokens() {
    alive_.reset();
    if (context_) redisAsyncFree(context_);
}

void RedisOneTimeTokens::connect() {
    connected_ = false;
    context_ = redisAsyncConnect(host_.c_str(), port_);
    if (!context_ || context_->err || !attach_to_loop(*context_, loop_.raw())) {
        if (context_) redisAsyncFree(context_);
        context_ = nullptr;
        return on_disconnected();
    }
    context_->data = this;
    redisAsyncSetConnectCallback(context_, [](const redisAsyncContext* context, int status) {
        auto* self = static_cast<RedisOneTimeTokens*>(context->data);
        self->connected_ = status == REDIS_OK;
        if (status == REDIS_OK) return;
        self->context_ = nullptr;  // freed by hiredis
        self->on_disconnected();
    });
    redisAsyncSetDisconnectCallback(context_, [](const redisAsyncContext* context, int) {
        auto* self = static_cast<RedisOneTimeTokens*>(context->data);
        if (!self->alive_) return;
        self->context_ = nullptr;
        self->on_disconnected();
    });
}

void RedisOneTimeTokens::on_disconnected() {
    if (std::exchange(connected_, false))
        log::warn("redis: disconnected; rejecting one-time links until it is back");
    loop_.timers().schedule(loop_.clock().now() + kReconnectInterval,
                            [this, alive = std::weak_ptr<bool>(alive_)] {
                                if (!alive.expired() && !context_) connect();
                            });
}

void RedisOneTimeTokens::redeem(const std::string& name, double now, double until, Done done) {
    if (!context_ || !connected_) return done(TokenUse::unknown);
    const std::string key = key_of(name);
    const auto ms = static_cast<long long>(std::clamp(std::ceil((until - now) * 1000), 1000.0, 1e12));
    auto pending = std::make_shared<PendingCommand>();
    pending->name = name;
    pending->done = std::move(done);
    pending->self = pending;
    pending->deadline = loop_.timers().schedule(loop_.clock().now() + timeout_,
                                                [pending] { pending->finish(TokenUse::unknown); });
    const int sent = redisAsyncCommand(
        context_,
        [](redisAsyncContext* context, void* raw_reply, void* data) {
            const std::shared_ptr<PendingCommand> request =
                std::move(static_cast<PendingCommand*>(data)->self);
            auto* self = static_cast<RedisOneTimeTokens*>(context->data);
            if (!self->alive_) return;
            self->loop_.timers().cancel(request->deadline);
            const auto* reply = static_cast<redisReply*>(raw_reply);
            const bool accepted =
                reply && reply->type == REDIS_REPLY_STATUS && std::string_view(reply->str) == "OK";
            const bool exists = reply && reply->type == REDIS_REPLY_NIL;
            if (accepted && request->finished) return self->release_late(request->name);
            const bool is_reused = exists && !self->releasing_late_.contains(request->name);
            request->finish(accepted ? TokenUse::first : is_reused ? TokenUse::reused : TokenUse::unknown);
        },
        pending.get(), "SET %b 1 NX PX %lld", key.data(), key.size(), ms);
    if (sent == REDIS_OK) return;
    loop_.timers().cancel(pending->deadline);
    pending->self.reset();
    pending->finish(TokenUse::unknown);
}

// The use was refused as unknown before Redis granted it. Until it is released, Redis says that it is used.
void RedisOneTimeTokens::release_late(const std::string& name) {
    auto released = std::make_unique<LateRelease>(LateRelease{.owner = *this, .name = name});
    const std::string key = key_of(name);
    const int sent = redisAsyncCommand(
        context_,
        [](redisAsyncContext*, void*, void* data) {
            const std::unique_ptr<LateRelease> ended(static_cast<LateRelease*>(data));
            ended->owner.releasing_late_.erase(ended->name);
        },
        released.get(), "DEL %b", key.data(), key.size());
    if (sent != REDIS_OK) return;
    releasing_late_.insert(name);
    static_cast<void>(released.release());  // the callback owns it
}

void RedisOneTimeTokens::release(const std::string& name) {
    if (!context_ || !connected_) return;  // the link stays used, which is safe
    const std::string key = key_of(name);
    redisAsyncCommand(context_, nullptr, nullptr, "DEL %b", key.data(), key.size());
}

}  // namespace sumackeel::store
