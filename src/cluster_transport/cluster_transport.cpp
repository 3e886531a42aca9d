#include "cluster_transport/cluster_transport.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "cluster_transport/exchange_stream.h"
#include "cluster_transport/outgoing_call.h"

namespace sumackeel::cluster_transport {

using base::Micros;
using cluster::SendPriority;

namespace {

constexpr std::size_t kMaxExchanges = 32;            // at a time, incoming and outgoing
constexpr Micros kBindRetryInterval = 200'000;       // while the previous process holds the address
constexpr int kMaxJoinPeriods = 5;                   // periods to wait for a response from any seed
constexpr double kExchangeBandwidthFraction = 0.25;  // of the rate limit; the rest is for datagrams
// The fraction of the datagram rate limit that must be available for these; pings and acks use all of it.
constexpr double kMinFractionForIndirectPings = 0.1;
constexpr double kMinFractionForGossip = 0.3;

cluster::Options options_of(const config::Cluster& setup) {
    cluster::Options options;
    options.protocol_period = setup.period;
    options.ping_timeout = setup.probe_timeout;
    options.indirect_pings = setup.indirect;
    options.required_suspectors = setup.votes;
    options.forget_after = setup.forget;
    options.exchange_interval = setup.exchange_every;
    options.size_settle_time = setup.settle;
    return options;
}

cluster::MemberRecord first_record(const config::Cluster& setup, const std::string& zone,
                                   const std::string& version, std::uint64_t start,
                                   std::uint64_t instance_id) {
    return {.name = setup.name,
            .address = setup.advertise.empty() ? setup.listen : setup.advertise,
            .zone = zone,
            .software_version = version,
            .incarnation = {start, 0},
            .instance_id = instance_id,
            .phase = cluster::Phase::joining};
}

// Not derived from the configured seed: that gives the same number at each start, and two processes must
// differ.
std::uint64_t new_instance_id() {
    std::random_device random;
    const auto high = static_cast<std::uint64_t>(random());
    return high << 32 | random();
}

}  // namespace

ClusterTransport::ClusterTransport(net::Loop& loop, net::SocketBudget& sockets, const config::Cluster& setup,
                                   const std::string& zone, const std::string& version, std::uint64_t seed,
                                   const std::map<std::string, int>& initial_size, bool wait_for_address,
                                   ClusterSizeCallback on_size_change)
    : loop_(loop),
      sockets_(sockets),
      setup_(setup),
      codec_(setup.group, load_keys(setup.key_file)),
      start_number_(setup.folder),
      start_write_(loop),
      random_(seed ^ 0x9e3779b97f4a7c15ULL),
      membership_(options_of(setup),
                  first_record(setup, zone, version, claim_start_number(start_number_), new_instance_id()),
                  random_(), monotonic_now()),
      on_size_change_(std::move(on_size_change)),
      reported_size_(initial_size),
      datagram_limiter_(setup.bytes_per_s * (1 - kExchangeBandwidthFraction)),
      exchange_limiter_(setup.bytes_per_s * kExchangeBandwidthFraction) {
    membership_.seed_cluster_size(initial_size);
    started_at_ = monotonic_now();
    if (!listen()) {
        if (!wait_for_address) {
            close();
            throw TransportError(TransportError::Code::address_in_use,
                                 "peers: can't listen on " + setup_.listen);
        }
        log::info("cluster_transport: address_in_use address={} reason=held_by_previous_process",
                  setup_.listen);
        listen_later();
    }
    log::info("cluster_transport: started member={} cluster={} start={}", setup_.name, setup_.group,
              membership_.self().incarnation.start);
    schedule_tick();
}

ClusterTransport::~ClusterTransport() {
    close();
}

void ClusterTransport::close() {
    for (auto* timer : {&tick_timer_, &bind_timer_}) {
        if (*timer) loop_.timers().cancel(**timer);
        timer->reset();
    }
    exchanges_.clear();
    outgoing_calls_.clear();
    listener_.reset();
    if (!udp_) return;
    udp_->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(udp_),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_udp_t*>(handle); });
    udp_ = nullptr;
}

bool ClusterTransport::listen() {
    sockaddr_in address{};
    if (!net::parse_address(setup_.listen, address))
        throw TransportError(TransportError::Code::invalid_address, "peers: no address: " + setup_.listen);
    open_datagram_socket();
    if (uv_udp_bind(udp_, reinterpret_cast<const sockaddr*>(&address), 0) != 0) {
        close();
        return false;
    }
    try {
        listener_ = std::make_unique<net::Listener>(loop_, setup_.listen, [this] { accept_stream(); });
    } catch (const std::exception&) {
        close();
        return false;
    }
    uv_udp_recv_start(
        udp_,
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
            auto& bytes = static_cast<net::Loop*>(handle->loop->data)->read_buffer();
            *buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
        },
        [](uv_udp_t* handle, ssize_t count, const uv_buf_t* buffer, const sockaddr* from, unsigned) {
            auto* self = static_cast<ClusterTransport*>(handle->data);
            if (self && count >= 0 && from)
                self->on_datagram({buffer->base, static_cast<std::size_t>(count)});
        });
    return true;
}

