// The line protocol of pop caches, parents and the origin: requests to text, text to answers.
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

// A request as it goes on the wire, but for the limit: that is what is left when it is written.
class RequestEncoder {
  public:
    explicit RequestEncoder(const core::AttemptRequest& sending);
    std::string encode_at(base::Micros now) const;
    base::Micros deadline() const { return deadline_; }

  private:
    std::string before_limit_, behind_limit_;
    base::Micros deadline_;
};
std::string encode_cancel(const std::string& id);

struct CacheResponse {
    std::string id;
    core::AttemptResult result;
};

// Takes bytes as they come and gives whole answers. Throws LineError on what can't be an answer.
class ResponseReader {
  public:
    void append(std::string_view bytes);
    bool next(CacheResponse& answer);
    bool partial() const { return in_body_ || at_ < buffer_.size(); }  // an answer has begun to come

  private:
    bool read_head();

    std::string buffer_;
    std::size_t at_ = 0;
    bool in_body_ = false;
    std::size_t length_ = 0;
    CacheResponse answer_;
};

}  // namespace sumackeel::upstream
