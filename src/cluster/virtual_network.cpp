#include "cluster/virtual_network.h"

#include <algorithm>

namespace sumackeel::cluster {

namespace {

constexpr std::size_t kMaxUnread = 512;  // datagrams in the socket buffer of a paused process
constexpr std::size_t kExchangeHeaderBytes = 64;
constexpr int kZones = 3;

std::uint64_t max_encoded_size(const FullState& state) {
    return cluster::max_encoded_size(
        Datagram{.from = state.from, .records = state.records, .suspicions = state.suspicions});
}

MemberRecord first_record(int member, std::uint64_t start, std::uint64_t instance_id) {
    return {.name = VirtualNetwork::name_of(member),
            .address = "127.0.0.1:" + std::to_string(10'000 + member),
            .zone = "z" + std::to_string(member % kZones),
            .software_version = "0.3.0",
            .incarnation = {start, 0},
            .instance_id = instance_id,
            .phase = Phase::joining};
}

}  // namespace

std::uint64_t max_encoded_size(const Datagram& datagram) {
    std::size_t size =
        kMaxFrameOverheadBytes + datagram.from.size() + datagram.to.size() + datagram.subject.size();
    for (const MemberRecord& record : datagram.records) size += max_encoded_size(record);
    for (const Suspicion& suspicion : datagram.suspicions) size += max_encoded_size(suspicion);
    return size;
}

std::string VirtualNetwork::name_of(int member) {
    return "n" + std::to_string(member);
}

int VirtualNetwork::member_of(const std::string& name) const {
    return std::stoi(name.substr(1));
}

VirtualNetwork::VirtualNetwork(const VirtualNetworkOptions& options)
    : options_(options), random_(options.seed) {
    nodes_.resize(static_cast<std::size_t>(options.members));
    for (int member = 0; member < size(); ++member) start(member);
    if (options_.formed) introduce_all();
}

void VirtualNetwork::introduce_all() {
    FullState all;
    for (int member = 0; member < size(); ++member) {
        at(member).mark_joined(0);
        all.records.push_back(at(member).self());
    }
    for (int member = 0; member < size(); ++member) {
        const int sender = (member + 1) % size();
        FullState state = all;
        state.from = name_of(sender);
        std::swap(state.records.front(), state.records[static_cast<std::size_t>(sender)]);
        at(member).merge(0, state);
        at(member).take_changes();
        node(member).join_at = -1;
    }
}

void VirtualNetwork::set_delay(Micros delay, Micros jitter) {
    options_.delay = delay;
    options_.jitter = jitter;
}

void VirtualNetwork::start(int member) {
    Node& started = node(member);
    ++started.start;
    started.running = true;
    started.paused = false;
    started.unread.clear();
    const std::uint64_t seed = random_();
    started.membership = std::make_unique<Membership>(
        options_.membership, first_record(member, started.start, random_()), seed, now_);
    started.tick_at = -1;
    started.join_at = now_;
    flush(member);
}

void VirtualNetwork::kill(int member) {
    Node& killed = node(member);
    killed.running = false;
    killed.paused = false;
    killed.unread.clear();
}

void VirtualNetwork::pause(int member) {
    if (running(member)) node(member).paused = true;
}

void VirtualNetwork::resume(int member) {
    Node& resumed = node(member);
    if (!resumed.running) return;
    resumed.paused = false;
    // The socket's queue is read before timers run.
    for (const Datagram& datagram : std::exchange(resumed.unread, {}))
        resumed.membership->receive(now_, datagram);
    schedule(now_, member, nullptr);
    flush(member);
}

void VirtualNetwork::schedule(Micros at, int member, std::shared_ptr<const Datagram> datagram) {
    events_.push({at, last_order_++, member, std::move(datagram)});
}

void VirtualNetwork::inject(int to, const Datagram& datagram) {
    schedule(now_, to, std::make_shared<const Datagram>(datagram));
}

void VirtualNetwork::flush(int member) {
    Node& flushed = node(member);
    for (OutgoingDatagram& outgoing : flushed.membership->take_outgoing()) transmit(member, outgoing);
    for (const MemberChange& change : flushed.membership->take_changes())
        if (on_change) on_change(member, change);
    if (const auto start = flushed.membership->requested_start()) {
        flushed.start = std::max(flushed.start, start);
        flushed.membership->set_start(now_, flushed.start);
    }
    if (flushed.tick_at < 0 || flushed.membership->due() < flushed.tick_at) {
        flushed.tick_at = flushed.membership->due();
        schedule(flushed.tick_at, member, nullptr);
    }
}

void VirtualNetwork::transmit(int member, OutgoingDatagram& outgoing) {
    const int to = member_of(outgoing.datagram.to);
    node(member).bytes_sent += cluster::max_encoded_size(outgoing.datagram);
    if (on_send) on_send(member, outgoing.datagram);
    if (cuts_.contains({member, to})) return;
    if (options_.loss > 0 && std::uniform_real_distribution<>(0, 1)(random_) < options_.loss) return;
    Micros delay = options_.delay;
    if (options_.jitter > 0)
        delay += static_cast<Micros>(random_() % static_cast<std::uint64_t>(options_.jitter));
    schedule(now_ + delay, to, std::make_shared<const Datagram>(std::move(outgoing.datagram)));
}

// Exchanges full states over a stream: nothing is lost on it, and it can't be opened if either direction is
// cut. The caller sees only that it failed.
void VirtualNetwork::exchange(int member, int peer) {
    Node& caller = node(member);
    Node& called = node(peer);
    if (member == peer || !called.running || called.paused || !linked(member, peer)) return;
    exchange_states(caller, called);
    if (caller.join_at >= 0) {
        caller.join_at = -1;
        caller.membership->mark_joined(now_);
    }
    flush(peer);
}

void VirtualNetwork::exchange_states(Node& node, Node& peer) {
    node.bytes_sent += kExchangeHeaderBytes;
    peer.bytes_sent += kExchangeHeaderBytes;
    if (node.membership->digest() == peer.membership->digest()) return;
    const FullState theirs = peer.membership->full_state();
    peer.bytes_sent += max_encoded_size(theirs);
    node.membership->merge(now_, theirs);
    const FullState ours = node.membership->full_state();
    node.bytes_sent += max_encoded_size(ours);
    peer.membership->merge(now_, ours);
}

void VirtualNetwork::run_until(Micros end) {
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        Node& receiver = node(event.member);
        if (!receiver.running) continue;
        if (receiver.paused) {
            if (event.datagram && receiver.unread.size() < kMaxUnread)
                receiver.unread.push_back(*event.datagram);
            continue;
        }
        if (event.datagram) {
            receiver.membership->receive(now_, *event.datagram);
        } else {
            const bool outdated = event.at != receiver.tick_at && event.at < receiver.membership->due();
            if (outdated) continue;
            tick(event.member);
        }
        flush(event.member);
    }
    now_ = std::max(now_, end);
}

void VirtualNetwork::tick(int member) {
    Node& ticked = node(member);
    ticked.tick_at = -1;
    if (ticked.join_at >= 0 && now_ >= ticked.join_at) join(member);
    ticked.membership->tick(now_);
    if (const auto peer = ticked.membership->take_exchange()) exchange(member, member_of(*peer));
}

void VirtualNetwork::join(int member) {
    Node& joining = node(member);
    joining.join_at = now_ + options_.membership.protocol_period;
    const int random_member = static_cast<int>(random_() % static_cast<std::uint64_t>(size()));
    exchange(member, options_.formed ? random_member : 0);
    if (member == 0 && !options_.formed) {
        joining.join_at = -1;
        joining.membership->mark_joined(now_);
    }
}

bool VirtualNetwork::converged(Accepted accepted) const {
    for (int observer = 0; observer < size(); ++observer) {
        if (!running(observer) || paused(observer)) continue;
        for (int other = 0; other < size(); ++other) {
            if (observer == other) continue;
            const auto state = node(observer).membership->state_of(name_of(other));
            const bool up = running(other) && !paused(other);
            const bool seen_up = state == MemberState::alive ||
                                 (accepted == Accepted::alive_or_suspect && state == MemberState::suspect);
            if (up != seen_up) return false;
        }
    }
    return true;
}

}  // namespace sumackeel::cluster
