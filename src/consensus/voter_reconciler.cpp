#include "consensus/voter_reconciler.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace sumackeel::consensus {

raft_id raft_id_of(const std::string& name) {
    return std::max<raft_id>(1, raft_digest(name.c_str(), 0));
}

VoterReconciler::VoterReconciler(raft& raft, Options options) : raft_(raft), options_(std::move(options)) {}

void VoterReconciler::reconcile() {
    if (busy_) return;
    if (add_missing_voter()) return;
    remove_former_voter();
}

// A new voter is first added without a vote (as a spare) and promoted once it has the log.
bool VoterReconciler::add_missing_voter() {
    const raft_server* begin = raft_.configuration.servers;
    const raft_server* end = begin + raft_.configuration.n;
    for (const auto& voter : options_.setup.voters) {
        const raft_id id = raft_id_of(voter.first);
        const auto* found = std::find_if(begin, end, [&](const raft_server& one) { return one.id == id; });
        if (found != end && found->role == RAFT_VOTER) continue;
        if (found != end) {
            begin_change(fmt::format("change=promote member={}", voter.first),
                         [&](raft_change* change, raft_change_cb done) {
                             return raft_assign(&raft_, change, id, RAFT_VOTER, done);
                         });
        } else {
            begin_change(fmt::format("change=add member={}", voter.first),
                         [&](raft_change* change, raft_change_cb done) {
                             return raft_add(&raft_, change, id, voter.second.c_str(), done);
                         });
        }
        return true;
    }
    return false;
}

void VoterReconciler::remove_former_voter() {
    const raft_server* end = raft_.configuration.servers + raft_.configuration.n;
    for (const raft_server* server = raft_.configuration.servers; server != end; ++server) {
        const std::string name = name_of(server->id);
        const auto configured = options_.setup.voters.find(name);
        if (configured != options_.setup.voters.end() && configured->second == server->address) continue;
        if (!is_safe_to_remove(*server)) continue;
        // The leader transfers leadership first, and its successor removes it. No lease request then has to
        // wait for an election.
        if (server->id == raft_.id) return transfer_leadership(0, nullptr);
        return begin_change(fmt::format("change=remove member={} address={}", name.empty() ? "unknown" : name,
                                        server->address),
                            [&](raft_change* change, raft_change_cb done) {
                                return raft_remove(&raft_, change, server->id, done);
                            });
    }
}

// Removing a voter while others are dead could leave too few for a majority, even for committing the change
// itself. A majority of the remaining voters must therefore be alive.
bool VoterReconciler::is_safe_to_remove(const raft_server& voter) const {
    unsigned remaining = 0;
    unsigned alive = 0;
    for (unsigned i = 0; i < raft_.configuration.n; ++i) {
        const raft_server& other = raft_.configuration.servers[i];
        if (&other == &voter || other.role != RAFT_VOTER) continue;
        ++remaining;
        alive += options_.is_alive(name_of(other.id)) ? 1 : 0;
    }
    return 2 * alive > remaining;
}

template <typename Start>
void VoterReconciler::begin_change(const std::string& description, Start start) {
    change_.data = this;
    const int result = start(&change_, [](raft_change* change, int status) {
        static_cast<VoterReconciler*>(change->data)->busy_ = false;
        log::info("consensus: voter change finished result={}", status == 0 ? "ok" : raft_strerror(status));
    });
    busy_ = result == 0;
    if (busy_) log::info("consensus: voter change started {}", description);
}

void VoterReconciler::transfer_leadership(raft_id to, std::function<void()> done) {
    transfer_.data = this;
    transfer_done_ = std::move(done);
    const int result = raft_transfer(&raft_, &transfer_, to, [](struct raft_transfer* transfer) {
        auto* self = static_cast<VoterReconciler*>(transfer->data);
        self->busy_ = false;
        if (const auto finished = std::exchange(self->transfer_done_, nullptr)) finished();
    });
    busy_ = result == 0;
    if (busy_) return log::info("consensus: leadership transfer started member={}", options_.self);
    if (const auto finished = std::exchange(transfer_done_, nullptr)) finished();
}

std::vector<std::string> VoterReconciler::voters() const {
    std::vector<std::string> names;
    for (unsigned i = 0; i < raft_.configuration.n; ++i)
        if (raft_.configuration.servers[i].role == RAFT_VOTER)
            names.push_back(name_of(raft_.configuration.servers[i].id));
    std::sort(names.begin(), names.end());
    return names;
}

std::string VoterReconciler::name_of(raft_id id) const {
    for (const auto& [name, address] : options_.known_voters)
        if (raft_id_of(name) == id) return name;
    return {};
}

}  // namespace sumackeel::consensus
