// A scripted cache box, parent or origin that answers by itself from a thread of its own, and keeps what it
// was asked and when; and a change log that any number of proxies may follow.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <set>

#include "support.h"

namespace story {

// One of a list's hosts, at an address that need not be a Peer's.
inline std::string host_at(const std::string& name, const std::string& address,
                           const std::string& kind = "small", const std::string& health = "SERVING") {
    return R"({"host":")" + name + R"(","dial":")" + address + R"(","site":")" +
           (kind == "small" ? "edge-1" : "coast") + R"(","class":")" + kind + R"(","block":1,"health":")" +
           health + R"(","share":8,"born_ms":0})";
}

using Moment = std::chrono::steady_clock::time_point;

// A port at which connections are refused, and which nobody else can get, not even a caller's own end: calls
// to a free port now and then meet themselves.
class HeldPort {
  public:
    explicit HeldPort(int port = 0) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        socklen_t length = sizeof at;
        if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &length) != 0)
            throw std::runtime_error("no port");
        port_ = ntohs(at.sin_port);
    }
    ~HeldPort() {
        if (fd_ >= 0) ::close(fd_);
    }
    HeldPort(const HeldPort&) = delete;
    HeldPort& operator=(const HeldPort&) = delete;
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    int release() { return std::exchange(fd_, -1); }

  private:
    int fd_, port_ = 0;
};

// Serves any number of connections, a line at a time, until it goes.
class Server {
  public:
    virtual ~Server() = default;
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    int port() const { return port_; }

  protected:
    struct Conn {
        int fd = -1;
        std::string in;
    };
    // Called with each chunk; false: close it.
    virtual bool came(Conn& conn) = 0;
    virtual void turn(std::vector<Conn>&) {}

    void start() {
        if (!held_) held_ = std::make_unique<HeldPort>();
        port_ = held_->port();
        listener_ = held_->release();
        held_.reset();
        if (listen(listener_, 256) != 0) throw std::runtime_error("no listener");
        going_ = true;
        thread_ = std::thread([this] { serve(); });
    }
    // From now on connections are refused, and open ones are closed; start() brings it back.
    void stop() {
        if (!thread_.joinable()) return;
        going_ = false;
        thread_.join();
        held_ = std::make_unique<HeldPort>(port_);
    }
    static void send_all(int fd, const std::string& text) {
        for (std::size_t at = 0; at < text.size();) {
            const ssize_t sent = ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
            if (sent <= 0) return;
            at += static_cast<std::size_t>(sent);
        }
    }

  private:
    void serve() {
        std::vector<Conn> conns;
        while (going_) {
            std::vector<pollfd> waiting{{listener_, POLLIN, 0}};
            for (const Conn& conn : conns) waiting.push_back({conn.fd, POLLIN, 0});
            poll(waiting.data(), waiting.size(), 5);
            for (std::size_t i = 0; i < conns.size(); ++i) {
                if (!waiting[i + 1].revents) continue;
                char room[65536];
                const ssize_t count = recv(conns[i].fd, room, sizeof room, 0);
                if (count > 0) conns[i].in.append(room, static_cast<std::size_t>(count));
                if (count <= 0 || !came(conns[i])) ::close(std::exchange(conns[i].fd, -1));
            }
            std::erase_if(conns, [](const Conn& conn) { return conn.fd < 0; });
            if (waiting[0].revents) {
                const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) conns.push_back({fd, {}});
            }
            turn(conns);
        }
        for (const Conn& conn : conns) ::close(conn.fd);
        ::close(listener_);
    }

    int listener_ = -1, port_ = 0;
    std::unique_ptr<HeldPort> held_;  // while it is down
    std::atomic<bool> going_ = false;
    std::thread thread_;
};

// Answers each request at once with "ok".
class Box : public Server {
  public:
    struct Asked {
        Moment when;
        std::string id;
        std::map<std::string, std::string> fields;
    };
    Box() { start(); }
    ~Box() override { stop(); }
    void die() { stop(); }
    void come_back() {
        start();
        since_ = std::chrono::steady_clock::now();
    }
    Moment since() const { return since_; }
    std::vector<Asked> asked() const {
        const std::lock_guard held(mutex_);
        return asked_;
    }
    std::size_t count() const { return asked().size(); }

