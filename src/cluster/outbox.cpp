#include "cluster/outbox.h"

namespace sumackeel::cluster {

namespace {

// A suspicion of the receiver's own newest record.
const Suspicion* suspicion_of_receiver(const Member& receiver) {
    for (const auto& [suspector, entry] : receiver.suspicions)
        if (entry.is_active() && entry.accepted.incarnation >= receiver.record.incarnation)
            return &entry.accepted;
    return nullptr;
}

}  // namespace

void Outbox::send(const Member& to, Datagram datagram, SendPriority priority) {
    datagram.from = local_.self.name;
    datagram.to = to.record.name;
    datagram.records.push_back(local_.self);
    std::size_t used = kMaxFrameOverheadBytes + datagram.from.size() + datagram.to.size() +
                       datagram.subject.size() + max_encoded_size(local_.self);
    // Lifeguard's buddy system: a suspected member learns of its suspicion with the first datagram that
    // reaches it. So does a dead one, which can then refute its death.
    if (local_.options.lifeguard || to.dead) {
        if (const Suspicion* suspicion = suspicion_of_receiver(to)) {
            datagram.suspicions.push_back(*suspicion);
            used += max_encoded_size(*suspicion);
        }
    }
    // Gossip sent to a dead member would count as sent and reach nobody.
    if (!to.dead) gossip_.append_to(datagram, to, used);
    datagrams_.push_back({to.record.address, std::move(datagram), priority});
}

}  // namespace sumackeel::cluster
