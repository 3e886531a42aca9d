// The line protocol of pop caches, parents and the origin: requests to text, text to answers.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include "core/core.h"

namespace sumackeel::upstream {

class LineError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// A request as it goes on the wire, but for the limit: that is what is left when it is written.
class RequestText {
  public:
    explicit RequestText(const core::Sending& sending);
    std::string at(base::Micros now) const;
    base::Micros until() const { return until_; }

  private:
    std::string before_limit_, behind_limit_;
    base::Micros until_;
};
std::string write_stop(const std::string& id);

struct Answer {
    std::string id;
    core::Ending ending;
};

// Takes bytes as they come and gives whole answers. Throws LineError on what can't be an answer.
class AnswerReader {
  public:
    void add(std::string_view bytes);
    bool next(Answer& answer);
    bool partial() const { return in_body_ || at_ < buffer_.size(); }  // an answer has begun to come

  private:
    bool read_head();

    std::string buffer_;
    std::size_t at_ = 0;
    bool in_body_ = false;
    std::size_t length_ = 0;
    Answer answer_;
};

}  // namespace sumackeel::upstream
