#include "daemon/durable_replies.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sumackeel::daemon {

DurableReplies::~DurableReplies() {
    for (const auto& [number, pending] : pending_) loop_.timers().cancel(pending.timeout);
}

std::optional<admin::ApiReply> DurableReplies::reply_when_durable(
    admin::ApiReply reply, const admin_server::DeferredReply& respond_later, base::Micros max_wait) {
    const base::Micros wait = std::min(max_wait, kDiskTimeout - write_status_.write_running_for());
    if (!write_status_.outcome_unknown() || wait <= 0) return with_warning(std::move(reply));
    const std::uint64_t number = next_number_++;
    const auto timeout =
        loop_.timers().schedule(loop_.clock().now() + wait, [this, number] { send_reply(number); });
    pending_.emplace(number, PendingReply{std::move(reply), respond_later, timeout});
    return std::nullopt;
}

void DurableReplies::on_write_finished() {
    if (write_status_.outcome_unknown()) return;
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, pending] : pending_) numbers.push_back(number);
    for (const std::uint64_t number : numbers) send_reply(number);
}

void DurableReplies::send_reply(std::uint64_t number) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) return;
    const PendingReply pending = std::move(found->second);
    pending_.erase(found);
    loop_.timers().cancel(pending.timeout);
    pending.respond_later(with_warning(pending.reply));
}

admin::ApiReply DurableReplies::with_warning(admin::ApiReply reply) const {
    const std::string unwritten_reason = write_status_.unwritten_reason();
    if (!unwritten_reason.empty()) reply.body += "not kept yet, trying again: " + unwritten_reason + "\n";
    return reply;
}

}  // namespace sumackeel::daemon
