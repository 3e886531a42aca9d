#include "cluster/virtual_network.h"

namespace sumackeel::cluster {

namespace {

constexpr std::size_t kHeld = 512;  // datagrams that a socket keeps for a process that does not read
constexpr std::size_t kExchangeRoom = 64;

std::uint64_t size_of(const Datagram& datagram) {
    std::size_t size = kFrameRoom + datagram.from.size() + datagram.to.size() + datagram.subject.size();
    for (const MemberRecord& word : datagram.records) size += max_encoded_size(word);
    for (const Suspicion& doubt : datagram.suspicions) size += max_encoded_size(doubt);
    return size;
}

std::uint64_t size_of(const FullState& whole) {
    return size_of(Datagram{.from = whole.from, .records = whole.records, .suspicions = whole.suspicions});
}

MemberRecord word_of(int member, std::uint64_t start, std::uint64_t life) {
    return {.name = VirtualNetwork::name_of(member),
            .address = "127.0.0.1:" + std::to_string(10'000 + member),
            .zone = "z" + std::to_string(member % 3),
            .software_version = "0.3.0",
            .incarnation = {start, 0},
            .instance_id = life,
            .phase = Phase::joining};
}

}  // namespace

std::string VirtualNetwork::name_of(int member) {
    return "n" + std::to_string(member);
}

int VirtualNetwork::member_of(const std::string& name) const {
    return std::stoi(name.substr(1));
}

VirtualNetwork::VirtualNetwork(const VirtualNetworkOptions& options) : options_(options), rng_(options.seed) {
    nodes_.resize(static_cast<std::size_t>(options.members));
    for (int i = 0; i < size(); ++i) start(i);
    if (!options_.formed) return;
    FullState all;
    for (int i = 0; i < size(); ++i) {
        at(i).mark_joined(0);
        all.records.push_back(at(i).self());
    }
    for (int i = 0; i < size(); ++i) {
        FullState state = all;
        state.from = name_of((i + 1) % size());
        std::swap(state.records.front(), state.records[static_cast<std::size_t>((i + 1) % size())]);
        at(i).merge(0, state);
        at(i).take_changes();
        nodes_[static_cast<std::size_t>(i)].joins_at = -1;
    }
}

void VirtualNetwork::start(int member) {
    Node& node = nodes_[static_cast<std::size_t>(member)];
    ++node.start;
    node.running = true;
    node.paused = false;
    node.held.clear();
    node.group =
        std::make_unique<Membership>(options_.membership, word_of(member, node.start, rng_()), rng_(), now_);
    node.ticks_at = -1;
    node.joins_at = now_;
    settle(member);
}

void VirtualNetwork::kill(int member) {
    Node& node = nodes_[static_cast<std::size_t>(member)];
    node.running = node.paused = false;
    node.held.clear();
}

void VirtualNetwork::pause(int member, bool on) {
    Node& node = nodes_[static_cast<std::size_t>(member)];
    if (!node.running) return;
    node.paused = on;
    if (on) return;
    // The socket's queue is read before what is due is looked at.
    for (const Datagram& datagram : std::exchange(node.held, {})) node.group->receive(now_, datagram);
    push(now_, member, nullptr);
    settle(member);
}

void VirtualNetwork::cut(int from, int to, bool on) {
    if (on)
        cuts_.insert({from, to});
    else
        cuts_.erase({from, to});
}

void VirtualNetwork::push(Micros at, int member, std::shared_ptr<const Datagram> datagram) {
    events_.push({at, orders_++, member, std::move(datagram)});
}

void VirtualNetwork::inject(int to, const Datagram& datagram) {
    push(now_, to, std::make_shared<const Datagram>(datagram));
}

void VirtualNetwork::settle(int member) {
    Node& node = nodes_[static_cast<std::size_t>(member)];
    for (OutgoingDatagram& out : node.group->take_outgoing()) {
        const int to = member_of(out.datagram.to);
        node.bytes += size_of(out.datagram);
        if (on_send) on_send(member, out.datagram);
        if (cuts_.contains({member, to})) continue;
        if (options_.loss > 0 && std::uniform_real_distribution<>(0, 1)(rng_) < options_.loss) continue;
        const Micros jitter = options_.jitter > 0
                                  ? static_cast<Micros>(rng_() % static_cast<std::uint64_t>(options_.jitter))
                                  : 0;
        push(now_ + options_.delay + jitter, to, std::make_shared<const Datagram>(std::move(out.datagram)));
    }
    for (const MemberChange& change : node.group->take_changes())
        if (on_change) on_change(member, change);
    if (const auto start = node.group->requested_start()) {
        node.start = std::max(node.start, start);
        node.group->set_start(now_, node.start);
    }
    if (node.ticks_at < 0 || node.group->due() < node.ticks_at) {
        node.ticks_at = node.group->due();
        push(node.ticks_at, member, nullptr);
    }
}

// Whole states over a stream: nothing is lost on it, and where either way is cut it does not come up. The
// caller knows only that it failed.
void VirtualNetwork::exchange(int member, int with) {
    Node& a = nodes_[static_cast<std::size_t>(member)];
    Node& b = nodes_[static_cast<std::size_t>(with)];
    if (member == with || !b.running || b.paused || !linked(member, with)) return;
    a.bytes += kExchangeRoom;
    b.bytes += kExchangeRoom;
    if (a.group->digest() != b.group->digest()) {
        const FullState theirs = b.group->full_state();
        b.bytes += size_of(theirs);
        a.group->merge(now_, theirs);
        const FullState ours = a.group->full_state();
        a.bytes += size_of(ours);
        b.group->merge(now_, ours);
    }
    if (a.joins_at >= 0) {
        a.joins_at = -1;
        a.group->mark_joined(now_);
    }
    settle(with);
}

void VirtualNetwork::run_until(Micros end) {
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        Node& node = nodes_[static_cast<std::size_t>(event.member)];
        if (!node.running) continue;
        if (event.datagram) {
            if (node.paused) {
                if (node.held.size() < kHeld) node.held.push_back(*event.datagram);
                continue;
            }
            node.group->receive(now_, *event.datagram);
        } else {
            if (node.paused || (event.at != node.ticks_at && event.at < node.group->due())) continue;
            node.ticks_at = -1;
            if (node.joins_at >= 0 && now_ >= node.joins_at) {
                node.joins_at = now_ + options_.membership.period;
                const int with = static_cast<int>(rng_() % static_cast<std::uint64_t>(size()));
                exchange(event.member, options_.formed ? with : 0);
                if (event.member == 0 && !options_.formed) node.joins_at = -1, node.group->mark_joined(now_);
            }
            node.group->tick(now_);
            if (const auto with = node.group->take_exchange()) exchange(event.member, member_of(*with));
        }
        settle(event.member);
    }
    now_ = std::max(now_, end);
}

bool VirtualNetwork::agreed(bool suspect_will_do) const {
    for (int i = 0; i < size(); ++i) {
        if (!running(i) || paused(i)) continue;
        for (int j = 0; j < size(); ++j) {
            if (i == j) continue;
            const auto state = nodes_[static_cast<std::size_t>(i)].group->state_of(name_of(j));
            const bool up = running(j) && !paused(j);
            if (up != (state == State::alive || (suspect_will_do && state == State::suspect))) return false;
        }
    }
    return true;
}

}  // namespace sumackeel::cluster
