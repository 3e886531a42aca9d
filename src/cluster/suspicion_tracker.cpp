#include "cluster/suspicion_tracker.h"

#include <algorithm>
#include <cmath>

namespace sumackeel::cluster {

namespace {

// Suspectors beyond the first that reduce the suspicion timeout to its minimum (Lifeguard's K).
constexpr double kConfirmations = 3;
// A suspicion that was not repeated for this many renewal intervals lapses.
constexpr int kLapseIntervals = 3;

// Whether `one` is a later suspicion of the same suspector about the same member.
bool is_later(const Suspicion& one, const Suspicion& other) {
    return std::pair(one.suspector_start, one.number) > std::pair(other.suspector_start, other.number);
}

bool is_same_age(const Suspicion& one, const Suspicion& other) {
    return !is_later(one, other) && !is_later(other, one);
}

}  // namespace

void SuspicionTracker::on_suspicion(const Suspicion& suspicion, const std::string& source) {
    if (suspicion.suspector == local_.self.name) return;  // only this member creates its own
    Member* subject = members_.find(suspicion.subject);
    const Member* suspector = members_.find(suspicion.suspector);
    if (!subject || !suspector) {
        ++local_.metrics.rejected;
        return;
    }
    if (suspicion.incarnation.start < subject->record.incarnation.start) return;
    if (suspicion.suspector_start < suspector->record.incarnation.start) return;
    accept(*subject, suspicion, source);
}

SuspicionEntry* SuspicionTracker::entry_for(Member& subject, const std::string& suspector) {
    const auto found = subject.suspicions.find(suspector);
    if (found != subject.suspicions.end()) return &found->second;
    if (subject.suspicions.size() >= kMaxSuspectors) {
        const auto inactive = std::find_if(subject.suspicions.begin(), subject.suspicions.end(),
                                           [](const auto& item) { return !item.second.is_active(); });
        if (inactive == subject.suspicions.end()) return nullptr;
        subject.suspicions.erase(inactive);
    }
    return &subject.suspicions[suspector];
}

void SuspicionTracker::accept(Member& subject, const Suspicion& suspicion, const std::string& source) {
    SuspicionEntry* entry = entry_for(subject, suspicion.suspector);
    if (!entry) return;
    const bool from_suspector = source == suspicion.suspector;
    // Repeated by its suspector: it still holds, even if it has lapsed here.
    if (entry->is_accepted && from_suspector && is_same_age(suspicion, entry->accepted) && suspicion.active) {
        entry->accepted.active = true;
        entry->confirmed_at = local_.now;
        return evaluate(subject);
    }
    if (entry->is_accepted && !is_later(suspicion, entry->accepted)) return;
    if (entry->latest != suspicion) {
        if (!from_suspector && is_later(entry->latest, suspicion)) return;
        entry->latest = suspicion;
        entry->sources.clear();
    }
    add_unique(entry->sources, source);
    if (!from_suspector && entry->sources.size() < members_.required_suspectors()) return;
    entry->is_accepted = true;
    entry->accepted = suspicion;
    entry->confirmed_at = local_.now;
    gossip_.add({GossipKey::Kind::suspicion, suspicion.subject, suspicion.suspector});
    evaluate(subject);
}

bool SuspicionTracker::is_suspected_by_self(const Member& member) const {
    const SuspicionEntry* own = member.suspicion_by(local_.self.name);
    return own && own->is_active();
}

void SuspicionTracker::suspect(Member& subject) {
    if (is_suspected_by_self(subject)) {
        // Repeated sooner if the member has refuted it by a newer record.
        const bool answered =
            subject.suspicions.at(local_.self.name).accepted.incarnation < subject.record.incarnation;
        const Micros interval = answered ? 2 * local_.options.protocol_period : renewal_interval();
        if (local_.now - subject.own_suspicion_at < interval) return;
    }
    subject.own_suspicion_at = local_.now;
    record_own(subject, true);
}

void SuspicionTracker::withdraw_own_suspicion(Member& subject) {
    if (is_suspected_by_self(subject)) record_own(subject, false);
}

void SuspicionTracker::record_own(Member& subject, bool active) {
    const Suspicion suspicion{.suspector = local_.self.name,
                              .subject = subject.record.name,
                              .suspector_start = local_.self.incarnation.start,
                              .incarnation = subject.record.incarnation,
                              .number = ++last_number_,
                              .active = active};
    accept(subject, suspicion, local_.self.name);
}

std::vector<std::string> SuspicionTracker::suspectors_of(const Member& member, Scope scope) const {
    std::vector<std::string> suspectors;
    for (const auto& [name, entry] : member.suspicions) {
        if (!entry.is_active()) continue;
        if (scope == Scope::newest_record && entry.accepted.incarnation < member.record.incarnation) continue;
        const Member* suspector = members_.find(name);
        if (name == local_.self.name || (suspector && suspector->is_pinged())) suspectors.push_back(name);
    }
    return suspectors;
}

Micros SuspicionTracker::suspicion_timeout(std::size_t suspectors) const {
    // Ping timeouts are extended by the full health score; with the same factor here a death would take
    // minutes.
    const double shortest =
        static_cast<double>(renewal_interval()) * (1 + static_cast<double>(local_.health) / kWorstHealth);
    if (!local_.options.lifeguard) return static_cast<Micros>(shortest);
    const double confirmations =
        std::min(kConfirmations, std::max(1.0, static_cast<double>(members_.count()) - 2));
    const double confirmed =
        std::min(1.0, std::log1p(static_cast<double>(suspectors) - 1) / std::log1p(confirmations));
    const double stretch = local_.options.suspicion_stretch;
    return static_cast<Micros>(shortest * (stretch - (stretch - 1) * confirmed));
}

void SuspicionTracker::evaluate(Member& member) {
    if (!member.dead && !member.has_left()) {
        const std::size_t suspectors = suspectors_of(member, Scope::newest_record).size();
        if (suspectors == 0)
            member.countdown_since = 0;
        else if (member.countdown_since == 0)
            member.countdown_since = local_.now;
        const bool pinged_since_pause = !local_.options.lifeguard || local_.resumed_at == 0 ||
                                        member.last_ping_result >= local_.resumed_at;
        if (suspectors >= members_.required_suspectors() && pinged_since_pause &&
            local_.now - member.countdown_since >= suspicion_timeout(suspectors))
            declare_dead(member);
    }
    update_state(member);
}

void SuspicionTracker::declare_dead(Member& member) {
    member.dead = true;
    member.gone_since = local_.now;
    ++local_.metrics.deaths;
    // Repeated at once: for those that still wait for suspectors, and for the member itself, should it
    // receive it.
    member.own_suspicion_at = local_.now - renewal_interval();
    suspect(member);
}

MemberState SuspicionTracker::state_of(const Member& member, bool suspected) const {
    if (member.has_left()) return MemberState::left;
    if (member.dead) return MemberState::dead;
    if (suspected) return MemberState::suspect;
    return member.record.phase == Phase::joining ? MemberState::joining : MemberState::alive;
}

void SuspicionTracker::update_state(Member& member) {
    const auto suspectors = suspectors_of(member, Scope::any_record);
    const MemberState state = state_of(member, !suspectors.empty());
    members_.set_suspected(member.record.name, !suspectors.empty());
    if (state == member.state) return;
    changes_.push_back({member.record.name, member.state, state, suspectors});
    member.state = state;
    member.state_since = local_.now;
}

void SuspicionTracker::evaluate_all() {
    const std::vector<std::string> names(members_.suspected().begin(), members_.suspected().end());
    for (const std::string& name : names) {
        Member& member = members_.at(name);
        lapse_unconfirmed(member);
        evaluate(member);
    }
}

// Ends suspicions that their suspector no longer repeats, because the withdrawal may have been lost; sooner
// if the member has refuted them. The inactive entry stays, so that old copies from others are recognized.
void SuspicionTracker::lapse_unconfirmed(Member& member) {
    for (auto& [suspector, entry] : member.suspicions) {
        if (suspector == local_.self.name) continue;
        const bool answered = entry.accepted.incarnation < member.record.incarnation;
        const Micros since = answered ? std::max(entry.confirmed_at, member.record_at) : entry.confirmed_at;
        const int intervals = answered ? 1 : kLapseIntervals;
        if (local_.now - since > intervals * renewal_interval()) entry.accepted.active = false;
    }
}

void SuspicionTracker::restart_countdowns() {
    for (const std::string& name : members_.suspected()) {
        Member& member = members_.at(name);
        if (member.countdown_since != 0) member.countdown_since = local_.now;
    }
}

// How often an own suspicion is repeated: at least once within the shortest suspicion timeout.
Micros SuspicionTracker::renewal_interval() const {
    return static_cast<Micros>(local_.options.min_suspicion * members_.log_size() *
                               static_cast<double>(local_.options.protocol_period));
}

}  // namespace sumackeel::cluster
