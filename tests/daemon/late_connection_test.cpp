// Requests that wait for a connection to their cache while a purge or a drain is told, and connections that
// come up later than they are waited for. Guards against requests that were written by what was known when
// they were decided (review/8).
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fcntl.h>
#include <poll.h>

#include "saved_list.h"

using namespace story;

namespace {

using Clock = std::chrono::steady_clock;
constexpr std::chrono::milliseconds kToldAfter{150}, kTakesAgainAfter{500}, kWatched{1'500};
constexpr std::chrono::milliseconds kConnectTimeout{400}, kRetransmitted{1'500}, kAskEvery{50};
constexpr int kRequests = 6, kMostAsked = 100;
constexpr double kSizeKb = 4'000;  // large enough for an attempt to wait for a late connection

// A cache whose queue of connections is full: the system drops those that come and asks again after 1 s.
class LateCache {
  public:
    LateCache() : address_(port_.address()), fd_(port_.release()) {
        if (listen(fd_, 0) != 0) throw std::runtime_error("no listener");
        for (int& filler : fillers_) filler = connect_without_waiting();
    }
    ~LateCache() {
        for (const int fd : conns_) ::close(fd);
        ::close(fd_);
    }
    LateCache(const LateCache&) = delete;
    LateCache& operator=(const LateCache&) = delete;
    const std::string& address() const { return address_; }
    void take_connections() {
        listen(fd_, 256);
        for (const int filler : fillers_) ::close(filler);
    }
    // The connections that it has taken and that are open.
    long connections() const { return std::ranges::count_if(conns_, is_open); }
    // The requests that come until then, with the time of each.
    std::vector<std::pair<std::string, Clock::time_point>> requests_until(Clock::time_point end) {
        std::map<int, std::string> in;
        std::vector<std::pair<std::string, Clock::time_point>> requests;
        while (Clock::now() < end) {
            std::vector<pollfd> all{{fd_, POLLIN, 0}};
            for (const int fd : conns_) all.push_back({fd, POLLIN, 0});
            poll(all.data(), all.size(), 10);
            if (all[0].revents != 0) conns_.push_back(accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
            for (std::size_t i = 1; i < all.size(); ++i) {
                if (all[i].revents == 0) continue;
                char bytes[4096];
                const auto got = recv(all[i].fd, bytes, sizeof bytes, MSG_DONTWAIT);
                if (got > 0) in[all[i].fd].append(bytes, static_cast<std::size_t>(got));
                take_lines(in[all[i].fd], requests);
            }
        }
        return requests;
    }

  private:
    int connect_without_waiting() const {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(port_.port()));
        connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
        return fd;
    }
    static bool is_open(int fd) {
        char byte = 0;
        return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
    }
    static void take_lines(std::string& in,
                           std::vector<std::pair<std::string, Clock::time_point>>& requests) {
        for (auto end = in.find("\r\n"); end != std::string::npos; end = in.find("\r\n")) {
            if (in.starts_with("REQ ")) requests.emplace_back(in.substr(0, end), Clock::now());
            in.erase(0, end + 2);
        }
    }

    HeldPort port_;
    std::string address_;
    int fd_;
    int fillers_[2] = {-1, -1};
    std::vector<int> conns_;
};

// Connections are waited for as long as the pages say that one may take to come up.
WithConfig patient_config(const std::vector<std::string>& hosts, const std::string& change_log) {
    std::string text = config_text(hosts, change_log);
    text = with(text, R"("connect_timeout":400000)", R"("connect_timeout":1500000)");
    return {with(text, R"("drain_grace":2000000)", R"("drain_grace":3000000)")};
}

WithConfig usual_config(const std::vector<std::string>& hosts, const std::string& change_log) {
    return {config_text(hosts, change_log)};
}

struct Fleet {
    explicit Fleet(decltype(patient_config)* config = patient_config) : config_(config) {}

    decltype(patient_config)* config_;
    LateCache late;
    Box other, origin;
    ChangeLog log;
    std::vector<std::string> hosts = {host_at("s-late", late.address()), host_at("s-other", other.address()),
                                      host_at("s-origin", origin.address(), "origin")};
    Daemon daemon{config_(hosts, log.address()), {}};
    Wire client = Wire::to(daemon.port());

    void send_all() {
        for (int i = 1; i <= kRequests; ++i) client.send(dispatch(i, request_for("video", i, kSizeKb)));
    }
    // Asks for an object a time until a request reaches the late cache.
    bool reaches_late_cache() {
        for (int i = kRequests + 1; i <= kMostAsked; ++i) {
            client.send(dispatch(i, request_for("video", i, kSizeKb)));
            if (!late.requests_until(Clock::now() + kAskEvery).empty()) return true;
            CHECK(read_reply(client).place == 0);
        }
        return false;
    }
    // Tells it while requests wait, and returns those that reach the late cache.
    std::vector<std::pair<std::string, Clock::time_point>> requests_after(const std::string& event) {
        std::this_thread::sleep_for(kToldAfter);
        log.tell(2, event);
        std::this_thread::sleep_for(kTakesAgainAfter);
        late.take_connections();
        return late.requests_until(Clock::now() + kWatched);
    }
};

}  // namespace

TEST_CASE("a purge is told while requests wait for their connection: they accept no older copy") {
    Fleet fleet;
    fleet.send_all();
    const auto purged_at = Clock::now() + kToldAfter;
    const auto ms = wall_time().micros / 1000 + kToldAfter.count();
    const auto requests =
        fleet.requests_after(R"({"seq":2,"invalidate":{"bucket":17,"time":)" + std::to_string(ms) + "}}");
    CHECK(!requests.empty());
    for (const auto& [line, at] : requests) {
        CAPTURE(line);
        const auto accept = line.find("accept=");
        REQUIRE(accept != std::string::npos);
        const auto since_purge =
            std::chrono::duration_cast<std::chrono::milliseconds>(at - purged_at).count();
        CHECK(std::stol(line.substr(accept + 7)) <=
              since_purge + 50);  // "every limit on sockets is 50 ms longer"
    }
}

TEST_CASE("a cache drains while requests wait for their connection: none of them is written to it") {
    Fleet fleet;
    fleet.send_all();
    const auto requests = fleet.requests_after(
        story::fleet(2, false, {host_at("s-late", fleet.late.address(), "small", "DRAINING")}));
    CHECK(requests.empty());
    for (int i = 1; i <= kRequests; ++i) CHECK(read_reply(fleet.client).place == 0);
}

// Guards against a cache whose connections come up late each time being reached by no request ever: each
// connection was closed at its time-out, and the next one made anew.
TEST_CASE("a connection that comes up behind its time-out carries later requests") {
    Fleet fleet(usual_config);
    fleet.send_all();
    for (int i = 1; i <= kRequests; ++i) CHECK(read_reply(fleet.client).place == 0);
    std::this_thread::sleep_for(kConnectTimeout);
    fleet.late.take_connections();
    CHECK(fleet.late.requests_until(Clock::now() + kRetransmitted).empty());
    REQUIRE(fleet.late.connections() > 0);
    const long connections = fleet.late.connections();
    CHECK(fleet.reaches_late_cache());
    CHECK(fleet.late.connections() == connections);
}