void ClusterTransport::open_datagram_socket() {
    udp_ = new uv_udp_t;  // deleted by close(), from the loop
    uv_udp_init(loop_.raw(), udp_);
    udp_->data = this;
}

void ClusterTransport::accept_stream() {
    const int fd = listener_->accept();
    if (fd < 0) return;
    auto exchange = std::make_unique<ExchangeStream>(*this, ExchangeStream::Direction::incoming, "");
    exchange->attach(net::Stream::adopt(loop_, sockets_, fd, *exchange));
    if (!exchange->is_attached()) return;
    exchanges_.push_back(std::move(exchange));
    if (exchanges_.size() > kMaxExchanges) exchanges_.erase(exchanges_.begin());  // the oldest
}

void ClusterTransport::listen_later() {
    bind_timer_ = loop_.timers().schedule(loop_.clock().now() + kBindRetryInterval, [this] {
        bind_timer_.reset();
        if (!listen()) return listen_later();
        log::info("cluster_transport: address_acquired address={}", setup_.listen);
        schedule_tick();
    });
}

Micros ClusterTransport::monotonic_now() {
    return static_cast<Micros>(uv_hrtime() / 1000);
}

int ClusterTransport::port() const {
    return listener_ ? listener_->port() : -1;
}

void ClusterTransport::on_datagram(std::string_view bytes) {
    try {
        receive_datagram(bytes);
    } catch (const std::exception& error) {
        log::error("cluster_transport: datagram_failed reason={}", error.what());
    }
}

void ClusterTransport::receive_datagram(std::string_view bytes) {
    if (MessageCodec::is_call(bytes)) return receive_query(bytes);
    ++metrics_.datagrams_in;
    metrics_.bytes_in += bytes.size();
    DecodeError error{};
    const auto sequenced = codec_.decode_datagram(bytes, error);
    if (!sequenced) return reject_datagram(error);
    const cluster::Datagram& datagram = sequenced->datagram;
    if (datagram.to != membership_.self().name) return reject_datagram(DecodeError::wrong_protocol);
    if (!datagram_replay_filter_.accept(datagram.from, sequenced->start, sequenced->sequence))
        return reject_datagram(DecodeError::replayed);
    membership_.receive(monotonic_now(), datagram);
    flush();
}

bool ClusterTransport::send_bytes(const std::string& advertised, const std::string& bytes) {
    sockaddr_in address{};
    const uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
    if (!net::parse_address(reachable_address(advertised), address) ||
        uv_udp_try_send(udp_, &buffer, 1, reinterpret_cast<const sockaddr*>(&address)) < 0) {
        ++metrics_.not_sent;
        return false;
    }
    metrics_.bytes_out += bytes.size();
    return true;
}

void ClusterTransport::flush() {
    if (const std::uint64_t requested = membership_.requested_start()) raise_start(requested);
    for (const cluster::OutgoingDatagram& outgoing : membership_.take_outgoing()) send(outgoing);
    report_changes();
    if (const auto peer = membership_.take_exchange()) {
        const std::string advertised = membership_.address_of(*peer);
        if (!advertised.empty()) exchange(reachable_address(advertised), *peer);
    }
    if (membership_.is_displaced() && !std::exchange(displacement_logged_, true))
        log::error("cluster: displaced member={} reason=another_process_uses_this_name",
                   membership_.self().name);
    schedule_tick();
}

void ClusterTransport::raise_start(std::uint64_t start) {
    if (start_write_.busy()) return;
    const auto error = std::make_shared<std::string>();
    start_write_.run([number = start_number_, start, error] { *error = number.raise_to(start); },
                     [this, start, error] {
                         if (!error->empty())
                             return log::error(
                                 "cluster_transport: start_number_not_written start={} reason={}", start,
                                 *error);
                         log::warn(
                             "cluster_transport: start_number_raised member={} start={} "
                             "reason=known_by_a_later_start",
                             membership_.self().name, start);
                         membership_.set_start(monotonic_now(), start);
                         flush();
                     });
}

void ClusterTransport::schedule_tick() {
    if (tick_timer_) loop_.timers().cancel(*tick_timer_);
    tick_timer_.reset();
    if (!is_listening() || stopped_) return;
    const Micros wait = std::max<Micros>(0, membership_.due() - monotonic_now());
    tick_timer_ = loop_.timers().schedule(loop_.clock().now() + wait, [this] {
        tick_timer_.reset();
        membership_.tick(monotonic_now());
        join();
        flush();
    });
}

void ClusterTransport::report_changes() {
    for (const cluster::MemberChange& change : membership_.take_changes())
        log::info("cluster: state_changed member={} state={} previous={} suspectors={}", change.member,
                  name_of(change.to), name_of(change.from), fmt::join(change.suspectors, ","));
    if (membership_.side() == cluster::PartitionSide::alone) return;
    auto counts = membership_.cluster_size().counts();
    if (counts.empty() || counts == reported_size_) return;
    reported_size_ = std::move(counts);
    on_size_change_(reported_size_);
}

