// Decodes the platform's Thrift calls and encodes the replies: framed transport, strict binary protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

#include "core/core.h"
#include "net/page_buffer.h"

namespace sumackeel::platform_server {

class FrameError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

enum class Method { dispatch, cancel, alive, unknown };

struct ThriftCall {
    Method method = Method::unknown;
    std::string name;
    std::int32_t seqid = 0;
    std::map<std::string, std::string> fields;
    std::string body;
    std::int32_t cancelled_seqid = 0;  // the argument of cancelRequest
};

// Splits a stream of bytes into frames. Between calls it buffers at most one partial frame.
class FrameReader {
  public:
    // Calls `on_frame` for each complete frame until it returns false. Throws FrameError on an invalid
    // length.
    // `pages`: of the buffer for a partial frame.
    void read(std::string_view bytes, const std::function<bool(std::string_view)>& on_frame,
              net::PageBuffer::Pages pages = net::PageBuffer::Pages::fresh);
    bool partial() const { return !start_.empty() || frame_.size() > 0; }
    std::size_t memory() const { return start_.capacity() + frame_.memory(); }

  private:
    void keep(std::string_view bytes, net::PageBuffer::Pages pages);

    std::string start_;      // of a frame whose length is not known, as its header is not complete
    net::PageBuffer frame_;  // a frame of known length, with its header
};

ThriftCall decode_call(std::string_view frame);  // throws FrameError
// The frame takes the place of the response's body in its memory.
std::string encode_response(std::int32_t seqid, core::Response response);
// `ready`: this proxy accepts requests. The platform's front end asks every 0.1 s and sends no new clients
// after a false.
std::string encode_alive(std::int32_t seqid, bool ready);
std::string encode_unknown_method(const std::string& name, std::int32_t seqid);

}  // namespace sumackeel::platform_server
