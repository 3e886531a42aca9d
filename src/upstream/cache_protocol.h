// The line protocol of pop caches, parents and the origin: encodes requests and parses responses.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "core/core.h"

namespace sumackeel::upstream {

class ProtocolError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// An encoded request, except what depends on when it is written: the time left, and the age of the copies
// that it accepts.
class RequestEncoder {
  public:
    explicit RequestEncoder(const core::AttemptRequest& attempt_request);
    // `max_age`: of a copy; 0: by the class. `body`: the request's; it is not kept here.
    std::string encode_at(base::Micros now, base::Micros max_age, std::string_view body) const;
    base::Micros deadline() const { return deadline_; }

  private:
    std::string before_limit_, before_max_age_, after_max_age_;
    base::Micros deadline_;
};
std::string encode_cancel(const std::string& id);

struct CacheResponse {
    std::string id;
    core::AttemptResult result;
};

// What happens to the body of a response.
enum class BodyHandling {
    store,
    discard,    // nobody waits for it
    await_room  // it can't be stored now; reading stops until next() is called again
};

// Parses responses incrementally. Throws ProtocolError on invalid input.
class ResponseReader {
  public:
    // Called for each response once its head is parsed, with its id and the size of its body.
    using HandleBody = std::function<BodyHandling(const std::string& id, std::size_t size)>;
    explicit ResponseReader(HandleBody handle_body = {}) : handle_body_(std::move(handle_body)) {}

    void append(std::string_view bytes);
    bool next(CacheResponse& response);
    // The response with this id is not wanted any more. If its body is arriving, it is not stored any
    // further.
    void discard(const std::string& id);
    std::size_t memory() const { return buffer_.capacity() + response_.result.body.capacity(); }
    // The body of a response has no room yet; its connection is not to be read meanwhile.
    bool awaits_room() const { return awaits_room_; }
    // True if only the start of a response has been received.
    bool has_partial_response() const { return in_body_ || position_ < buffer_.size(); }

  private:
    bool read_header();
    bool begin_body();
    void take_body_bytes();

    HandleBody handle_body_;
    std::string buffer_;  // what was received behind the bytes that are taken
    std::size_t position_ = 0;
    bool in_body_ = false;
    bool awaits_room_ = false;
    bool stores_body_ = true;
    std::size_t body_length_ = 0;
    std::size_t body_received_ = 0;
    CacheResponse response_;
};

}  // namespace sumackeel::upstream
