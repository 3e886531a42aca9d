#include "cluster/member_table.h"

#include <algorithm>
#include <cmath>

namespace sumackeel::cluster {

const SuspicionEntry* Member::suspicion_by(const std::string& suspector) const {
    const auto found = suspicions.find(suspector);
    return found == suspicions.end() ? nullptr : &found->second;
}

Member* MemberTable::find(const std::string& name) {
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second;
}

const Member* MemberTable::find(const std::string& name) const {
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second;
}

Member* MemberTable::add(const MemberRecord& record, Micros now) {
    if (members_.size() >= kMaxMembers) {
        const auto old = std::find_if(members_.begin(), members_.end(),
                                      [](const auto& item) { return item.second.forgotten; });
        if (old == members_.end()) return nullptr;
        suspected_.erase(old->first);
        members_.erase(old);
    }
    Member& member = members_[record.name];
    member.record = record;
    member.gone_since = now;
    member.state_since = now;
    on_change();
    return &member;
}

void MemberTable::set_suspected(const std::string& name, bool suspected) {
    if (suspected)
        suspected_.insert(name);
    else
        suspected_.erase(name);
}

std::vector<std::string> MemberTable::pinged() const {
    std::vector<std::string> names;
    for (const auto& [name, member] : members_)
        if (member.is_pinged()) names.push_back(name);
    return names;
}

std::size_t MemberTable::count() const {
    if (count_ == 0) {
        count_ = 1;
        for (const auto& [name, member] : members_)
            if (!member.forgotten && !member.has_left()) ++count_;
    }
    return count_;
}

double MemberTable::log_size() const {
    return std::max(1.0, std::log10(static_cast<double>(count())));
}

std::size_t MemberTable::required_suspectors() const {
    if (!options_.lifeguard) return 1;
    return std::min(static_cast<std::size_t>(options_.required_suspectors),
                    std::max<std::size_t>(1, count() - 1));
}

void add_unique(std::vector<std::string>& names, const std::string& name) {
    if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
}

}  // namespace sumackeel::cluster
