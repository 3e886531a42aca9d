#include "cluster/failure_detector.h"

#include <algorithm>
#include <utility>

namespace sumackeel::cluster {

namespace {

// Turns between two pings of a dead member, so that the sides of a healed partition find each other.
constexpr std::uint64_t kPingDeadEveryTurns = 4;
// Fraction of the ping timeout after which a relay sends a nack, early enough for the requester.
constexpr double kNackAtTimeoutFraction = 0.8;
constexpr std::size_t kMaxPings = 256;  // in flight; beyond it ping requests are refused

}  // namespace

Micros FailureDetector::Ping::deadline() const {
    return relays_asked ? ends_at : std::min(indirect_at, ends_at);
}

bool FailureDetector::Ping::has_relay(const std::string& name) const {
    return std::find(relays.begin(), relays.end(), name) != relays.end();
}

void FailureDetector::run_turn() {
    ++turn_;
    next_turn_ = local_.now + local_.jittered(local_.stretched(local_.options.protocol_period));
    ping_next_of_round();
    if (local_.options.lifeguard) ping_one_suspected();
    ping_failed_once();
    if (turn_ % kPingDeadEveryTurns == 0) ping_one_dead();
}

void FailureDetector::ping_next_of_round() {
    while (true) {
        if (round_.empty()) refill_round();
        if (round_.empty()) return;
        const std::string target = std::move(round_.back());
        round_.pop_back();
        const Member* member = members_.find(target);
        if (!member || !member->is_pinged()) continue;
        return ping(target);
    }
}

void FailureDetector::refill_round() {
    round_ = members_.pinged();
    std::shuffle(round_.begin(), round_.end(), local_.random);
}

// Pings a suspected member that this one suspects itself, or has not pinged since a pause: so a suspicion
// that no longer holds is withdrawn within a few turns at any cluster size.
void FailureDetector::ping_one_suspected() {
    std::vector<std::string> names;
    for (const std::string& name : members_.suspected()) {
        const Member& member = members_.at(name);
        const bool not_pinged_since_pause = member.last_ping_result < local_.resumed_at;
        if (member.is_pinged() && (suspicions_.is_suspected_by_self(member) || not_pinged_since_pause))
            names.push_back(name);
    }
    ping_one_of(names);
}

void FailureDetector::ping_failed_once() {
    for (const std::string& name : std::exchange(failed_once_, {})) {
        const Member* member = members_.find(name);
        if (member && member->ping_failed_once && member->is_pinged()) ping(name);
    }
}

void FailureDetector::ping_one_dead() {
    std::vector<std::string> names;
    for (const auto& [name, member] : members_.all())
        if (member.dead && !member.forgotten && !member.has_left()) names.push_back(name);
    ping_one_of(names);
}

void FailureDetector::ping_one_of(const std::vector<std::string>& names) {
    if (!names.empty()) ping(names[local_.random() % names.size()]);
}

void FailureDetector::add_to_round(const std::string& member) {
    const auto place = static_cast<std::ptrdiff_t>(local_.random() % (round_.size() + 1));
    round_.insert(round_.begin() + place, member);
}

void FailureDetector::ping(const std::string& target) {
    const PingNumber number = ++last_number_;
    Ping& ping = pings_[number];
    ping.target = target;
    ping.sent_at = local_.now;
    ping.indirect_at = local_.now + local_.stretched(local_.options.ping_timeout);
    ping.ends_at = local_.now + local_.stretched(local_.options.protocol_period);
    ++local_.metrics.pings;
    outbox_.send(members_.at(target), {.kind = MessageKind::ping, .number = number}, SendPriority::ping);
}

Micros FailureDetector::next_deadline() const {
    Micros earliest = next_turn_;
    for (const auto& [number, ping] : pings_) earliest = std::min(earliest, ping.deadline());
    return earliest;
}

void FailureDetector::check_pings() {
    std::vector<PingNumber> due;
    for (const auto& [number, ping] : pings_)
        if (local_.now >= ping.deadline()) due.push_back(number);
    for (const PingNumber number : due) {
        Ping& ping = pings_.at(number);
        if (ping.is_own() && local_.now < ping.ends_at) {
            ask_relays(number, ping);
            continue;
        }
        const Ping ended = std::move(ping);
        pings_.erase(number);
        if (ended.is_own())
            on_failed(ended);
        else
            end_relayed_ping(ended);
    }
}

void FailureDetector::end_relayed_ping(const Ping& ping) {
    if (local_.options.lifeguard) reply_to_requester(ping, MessageKind::nack);
}

void FailureDetector::reply_to_requester(const Ping& ping, MessageKind kind) {
    const Member* requester = members_.find(ping.requester);
    if (!requester) return;
    outbox_.send(*requester, {.kind = kind, .number = ping.request_number, .subject = ping.target},
                 SendPriority::indirect);
}

void FailureDetector::ask_relays(PingNumber number, Ping& ping) {
    ping.relays_asked = true;
    const Member* target = members_.find(ping.target);
    if (!target || target->dead) return;
    ping.relays = choose_relays(ping.target, target->last_relay);
    ++local_.metrics.indirect_pings;
    for (const std::string& relay : ping.relays)
        outbox_.send(members_.at(relay),
                     {.kind = MessageKind::ping_request, .number = number, .subject = ping.target},
                     SendPriority::indirect);
}

// The relay that last reached the target first, then random ones.
std::vector<std::string> FailureDetector::choose_relays(const std::string& target,
                                                        const std::string& preferred) {
    std::vector<std::string> candidates;
    for (const auto& [name, member] : members_.all())
        if (name != target && name != preferred && member.is_pinged() && member.state != MemberState::suspect)
            candidates.push_back(name);
    std::shuffle(candidates.begin(), candidates.end(), local_.random);
    std::vector<std::string> chosen;
    const Member* known = members_.find(preferred);
    if (local_.options.lifeguard && known && known->is_pinged()) chosen.push_back(preferred);
    for (std::string& name : candidates) {
        if (static_cast<int>(chosen.size()) >= local_.options.indirect_pings) break;
        chosen.push_back(std::move(name));
    }
    return chosen;
}

void FailureDetector::on_failed(const Ping& ping) {
    Member* member = members_.find(ping.target);
    if (!member) return;
    member->last_ping_result = local_.now;
    if (!member->is_pinged()) return;
    ++local_.metrics.failed_pings;
    member->directly_reachable = false;
    const bool suspected = members_.suspected().contains(ping.target);
    // Relays that send no nack either indicate that this member does not receive; a suspected member that
    // does not respond indicates nothing.
    const bool relays_silent = ping.relays.empty() || ping.nacks < static_cast<int>(ping.relays.size());
    if (!suspected && relays_silent) local_.degrade_health();
    // A member whose datagrams are all lost while it receives would suspect all others. A datagram received
    // since the ping was sent shows that the target is alive.
    if (local_.options.lifeguard && member->last_received_at >= ping.sent_at) return;
    // With datagram loss a single failure is weak evidence: ping again in the next turn before suspecting.
    if (local_.options.lifeguard && !member->ping_failed_once && !suspected) {
        member->ping_failed_once = true;
        failed_once_.push_back(ping.target);
        return;
    }
    suspicions_.suspect(*member);
}

void FailureDetector::on_answered(Member& member, const std::string& relay) {
    member.last_ping_result = local_.now;
    member.ping_failed_once = false;
    member.directly_reachable = relay.empty();
    member.last_relay = relay;
    local_.improve_health();
    suspicions_.withdraw_own_suspicion(member);
}

std::optional<Micros> FailureDetector::on_ping_request(const Member& sender, const Datagram& request) {
    const Member* target = members_.find(request.subject);
    if (!target || pings_.size() >= kMaxPings) return std::nullopt;
    const PingNumber number = ++last_number_;
    const auto timeout =
        static_cast<Micros>(kNackAtTimeoutFraction * static_cast<double>(local_.options.ping_timeout));
    Ping& ping = pings_[number];
    ping.target = request.subject;
    ping.sent_at = local_.now;
    ping.indirect_at = local_.now + timeout;
    ping.ends_at = ping.indirect_at;
    ping.requester = sender.record.name;
    ping.request_number = request.number;
    outbox_.send(*target, {.kind = MessageKind::ping, .number = number}, SendPriority::indirect);
    return ping.ends_at;
}

void FailureDetector::on_ack(Member& sender, const Datagram& ack) {
    const auto found = pings_.find(ack.number);
    if (found == pings_.end()) return;  // late, or for an unknown ping
    const Ping ping = found->second;
    const std::string& name = sender.record.name;
    if (!ping.is_own()) {
        if (ping.target != name) return;
        pings_.erase(found);
        sender.directly_reachable = true;
        reply_to_requester(ping, MessageKind::ack);
    } else if (ping.target == name) {
        pings_.erase(found);
        on_answered(sender, {});
    } else if (ack.subject == ping.target && ping.has_relay(name)) {
        pings_.erase(found);
        if (Member* target = members_.find(ping.target)) on_answered(*target, name);
    }
}

void FailureDetector::on_nack(const Datagram& nack) {
    const auto found = pings_.find(nack.number);
    if (found != pings_.end() && found->second.target == nack.subject) ++found->second.nacks;
}

}  // namespace sumackeel::cluster
