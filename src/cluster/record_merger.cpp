#include "cluster/record_merger.h"

namespace sumackeel::cluster {

RecordMerger::Result RecordMerger::merge(const MemberRecord& record, const std::string& source) {
    Member* member = members_.find(record.name);
    if (!member) return add(record);
    if (record.incarnation <= member->record.incarnation) return Result::ignored;
    const bool needs_confirmation =
        record.incarnation.start > member->record.incarnation.start || record.phase == Phase::left;
    if (needs_confirmation && source != record.name && !confirm(*member, record, source))
        return Result::ignored;
    return update(*member, record);
}

RecordMerger::Result RecordMerger::add(const MemberRecord& record) {
    Member* member = members_.add(record, local_.now);
    if (!member) {
        ++local_.metrics.rejected;
        return Result::ignored;
    }
    gossip_.add({GossipKey::Kind::record, record.name});
    suspicions_.update_state(*member);
    return Result::added;
}

bool RecordMerger::confirm(Member& member, const MemberRecord& record, const std::string& source) const {
    const MemberRecord& pending = member.unconfirmed_record;
    if (pending.incarnation != record.incarnation || pending.phase != record.phase) {
        if (record.incarnation < pending.incarnation) return false;
        member.unconfirmed_record = record;
        member.unconfirmed_sources.clear();
    }
    add_unique(member.unconfirmed_sources, source);
    return member.unconfirmed_sources.size() >= members_.required_suspectors();
}

RecordMerger::Result RecordMerger::update(Member& member, const MemberRecord& record) {
    if (record.incarnation.start > member.record.incarnation.start) {
        member.suspicions.clear();
        members_.set_suspected(record.name, false);
    }
    member.record = record;
    member.record_at = local_.now;
    member.countdown_since = 0;
    member.forgotten = false;
    members_.on_change();
    if (member.has_left()) member.gone_since = local_.now;
    const bool was_dead = member.dead;
    if (was_dead) {
        member.dead = false;
        ++local_.metrics.revivals;
        // The suspicions belong to the past death; members that still can't reach it will suspect it again.
        for (auto& [suspector, entry] : member.suspicions) entry.accepted.active = false;
    }
    gossip_.add({GossipKey::Kind::record, record.name});
    suspicions_.evaluate(member);
    return was_dead ? Result::revived : Result::updated;
}

}  // namespace sumackeel::cluster
