#include "daemon/purge_replicator.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace sumackeel::daemon {

using base::Micros;
using kv_store::ConsensusRole;
using kv_store::Purge;
using kv_store::PurgeSource;

namespace {

// Members that were cut off for less than this recognize a purge that they obey already.
constexpr Micros kMinRetention = 60 * base::kSecond;

}  // namespace

PurgeReplicator::PurgeReplicator(net::Loop& loop, consensus::ConsensusClient& client, std::string self,
                                 Options options)
    : loop_(loop),
      client_(client),
      self_(std::move(self)),
      options_(std::move(options)),
      exchange_(std::max(kMinRetention, options_.retention)) {
    client_.set_purge_relay({.pending = [this] { return exchange_.to_relay(); },
                             .on_received =
                                 [this](const std::vector<Purge>& purges) {
                                     for (const Purge& purge : purges) learn(purge, PurgeSource::peer);
                                 }});
}

PurgeReplicator::~PurgeReplicator() {
    client_.set_purge_relay({});
    if (timer_) loop_.timers().cancel(*timer_);
}

void PurgeReplicator::on_change_log_purge(Purge purge) {
    purge.by = self_;
    learn(purge, PurgeSource::change_log);
}

// Only operators' purges have no origin time; each of them is another purge.
void PurgeReplicator::on_replicated(const Purge& purge, const Purge& newest) {
    if (purge.origin_time == 0) return options_.on_purge(purge);
    if (!kv_store::is_outdated(purge, newest, options_.retention)) learn(purge, PurgeSource::replicated_log);
}

void PurgeReplicator::learn(const Purge& purge, PurgeSource source) {
    const std::uint64_t not_passed_on = exchange_.not_passed_on();
    const bool is_new = exchange_.learn(purge, source, loop_.clock().now());
    if (exchange_.not_passed_on() > not_passed_on) {
        thread_local log::RateLimitedLogger line;
        line.warn("purges: not passed on, too many are pending count={}", exchange_.not_passed_on());
    }
    if (is_new) {
        log::debug("purges: learned source={} object={} group={} origin_time_us={} by={}", name_of(source),
                   purge.object, purge.purge_group, purge.origin_time, purge.by);
        if (source != PurgeSource::change_log) options_.on_purge(purge);
    }
    schedule();
}

ConsensusRole PurgeReplicator::role() const {
    if (client_.is_leader()) return ConsensusRole::leader;
    return client_.votes() ? ConsensusRole::voter : ConsensusRole::follower;
}

void PurgeReplicator::propose_due() {
    for (const Purge& purge : exchange_.take_due(role(), loop_.clock().now()))
        client_.submit_purge(purge, [](const auto&) {});
    schedule();
}

void PurgeReplicator::schedule() {
    if (timer_) loop_.timers().cancel(*timer_);
    timer_.reset();
    const auto due = exchange_.next_due(role());
    if (!due) return;
    timer_ = loop_.timers().schedule(*due, [this] {
        timer_.reset();
        propose_due();
    });
}

}  // namespace sumackeel::daemon
