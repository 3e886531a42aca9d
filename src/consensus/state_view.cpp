#include "consensus/state_view.h"

namespace sumackeel::consensus {

const rollout::State& StateView::state() const {
    const bool own = voter_.votes() && voter_.node().state().revision() >= follower_.state().revision();
    return own ? voter_.node().state() : follower_.state();
}

const kv_store::State& StateView::kv_store() const {
    const bool own = voter_.votes() && voter_.node().kv_store().revision() >= follower_.kv_store().revision();
    return own ? voter_.node().kv_store() : follower_.kv_store();
}

// Until a leader has sent them, a voter's own log may lack committed entries. Only the leader, and members
// that received the state from it, have all of them.
bool StateView::is_known() const {
    if (voter_.is_leader()) return voter_.node().is_caught_up_leader();
    return follower_.is_known();
}

std::string StateView::leader() const {
    if (!voter_.votes()) return follower_.leader();
    const std::string leader = voter_.node().leader();
    return leader.empty() && follower_.is_polling() ? follower_.leader() : leader;
}

std::optional<base::Micros> StateView::confirmed_age(base::Micros now) const {
    const auto at = confirmed_at();
    return at ? std::optional(now - *at) : std::nullopt;
}

std::uint64_t StateView::history() const {
    return voter_.votes() ? voter_.node().history() : follower_.history();
}

rollout::RunningVersion StateView::running_version_of(const cluster::MemberRecord& record) const {
    rollout::RunningVersion running{record.incarnation.start, record.software_version};
    const rollout::Release* release = state().releases().active();
    if (!release) return running;
    const auto reported = release->reported_versions.find(record.name);
    const bool later = reported != release->reported_versions.end() && reported->second.start > running.start;
    return later ? reported->second : running;
}

}  // namespace sumackeel::consensus
