#include "recovery_coordinator/member_poller.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/log.h"

namespace sumackeel::recovery_coordinator {

using base::Micros;

namespace {

constexpr Micros kPollInterval = 200'000, kReplyTimeout = 1'000'000;
constexpr std::size_t kMembersPerPoll = 8;

}  // namespace

MemberPoller::MemberPoller(ClusterTransport& transport, ReplyCallback on_reply)
    : transport_(transport), on_reply_(std::move(on_reply)) {}

std::vector<std::string> MemberPoller::reachable_members() const {
    std::vector<std::string> names;
    for (const cluster::MemberView& member : transport_.membership().members())
        if (member.state == cluster::State::alive || member.state == cluster::State::suspect ||
            member.state == cluster::State::joining)
            names.push_back(member.record.name);
    return names;
}

void MemberPoller::poll(Micros now) {
    if (now - last_poll_at_ < kPollInterval) return;
    const std::vector<std::string> members = reachable_members();
    if (members.empty()) return;
    last_poll_at_ = now;
    const std::weak_ptr<bool> alive = alive_;
    for (std::size_t i = 0; i < std::min(members.size(), kMembersPerPoll); ++i) {
        const std::string& name = members[next_member_++ % members.size()];
        ++polls_;
        transport_.call(name, kRecoveryVerb, {}, kReplyTimeout,
                        [this, alive, name](std::optional<std::string> body) {
                            if (!alive.expired() && body) on_body(name, *body);
                        });
    }
}

void MemberPoller::on_body(const std::string& from, const std::string& body) {
    try {
        std::optional<RecoveryReply> reply = decode_recovery_reply(body);
        if (!reply) return;
        ++replies_;
        on_reply_(from, std::move(*reply));
    } catch (const std::exception& error) {
        log::warn("recovery: reply rejected member={} reason={}", from, error.what());
    }
}

}  // namespace sumackeel::recovery_coordinator
