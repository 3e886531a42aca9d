// The platform's Thrift messages: frames of the strict binary protocol to calls, answers to frames.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

#include "core/core.h"

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
    std::int32_t cancelled = 0;  // the seqid that cancelRequest names
};

// Bytes in, whole frames out. Between calls it keeps no more than the part of one frame.
class FrameReader {
  public:
    // `whole` says whether to go on. Throws FrameError on a length that can't be.
    void read(std::string_view bytes, const std::function<bool(std::string_view)>& whole);
    bool partial() const { return !rest_.empty(); }

  private:
    std::string rest_;
};

ThriftCall decode_call(std::string_view frame);  // throws FrameError
std::string encode_response(std::int32_t seqid, const core::Response& reply);
// `good`: this proxy takes work. The front asks it every 0.1 s and sends no new clients after a no.
std::string encode_alive(std::int32_t seqid, bool good);
std::string encode_unknown_method(const std::string& name, std::int32_t seqid);

}  // namespace sumackeel::platform_server
