#include "store/store_api.h"

#include <algorithm>

#include "base/json_line.h"
#include "base/log.h"
#include "config/config.h"

namespace sumackeel::store {

namespace {

constexpr std::size_t kPlaces = 16;
constexpr std::size_t kLongestLine = 256 * 1024;  // a key and a value with all that JSON may make of them
constexpr base::Micros kIdle = 30'000'000;        // a caller without a question for so long is let go

}  // namespace

struct StoreApi::Caller : net::Stream::Handler, std::enable_shared_from_this<Caller> {
    StoreApi& api;
    net::Stream* stream = nullptr;
    std::string buffer;
    base::Micros asked = 0;

    explicit Caller(StoreApi& d) : api(d), asked(d.loop_.clock().now()) {}
    void on_data(net::Stream&, std::string_view bytes) override {
        buffer += bytes;
        asked = api.loop_.clock().now();
        const auto self = shared_from_this();
        std::size_t at = 0;
        for (std::size_t end = 0; stream && (end = buffer.find('\n', at)) != std::string::npos; at = end + 1)
            question(buffer.substr(at, end - at));
        buffer.erase(0, at);
        if (stream && buffer.size() > kLongestLine) shut();
    }
    void question(const std::string& line) {
        const auto answer = [caller = std::weak_ptr<Caller>(shared_from_this())](const Json::Value& value) {
            const auto there = caller.lock();
            if (there && there->stream) there->stream->write(base::to_json_line(value));
        };
        try {
            const Json::Value value = config::parse(line, "store");
            if (!value.isObject()) throw config::ConfigError("no object");
            api.take_(value, answer);
        } catch (const std::exception& wrong) {
            Json::Value no;
            no["refused"] = wrong.what();
            answer(no);
        }
    }
    void on_close(net::Stream&, net::DisconnectCause) override {
        stream = nullptr;
        api.took(*this);
    }
    void shut() {
        if (auto* open = std::exchange(stream, nullptr)) open->close();
        api.took(*this);
    }
};

StoreApi::StoreApi(net::Loop& loop, net::SocketBudget& budget, const std::string& listen,
                   QuestionHandler take)
    : loop_(loop), budget_(budget), take_(std::move(take)), listener_(loop, listen, [this] {
          const int fd = listener_.accept();
          if (fd < 0) return;
          // With all places taken the one idle the longest goes.
          if (callers_.size() >= kPlaces)
              (*std::min_element(callers_.begin(), callers_.end(), [](const auto& a, const auto& b) {
                  return a->asked < b->asked;
              }))->shut();
          auto caller = std::make_shared<Caller>(*this);
          caller->stream = net::Stream::adopt(loop_, budget_, fd, *caller);
          if (!caller->stream) return;
          callers_.push_back(caller);
          loop_.timers().schedule(loop_.clock().now() + kIdle, [caller = std::weak_ptr<Caller>(caller), this,
                                                                alive = std::weak_ptr<bool>(alive_)] {
              const auto there = caller.lock();
              if (alive.expired() || !there || !there->stream) return;
              if (loop_.clock().now() - there->asked >= kIdle) there->shut();
          });
      }) {}

StoreApi::~StoreApi() {
    alive_.reset();
    for (const auto& caller : callers_)
        if (auto* open = std::exchange(caller->stream, nullptr)) open->close();
}

// Not from within its own call: what holds it may be the stream's.
void StoreApi::took(Caller& caller) {
    const auto place =
        std::find_if(callers_.begin(), callers_.end(), [&](const auto& one) { return one.get() == &caller; });
    if (place == callers_.end()) return;
    loop_.timers().schedule(loop_.clock().now(), [kept = std::move(*place)] {});
    callers_.erase(place);
}

}  // namespace sumackeel::store
