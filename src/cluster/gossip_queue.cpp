#include "cluster/gossip_queue.h"

#include <cmath>
#include <vector>

namespace sumackeel::cluster {

bool GossipQueue::Entry::operator<(const Entry& other) const {
    if (transmissions_left != other.transmissions_left) return transmissions_left > other.transmissions_left;
    return key < other.key;
}

void GossipQueue::add(const GossipKey& key) {
    const auto old = transmissions_left_.find(key);
    if (old != transmissions_left_.end()) order_.erase({old->second, key});
    const int transmissions = static_cast<int>(std::ceil(options_.retransmissions * members_.log_size()));
    transmissions_left_[key] = transmissions;
    order_.insert({transmissions, key});
}

void GossipQueue::append_to(Datagram& datagram, const Member& to, std::size_t used) {
    std::vector<Entry> sent;
    std::vector<Entry> obsolete;
    for (const Entry& entry : order_) {
        const AppendResult result = append(entry.key, datagram, to, used);
        if (result == AppendResult::full) break;
        (result == AppendResult::appended ? sent : obsolete).push_back(entry);
    }
    for (const Entry& entry : sent) on_transmitted(entry);
    for (const Entry& entry : obsolete) remove(entry);
}

GossipQueue::AppendResult GossipQueue::append(const GossipKey& key, Datagram& datagram, const Member& to,
                                              std::size_t& used) const {
    return key.kind == GossipKey::Kind::record ? append_record(key, datagram, to, used)
                                               : append_suspicion(key, datagram, used);
}

GossipQueue::AppendResult GossipQueue::append_record(const GossipKey& key, Datagram& datagram,
                                                     const Member& to, std::size_t& used) const {
    const Member* member = members_.find(key.subject);
    if (!member) return AppendResult::obsolete;
    const std::size_t size = max_encoded_size(member->record);
    if (used + size > kMaxDatagramBytes) return AppendResult::full;
    // The receiver knows its own record: it counts as sent.
    if (member->record.name == to.record.name) return AppendResult::appended;
    datagram.records.push_back(member->record);
    used += size;
    return AppendResult::appended;
}

GossipQueue::AppendResult GossipQueue::append_suspicion(const GossipKey& key, Datagram& datagram,
                                                        std::size_t& used) const {
    const Member* member = members_.find(key.subject);
    const SuspicionEntry* entry = member ? member->suspicion_by(key.suspector) : nullptr;
    if (!entry || !entry->is_accepted) return AppendResult::obsolete;
    const std::size_t size = max_encoded_size(entry->accepted);
    if (used + size > kMaxDatagramBytes) return AppendResult::full;
    datagram.suspicions.push_back(entry->accepted);
    used += size;
    return AppendResult::appended;
}

void GossipQueue::on_transmitted(const Entry& entry) {
    order_.erase(entry);
    int& left = transmissions_left_[entry.key];
    --left;
    if (left <= 0)
        transmissions_left_.erase(entry.key);
    else
        order_.insert({left, entry.key});
}

void GossipQueue::remove(const Entry& entry) {
    order_.erase(entry);
    transmissions_left_.erase(entry.key);
}

}  // namespace sumackeel::cluster
