#include "cluster/membership.h"

#include <algorithm>
#include <utility>

namespace sumackeel::cluster {

namespace {

constexpr std::size_t kMaxLeaveRecipients = 8;      // members that are notified of a leave at once
constexpr std::uint64_t kSizeUpdateEveryTurns = 5;  // turns between two updates of the cluster size

}  // namespace

Membership::Membership(const Options& options, const MemberRecord& self, std::uint64_t seed, Micros now)
    : local_{.options = options, .self = self, .random = std::mt19937_64(seed), .now = now, .metrics = {}},
      members_(local_.options),
      gossip_(local_.options, members_),
      outbox_(local_, gossip_),
      suspicions_(local_, members_, gossip_),
      self_record_(local_, members_),
      merger_(local_, members_, suspicions_, gossip_),
      detector_(local_, members_, suspicions_, outbox_),
      exchange_(local_, members_),
      cluster_size_(options.size_settle_time) {
    local_.self.phase = Phase::joining;
    due_ = now + local_.jittered(options.protocol_period) / 2;
    detector_.schedule_turn(due_);
    exchange_.schedule_next();
}

// A late call means that this process did not run in the meantime.
void Membership::update_clock(Micros now) {
    local_.now = std::max(local_.now, now);
    const Micros late = local_.now - due_;
    const Micros period = local_.options.protocol_period;
    if (!local_.options.lifeguard || late <= period / 2) return;
    due_ = local_.now;
    local_.degrade_health();
    if (late > period) on_pause();
}

// Responses may have been lost during the pause: earlier pings are discarded, and each suspicion countdown
// restarts.
void Membership::on_pause() {
    ++local_.metrics.pauses;
    local_.resumed_at = local_.now;
    detector_.cancel_pings();
    detector_.schedule_turn(local_.now);
    suspicions_.restart_countdowns();
}

void Membership::tick(Micros now) {
    update_clock(now);
    if (is_silent()) {
        due_ = local_.now + local_.options.protocol_period;
        return;
    }
    detector_.check_pings();
    suspicions_.evaluate_all();
    if (local_.now >= detector_.next_turn()) {
        detector_.run_turn();
        if (detector_.turn() % kSizeUpdateEveryTurns == 1) update_cluster_size();
    }
    if (local_.now >= exchange_.next_at()) exchange_.pick_peer();
    due_ = std::max(detector_.next_deadline(), local_.now);
}

// Forgets members that have been dead or left for long, and counts the rest by zone.
void Membership::update_cluster_size() {
    std::map<std::string, int> present{{local_.self.zone, 1}};
    std::map<std::string, int> known{{local_.self.zone, 1}};
    for (auto& [name, member] : members_.all()) {
        const bool gone = member.dead || member.has_left();
        if (!member.forgotten && gone && local_.now - member.gone_since >= local_.options.forget_after) {
            member.forgotten = true;
            members_.on_change();
        }
        if (member.has_left() || member.forgotten) continue;
        ++known[member.record.zone];
        if (!member.dead) ++present[member.record.zone];
    }
    cluster_size_.update(local_.now, side() != PartitionSide::minority, present, known);
}

void Membership::receive(Micros now, const Datagram& datagram) {
    update_clock(now);
    if (is_silent() || datagram.from == local_.self.name) return;
    if (datagram.records.empty() || datagram.records.front().name != datagram.from) {
        ++local_.metrics.rejected;
        return;
    }
    for (const MemberRecord& record : datagram.records) on_record(record, datagram.from);
    Member* sender = members_.find(datagram.from);
    if (is_displaced() || !sender) return;
    // A datagram of an earlier process says nothing about the current one.
    if (datagram.records.front().incarnation.start < sender->record.incarnation.start) return;
    sender->last_received_at = local_.now;
    if (local_.options.lifeguard && !sender->dead) {
        sender->ping_failed_once = false;
        suspicions_.withdraw_own_suspicion(*sender);
    }
    for (const Suspicion& suspicion : datagram.suspicions) on_suspicion(suspicion, datagram.from);
    on_message(*sender, datagram);
}

void Membership::on_message(Member& sender, const Datagram& datagram) {
    switch (datagram.kind) {
        case MessageKind::ping:
            outbox_.send(sender, {.kind = MessageKind::ack, .number = datagram.number}, SendPriority::ping);
            return;
        case MessageKind::ping_request:
            if (const auto ends_at = detector_.on_ping_request(sender, datagram))
                due_ = std::min(due_, *ends_at);
            return;
        case MessageKind::ack:
            return detector_.on_ack(sender, datagram);
        case MessageKind::nack:
            return detector_.on_nack(datagram);
        case MessageKind::gossip:
            return;
    }
}

void Membership::on_record(const MemberRecord& record, const std::string& source) {
    if (record.name == local_.self.name) return self_record_.on_record(record, source);
    switch (merger_.merge(record, source)) {
        case RecordMerger::Result::added:
            return detector_.add_to_round(record.name);
        case RecordMerger::Result::revived:
            // After its absence both sides have updates that the other lacks.
            if (record.phase != Phase::left) exchange_.request(record.name);
            return;
        case RecordMerger::Result::updated:
        case RecordMerger::Result::ignored:
            return;
    }
}

void Membership::on_suspicion(const Suspicion& suspicion, const std::string& source) {
    if (suspicion.subject == local_.self.name)
        self_record_.on_suspicion(suspicion);
    else
        suspicions_.on_suspicion(suspicion, source);
}

void Membership::merge(Micros now, const FullState& state) {
    update_clock(now);
    if (is_displaced() || state.from == local_.self.name) return;
    if (state.records.empty() || state.records.front().name != state.from) return;
    ++local_.metrics.merged_states;
    for (const MemberRecord& record : state.records) on_record(record, state.from);
    for (const Suspicion& suspicion : state.suspicions) on_suspicion(suspicion, state.from);
    if (Member* sender = members_.find(state.from)) sender->last_received_at = local_.now;
    self_record_.on_state_merged();
}

void Membership::mark_joined(Micros now) {
    update_clock(now);
    if (local_.self.phase == Phase::joining) self_record_.set_phase(Phase::alive);
}

void Membership::leave(Micros now) {
    update_clock(now);
    if (is_silent()) return;
    self_record_.set_phase(Phase::left);
    std::vector<std::string> recipients = members_.pinged();
    std::shuffle(recipients.begin(), recipients.end(), local_.random);
    if (recipients.size() > kMaxLeaveRecipients) recipients.resize(kMaxLeaveRecipients);
    for (const std::string& name : recipients)
        outbox_.send(members_.at(name), {.kind = MessageKind::gossip}, SendPriority::ping);
}

void Membership::set_start(Micros now, std::uint64_t start) {
    update_clock(now);
    self_record_.set_start(start);
}

void Membership::set_software_version(Micros now, const std::string& version) {
    if (version == local_.self.software_version) return;
    update_clock(now);
    self_record_.set_software_version(version);
}

std::vector<MemberView> Membership::members() const {
    std::vector<MemberView> views;
    for (const auto& [name, member] : members_.all()) {
        if (member.forgotten) continue;
        views.push_back({.record = member.record,
                         .state = member.state,
                         .since = member.state_since,
                         .last_received_at = member.last_received_at,
                         .suspectors = suspicions_.suspectors_of(member, SuspicionTracker::Scope::any_record),
                         .directly_reachable = member.directly_reachable});
    }
    return views;
}

std::optional<MemberState> Membership::state_of(const std::string& name) const {
    const Member* member = members_.find(name);
    if (!member || member->forgotten) return std::nullopt;
    return member->state;
}

std::string Membership::address_of(const std::string& name) const {
    const Member* member = members_.find(name);
    return member ? member->record.address : "";
}

std::size_t Membership::reachable_count() const {
    std::size_t count = 1;
    for (const auto& [name, member] : members_.all()) {
        if (!member.is_pinged()) continue;
        // A suspected member counts as reachable only if this one has received from it since, directly.
        const bool received_since =
            member.last_received_at >= member.state_since ||
            (member.directly_reachable && member.last_ping_result >= member.state_since);
        const bool reached = received_since && !suspicions_.is_suspected_by_self(member);
        if (member.state != MemberState::suspect || reached) ++count;
    }
    return count;
}

PartitionSide Membership::side() const {
    if (member_count() <= 1) return PartitionSide::alone;
    return reachable_count() * 2 > member_count() ? PartitionSide::majority : PartitionSide::minority;
}

}  // namespace sumackeel::cluster
