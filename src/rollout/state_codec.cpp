// Encoding of the state in the snapshots of the replicated log.
#include "rollout/codec_fields.h"
#include "rollout/state.h"

namespace sumackeel::rollout {

namespace {

using base::MsgpackReader;
using base::MsgpackWriter;

constexpr std::size_t kStateSize = 8;
constexpr std::size_t kMinStateSize = 6;  // as encoded by versions without releases
constexpr std::size_t kLastReturnSize = 3;

}  // namespace

std::string State::encode() const {
    MsgpackWriter writer;
    writer.array(kStateSize).add(fields::kVersion, last_number_, revision_);
    writer.array(leases_.size());
    for (const auto& [key, lease] : leases_) fields::write(writer, lease);
    writer.array(last_return_by_zone_.size());
    for (const auto& [key, at] : last_return_by_zone_)
        writer.array(kLastReturnSize).add(static_cast<int>(key.kind), key.zone, at);
    writer.array(forced_.size());
    for (const Lease& lease : forced_) fields::write(writer, lease);
    writer.add(releases_.last_number_);
    writer.array(releases_.past_.size() + (releases_.active_ ? 1 : 0));
    for (const Release& release : releases_.past_) fields::write(writer, release);
    if (releases_.active_) fields::write(writer, *releases_.active_);
    return writer.bytes();
}

State State::decode(std::string_view bytes) {
    return fields::decode_array(bytes, kMinStateSize, [](MsgpackReader& reader) {
        fields::require_version(reader);
        State state;
        state.last_number_ = reader.next<std::uint64_t>();
        state.revision_ = reader.next<std::uint64_t>();
        for (MsgpackReader leases = reader.list(kMaxLeases); leases.remaining() > 0;) {
            Lease lease = fields::read_lease(leases.array(fields::kMinLeaseSize));
            fields::require(lease.number <= state.last_number_, CodecError::Code::inconsistent);
            state.leases_[{lease.kind, lease.member}] = std::move(lease);
        }
        for (MsgpackReader returns = reader.list(2 * kMaxMembers); returns.remaining() > 0;) {
            MsgpackReader last_return = returns.array(kLastReturnSize);
            ZoneKey key;
            key.kind = last_return.enumeration(MemberKind::pop_cache);
            key.zone = last_return.text(kMaxNameLength);
            state.last_return_by_zone_[key] = last_return.next<Micros>();
        }
        for (MsgpackReader forced = reader.list(kMaxForcedRecords); forced.remaining() > 0;)
            state.forced_.push_back(fields::read_lease(forced.array(fields::kMinLeaseSize)));
        if (reader.remaining() < 2) return state;  // encoded by a version without releases
        state.releases_.last_number_ = reader.next<std::uint64_t>();
        for (MsgpackReader releases = reader.list(kMaxPastReleases + 1); releases.remaining() > 0;) {
            Release release = fields::read_release(releases.array(fields::kReleaseSize));
            // Only the last release may be active.
            fields::require(!state.releases_.active_, CodecError::Code::inconsistent);
            if (release.is_finished())
                state.releases_.past_.push_back(std::move(release));
            else
                state.releases_.active_ = std::move(release);
        }
        return state;
    });
}

}  // namespace sumackeel::rollout