std::string ClusterTransport::reachable_address(const std::string& advertised) const {
    const auto found = setup_.reach.find(advertised);
    return found == setup_.reach.end() ? advertised : found->second;
}

// Applies the rate limit, lowest priority first: gossip is omitted, then indirect pings are dropped, then all
// datagrams.
bool ClusterTransport::is_rate_limited(const cluster::OutgoingDatagram& outgoing,
                                       SequencedDatagram& sequenced) {
    const double available = datagram_limiter_.share(monotonic_now());
    auto& records = sequenced.datagram.records;
    auto& suspicions = sequenced.datagram.suspicions;
    if (available < kMinFractionForGossip && (records.size() > 1 || suspicions.size() > 1)) {
        records.resize(1);
        if (!suspicions.empty()) suspicions.resize(1);
        ++metrics_.rate_limited[static_cast<int>(SendPriority::gossip)];
    }
    const bool is_indirect = outgoing.priority == SendPriority::indirect;
    if (available > 0 && !(is_indirect && available < kMinFractionForIndirectPings)) return false;
    ++metrics_.rate_limited[static_cast<int>(outgoing.priority)];
    return true;
}

void ClusterTransport::send(const cluster::OutgoingDatagram& outgoing) {
    if (!is_listening()) return;
    SequencedDatagram sequenced{outgoing.datagram, membership_.self().incarnation.start, ++last_sequence_};
    if (is_rate_limited(outgoing, sequenced)) return;
    const std::string bytes = codec_.encode_datagram(sequenced);
    if (!send_bytes(outgoing.address, bytes)) return;
    datagram_limiter_.spend(bytes.size());
    ++metrics_.datagrams_out;
}

// Members that start together can form two clusters that do not know each other. So each seed is contacted
// once, one per period, and a random one from time to time as long as this process runs. Without a response
// for kMaxJoinPeriods this member is the first one.
void ClusterTransport::join() {
    const Micros now = monotonic_now();
    if (now < next_join_at_) return;
    if (seeds_to_contact_.empty()) {
        seeds_to_contact_ = setup_.seeds;
        std::shuffle(seeds_to_contact_.begin(), seeds_to_contact_.end(), random_);
    }
    first_seed_round_ = first_seed_round_ && !seeds_to_contact_.empty();
    const bool settled = joined_ && membership_.member_count() > 1 && !first_seed_round_;
    next_join_at_ = now + (settled ? std::max(setup_.period, setup_.exchange_every) : setup_.period);
    if (!joined_ && (setup_.seeds.empty() || now - started_at_ >= kMaxJoinPeriods * setup_.period))
        mark_joined();
    if (seeds_to_contact_.empty()) return;
    const std::string seed = std::move(seeds_to_contact_.back());
    seeds_to_contact_.pop_back();
    first_seed_round_ = first_seed_round_ && !seeds_to_contact_.empty();
    exchange(seed, "");
}

void ClusterTransport::mark_joined() {
    joined_ = true;
    membership_.mark_joined(monotonic_now());
    log::info("cluster: joined members={}", membership_.member_count());
}

void ClusterTransport::exchange(const std::string& address, const std::string& name) {
    sockaddr_in to{};
    if (!net::parse_address(address, to) || exchanges_.size() >= kMaxExchanges) return;
    if (joined_ && exchange_limiter_.available(monotonic_now()) <= 0) {
        ++metrics_.rate_limited[static_cast<int>(SendPriority::state_exchange)];
        return;
    }
    ++metrics_.exchanges;
    auto exchange = std::make_unique<ExchangeStream>(*this, ExchangeStream::Direction::outgoing, name);
    exchange->attach(net::Stream::connect(loop_, sockets_, to, *exchange));
    if (!exchange->is_attached()) {
        ++metrics_.exchanges_failed;
        return;
    }
    exchanges_.push_back(std::move(exchange));
}

void ClusterTransport::on_exchange_ended(ExchangeStream& exchange, bool done) {
    exchange.cancel_timeout();
    if (exchange.is_outgoing() && !done) ++metrics_.exchanges_failed;
    if (exchange.is_outgoing() && done && !joined_) mark_joined();
    release_later(exchanges_, exchange);
    if (!stopped_) flush();
}

cluster::MemberRecord ClusterTransport::record_of(const std::string& name) const {
    if (name == membership_.self().name) return membership_.self();
    for (const cluster::MemberView& seen : membership_.members())
        if (seen.record.name == name) return seen.record;
    return {};
}

void ClusterTransport::set_software_version(const std::string& version) {
    membership_.set_software_version(monotonic_now(), version);
    if (!stopped_) flush();
}

void ClusterTransport::leave() {
    if (std::exchange(stopped_, true)) return;
    membership_.leave(monotonic_now());
    for (const cluster::OutgoingDatagram& outgoing : membership_.take_outgoing()) send(outgoing);
    log::info("cluster: left member={}", membership_.self().name);
    close();
}

void ClusterTransport::go_silent() {
    if (std::exchange(stopped_, true)) return;
    close();
}

}  // namespace sumackeel::cluster_transport
