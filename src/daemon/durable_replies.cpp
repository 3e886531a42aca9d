#include "daemon/durable_replies.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sumackeel::daemon {

DurableReplies::~DurableReplies() {
    for (const auto& [number, one] : waiting_) loop_.timers().cancel(one.latest);
}

std::optional<admin::ApiReply> DurableReplies::reply_when_durable(admin::ApiReply reply,
                                                                  const admin_server::DeferredReply& later,
                                                                  base::Micros max_wait) {
    const base::Micros wait = std::min(max_wait, kWaitForDisk - disks_.silent_for());
    if (!disks_.undecided() || wait <= 0) return worded(std::move(reply));
    const std::uint64_t number = next_++;
    const auto latest =
        loop_.timers().schedule(loop_.clock().now() + wait, [this, number] { answer(number); });
    waiting_.emplace(number, Waiting{std::move(reply), later, latest});
    return std::nullopt;
}

void DurableReplies::on_write_finished() {
    if (disks_.undecided()) return;
    std::vector<std::uint64_t> all;
    for (const auto& [number, one] : waiting_) all.push_back(number);
    for (const std::uint64_t number : all) answer(number);
}

void DurableReplies::answer(std::uint64_t number) {
    const auto found = waiting_.find(number);
    if (found == waiting_.end()) return;
    const Waiting one = std::move(found->second);
    waiting_.erase(found);
    loop_.timers().cancel(one.latest);
    one.later(worded(one.reply));
}

admin::ApiReply DurableReplies::worded(admin::ApiReply reply) const {
    const std::string missing = disks_.missing();
    if (!missing.empty()) reply.body += "not kept yet, trying again: " + missing + "\n";
    return reply;
}

}  // namespace sumackeel::daemon
