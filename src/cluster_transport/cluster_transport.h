// Transport between edge proxies: datagrams of the membership protocol, and streams for state exchanges and
// calls between members, all at one address. Owns the membership, its start number on disk and its rate
// limits. Disabled unless peers are configured. All functions must be called on the loop's thread.
#pragma once

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/membership.h"
#include "cluster_transport/message_codec.h"
#include "cluster_transport/rate_limiter.h"
#include "cluster_transport/start_number.h"
#include "config/operator.h"
#include "net/background_task.h"
#include "net/listener.h"
#include "net/stream.h"

namespace sumackeel::cluster_transport {

// Why the transport could not start.
class TransportError : public std::runtime_error {
  public:
    enum class Code { invalid_address, address_in_use };
    TransportError(Code code, const std::string& text) : std::runtime_error(text), code_(code) {}
    Code code() const { return code_; }

  private:
    Code code_;
};

// Counts since the start of the process.
struct Metrics {
    std::uint64_t datagrams_out = 0;
    std::uint64_t datagrams_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t exchanges = 0;  // opened by this member
    std::uint64_t exchanges_same = 0;
    std::uint64_t exchanges_failed = 0;
    std::uint64_t queries_out = 0;  // queries and replies, not among the datagrams
    std::uint64_t queries_in = 0;
    std::uint64_t not_sent = 0;          // datagrams that the system call rejected
    std::uint64_t rate_limited[4] = {};  // by cluster::SendPriority: dropped at the rate limit
    std::uint64_t decode_errors[kDecodeErrorCount] = {};  // by DecodeError
};

class ClusterTransport {
  public:
    // Called with the number of edge proxies by zone whenever it changes.
    using ClusterSizeCallback = std::function<void(const std::map<std::string, int>& by_zone)>;

    // Throws TransportError, StartNumberError or config::ConfigError where the address, the folder or the key
    // can't be used. `initial_size`: the configured size by zone. `wait_for_address`: another process of this
    // proxy may hold the address until it ends.
    ClusterTransport(net::Loop& loop, net::SocketBudget& sockets, const config::Cluster& setup,
                     const std::string& zone, const std::string& version, std::uint64_t seed,
                     const std::map<std::string, int>& initial_size, bool wait_for_address,
                     ClusterSizeCallback on_size_change);
    ~ClusterTransport();
    ClusterTransport(const ClusterTransport&) = delete;
    ClusterTransport& operator=(const ClusterTransport&) = delete;

    // Sends the response to a call, immediately or later, on the loop's thread.
    using Respond = std::function<void(std::string response)>;
    using CallHandler = std::function<void(const std::string& from, const std::string& method,
                                           const std::string& body, Respond respond)>;
    void on_call(const std::string& method, CallHandler handler) {
        call_handlers_[method] = std::move(handler);
    }
    void remove_call_handler(const std::string& method) { call_handlers_.erase(method); }
    // Called exactly once, from the loop: with the response, or with none after a timeout or a failure.
    using CallCallback = std::function<void(std::optional<std::string> response)>;
    // Returns the number of the call.
    std::uint64_t call(const std::string& to, const std::string& method, std::string body,
                       base::Micros timeout, CallCallback callback);
    // Ends a call whose callback has not run; it never will.
    void abandon(std::uint64_t call);

    // A query and its reply, one datagram each, which may be lost, late or repeated. For what is asked often
    // and answered with a few numbers. The reply is sent at once; none: the query is not answered.
    using QueryHandler =
        std::function<std::optional<std::string>(const std::string& from, const std::string& body)>;
    void on_query(const std::string& method, QueryHandler handler) {
        query_handlers_[method] = std::move(handler);
    }
    // Called for each reply to a query that this process sent, with the number of the query.
    using QueryReplyHandler =
        std::function<void(const std::string& from, std::uint64_t number, const std::string& body)>;
    void on_query_reply(const std::string& method, QueryReplyHandler handler) {
        query_reply_handlers_[method] = std::move(handler);
    }
    void remove_query_handlers(const std::string& method) {
        query_handlers_.erase(method);
        query_reply_handlers_.erase(method);
    }
    // `number` is chosen by the caller and returned with the reply.
    void send_query(const std::string& to, const std::string& method, std::uint64_t number, std::string body);

