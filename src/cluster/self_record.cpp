#include "cluster/self_record.h"

#include <algorithm>

namespace sumackeel::cluster {

void SelfRecord::set_start(std::uint64_t start) {
    local_.self.incarnation = {start, 0};
    requested_start_ = 0;
}

void SelfRecord::set_software_version(const std::string& version) {
    local_.self.software_version = version;
    ++local_.self.incarnation.refutations;
}

void SelfRecord::set_phase(Phase phase) {
    local_.self.phase = phase;
    ++local_.self.incarnation.refutations;
}

void SelfRecord::on_suspicion(const Suspicion& suspicion) {
    const Incarnation& own = local_.self.incarnation;
    if (suspicion.active && suspicion.incarnation.start == own.start &&
        suspicion.incarnation.refutations >= own.refutations)
        refute(suspicion.incarnation.refutations);
}

void SelfRecord::refute(std::uint64_t refutations) {
    local_.self.incarnation.refutations = refutations + 1;
    // A number this high was forged; a later start counts from 0 again.
    if (refutations >= kMaxRefutations / 2) requested_start_ = local_.self.incarnation.start + 1;
    ++local_.metrics.refutations;
    local_.degrade_health();
}

void SelfRecord::request_start_after(std::uint64_t start) {
    requested_start_ = std::max(requested_start_, start + 1);
}

void SelfRecord::on_record(const MemberRecord& record, const std::string& source) {
    const Incarnation& own = local_.self.incarnation;
    if (record.instance_id == local_.self.instance_id) {
        // Our own record as others have it. One that is newer than ours was forged: it is refuted.
        if (record.incarnation.start == own.start && record.incarnation.refutations > own.refutations)
            refute(record.incarnation.refutations);
        return;
    }
    if (record.incarnation.start < own.start) return;  // of an earlier process
    // Another process with our start number or a later one. Before the first state exchange it is an earlier
    // process of this member whose number our disk has lost, or one that we replace: we take a later number.
    // After the exchange it is a process that has replaced us, and two must not send under one name.
    const bool is_ours_to_pass =
        record.incarnation.start == own.start && record.instance_id < local_.self.instance_id;
    if (!state_merged_ || is_ours_to_pass) return request_start_after(record.incarnation.start);
    if (record.phase == Phase::left) return;
    add_unique(displaced_sources_, source);
    displaced_ = displaced_sources_.size() >= members_.required_suspectors();
}

}  // namespace sumackeel::cluster