  protected:
    bool came(Conn& conn) override {
        for (std::size_t end; (end = conn.in.find("\r\n")) != std::string::npos;) {
            const std::string line = conn.in.substr(0, end);
            if (!line.starts_with("REQ ")) {
                conn.in.erase(0, end + 2);
                continue;
            }
            const auto length = std::stoul(line.substr(line.rfind(' ') + 1));
            if (conn.in.size() < end + 2 + length + 2) return true;
            conn.in.erase(0, end + 2 + length + 2);
            Asked asked{std::chrono::steady_clock::now(), {}, {}};
            const auto first = line.find(' '), second = line.find(' ', first + 1),
                       third = line.find(' ', second + 1);
            asked.id = line.substr(first + 1, second - first - 1);
            std::string rest = line.substr(second + 1, third - second - 1);
            while (!rest.empty()) {
                const auto comma = std::min(rest.find(','), rest.size()), equals = rest.find('=');
                if (equals < comma)
                    asked.fields[rest.substr(0, equals)] = rest.substr(equals + 1, comma - equals - 1);
                rest.erase(0, comma + 1);
            }
            const std::string id = asked.id;
            {
                const std::lock_guard held(mutex_);  // counted before the client can know of it
                asked_.push_back(std::move(asked));
            }
            send_all(conn.fd, id + " DONE digest=ab12,dated=1764576000123,tell=local 2\r\nok\r\n");
        }
        return true;
    }

  private:
    mutable std::mutex mutex_;
    std::vector<Asked> asked_;
    Moment since_ = std::chrono::steady_clock::now();
};

// Tells all its events, from the one asked for on, to whoever follows; a comment each 100 ms.
class ChangeLog : public Server {
  public:
    // How long the n-th call from now on, counted from 0, waits for its answer; nullopt: for ever.
    using AnswersAfter = std::function<std::optional<std::chrono::milliseconds>(int call)>;
    ChangeLog() { start(); }
    ~ChangeLog() override { stop(); }
    void die() { stop(); }
    void come_back() { start(); }
    void tell(int seq, const std::string& event) {
        const std::lock_guard held(mutex_);
        events_.emplace_back(seq, event);
    }
    // Forgets its events: its numbers begin anew. Called while it is down.
    void forget() {
        const std::lock_guard held(mutex_);
        events_.clear();
    }
    void answer_after(AnswersAfter answers_after) {
        const std::lock_guard held(mutex_);
        answers_after_ = std::move(answers_after);
        calls_ = 0;
    }
    // The head of each answer comes at once, and the rest as set by answer_after().
    void send_heads_at_once() { heads_at_once_ = true; }
    // The connections that it answered stay open, and nothing more is told on them.
    void fall_silent() {
        const std::lock_guard held(mutex_);
        sent_.clear();
    }
    int told() const { return told_; }          // events, each time counted
    int comments() const { return comments_; }  // told so far to whoever follows
    // The numbers that it was asked to begin behind.
    std::vector<int> asked_behind() const {
        const std::lock_guard held(mutex_);
        return behind_;
    }

  protected:
    bool came(Conn& conn) override {
        const auto end = conn.in.find("\r\n\r\n");
        if (end == std::string::npos) return true;
        const auto header = conn.in.find("Last-Event-ID: ");
        const std::lock_guard held(mutex_);
        behind_.push_back(std::stoi(conn.in.substr(header + 15)));
        conn.in.erase(0, end + 4);
        last_behind_[conn.fd] = behind_.back();
        if (heads_at_once_) send_all(conn.fd, kHead);
        if (const auto after = answers_after_(calls_++))
            answers_at_[conn.fd] = std::chrono::steady_clock::now() + *after;
        return true;
    }
    void turn(std::vector<Conn>& conns) override {
        const auto now = std::chrono::steady_clock::now();
        const bool comment = now - commented_ > std::chrono::milliseconds(100);
        if (comment) commented_ = now, ++comments_;
        const std::lock_guard held(mutex_);
        std::set<int> open;
        for (const Conn& conn : conns) {
            open.insert(conn.fd);
            if (const auto due = answers_at_.find(conn.fd); due != answers_at_.end() && due->second <= now) {
                answers_at_.erase(due);
                send_all(conn.fd, (heads_at_once_ ? "" : kHead) + std::string(":\n\n"));
                sent_[conn.fd] = 0;
            }
            const auto sent = sent_.find(conn.fd);
            if (sent == sent_.end()) continue;
            for (; sent->second < events_.size(); ++sent->second) {
                const auto& [seq, event] = events_[sent->second];
                if (seq <= last_behind_[conn.fd]) continue;
                send_all(conn.fd, "id: " + std::to_string(seq) + "\ndata: " + event + "\n\n");
                ++told_;
            }
            if (comment) send_all(conn.fd, ":\n\n");
        }
        const auto is_closed = [&](const auto& item) { return !open.contains(item.first); };
        std::erase_if(sent_, is_closed);
        std::erase_if(answers_at_, is_closed);
    }

  private:
    static constexpr const char* kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    std::atomic<bool> heads_at_once_ = false;
    mutable std::mutex mutex_;
    std::vector<std::pair<int, std::string>> events_;
    std::vector<int> behind_;
    AnswersAfter answers_after_ = [](int) { return std::chrono::milliseconds(0); };
    int calls_ = 0;
    std::map<int, Moment> answers_at_;
    std::map<int, std::size_t> sent_;
    std::map<int, int> last_behind_;
    Moment commented_{};
    std::atomic<int> comments_ = 0, told_ = 0;
};

}  // namespace story
