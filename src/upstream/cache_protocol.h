// The line protocol of pop caches, parents and the origin: encodes requests and parses responses.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

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
    // `max_age`: of a copy; 0: by the class.
    std::string encode_at(base::Micros now, base::Micros max_age) const;
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

// Parses responses incrementally. Throws ProtocolError on invalid input.
class ResponseReader {
  public:
    void append(std::string_view bytes);
    bool next(CacheResponse& response);
    // True if only the start of a response has been received.
    bool has_partial_response() const { return in_body_ || position_ < buffer_.size(); }

  private:
    bool read_header();

    std::string buffer_;
    std::size_t position_ = 0;
    bool in_body_ = false;
    std::size_t body_length_ = 0;
    CacheResponse response_;
};

}  // namespace sumackeel::upstream