    const MessageCodec& codec() const { return codec_; }
    const config::Cluster& setup() const { return setup_; }
    // The address at which this proxy reaches a member that advertises `advertised`.
    std::string reachable_address(const std::string& advertised) const;
    // Sets the program version in this member's record.
    void set_software_version(const std::string& version);
    // Notifies the others that this member leaves, and closes all sockets.
    void leave();
    // Closes all sockets without a notification: the process that takes over continues under this name.
    void go_silent();
    // The response body of /ops/group.
    std::string as_json() const;
    const cluster::Membership& membership() const { return membership_; }
    // The record of a member, including this one; empty if the member is not known.
    cluster::MemberRecord record_of(const std::string& name) const;
    int port() const;  // -1: not listening

  private:
    class ExchangeStream;
    class OutgoingCall;

    bool listen();
    void open_datagram_socket();
    void accept_stream();
    void listen_later();
    void close();
    void on_datagram(std::string_view bytes);
    void receive_datagram(std::string_view bytes);
    void receive_query(std::string_view bytes);
    void answer_query(const CallFrame& query);
    void send_query_frame(const CallFrame& frame);
    bool send_bytes(const std::string& advertised, const std::string& bytes);
    void reject_datagram(DecodeError reason) { ++metrics_.decode_errors[static_cast<int>(reason)]; }
    // Processes the results of a call to the membership: datagrams, changes, an exchange, the next tick.
    void flush();
    void schedule_tick();
    void send(const cluster::OutgoingDatagram& outgoing);
    bool is_rate_limited(const cluster::OutgoingDatagram& outgoing, SequencedDatagram& sequenced);
    void join();
    void mark_joined();
    void exchange(const std::string& address, const std::string& name);
    void on_exchange_ended(ExchangeStream& exchange, bool done);
    template <typename Session>
    void release_later(std::vector<std::unique_ptr<Session>>& sessions, Session& ended);
    void raise_start(std::uint64_t start);
    void report_changes();
    Json::Value counters_json() const;
    static base::Micros monotonic_now();
    bool is_listening() const { return udp_ != nullptr; }

    net::Loop& loop_;
    net::SocketBudget& sockets_;
    const config::Cluster setup_;
    const MessageCodec codec_;
    StartNumber start_number_;
    net::BackgroundTask start_write_;  // writes the start number to disk
    std::mt19937_64 random_;
    cluster::Membership membership_;
    ReplayFilter datagram_replay_filter_;
    ClusterSizeCallback on_size_change_;
    std::map<std::string, int> reported_size_;
    RateLimiter datagram_limiter_;
    RateLimiter exchange_limiter_;
    std::uint64_t last_sequence_ = 0;
    Metrics metrics_;
    uv_udp_t* udp_ = nullptr;
    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<ExchangeStream>> exchanges_;
    std::vector<std::unique_ptr<OutgoingCall>> outgoing_calls_;
    std::map<std::string, CallHandler> call_handlers_;  // by method
    std::map<std::string, QueryHandler> query_handlers_;
    std::map<std::string, QueryReplyHandler> query_reply_handlers_;
    ReplayFilter call_replay_filter_;
    std::uint64_t last_call_number_ = 0;
    std::shared_ptr<bool> lifetime_token_ =
        std::make_shared<bool>(true);  // expires before late responses can use this
    std::optional<base::TimerQueue::Key> tick_timer_;
    std::optional<base::TimerQueue::Key> bind_timer_;
    std::vector<std::string> seeds_to_contact_;  // remaining seeds of the current round
    base::Micros next_join_at_ = 0;
    base::Micros started_at_ = 0;
    bool first_seed_round_ = true;
    bool joined_ = false;
    bool displacement_logged_ = false;
    bool stopped_ = false;
};

// Destroys the session from the loop, because the caller may be within the stream's own callback.
template <typename Session>
void ClusterTransport::release_later(std::vector<std::unique_ptr<Session>>& sessions, Session& ended) {
    for (auto session = sessions.begin(); session != sessions.end(); ++session) {
        if (session->get() != &ended) continue;
        std::shared_ptr<Session> last(session->release());
        sessions.erase(session);
        loop_.timers().schedule(loop_.clock().now(), [last] {});
        return;
    }
}

}  // namespace sumackeel::cluster_transport
