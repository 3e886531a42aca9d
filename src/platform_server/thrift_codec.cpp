#include "platform_server/thrift_codec.h"

#include <thrift/TApplicationException.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

namespace sumackeel::platform_server {

namespace tp = apache::thrift::protocol;
using apache::thrift::TApplicationException;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = tp::TBinaryProtocolT<TMemoryBuffer>;

namespace {

constexpr std::size_t kMaxFrameBytes = 56 * 1024;  // a body of 48,000 bytes and its fields; kept small, as
                                                   // each of many clients may have a partial one buffered
constexpr std::int32_t kMaxStringBytes = 64 * 1024;
constexpr std::int32_t kMaxFields = 64;
constexpr std::size_t kSmallFrameBytes = 256;  // more than one without a body

constexpr std::size_t kHeaderBytes = 4;  // of a frame: its length

std::size_t frame_length(std::string_view header) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < kHeaderBytes; ++i)
        length = length << 8 | static_cast<unsigned char>(header[i]);
    if (length == 0 || length > kMaxFrameBytes) throw FrameError("a frame's length can't be");
    return length;
}

// Reads the fields of a struct; those for which `read_field` returns false are skipped.
template <typename Read>
void read_struct(Protocol& in, Read read_field) {
    std::string name;
    tp::TType type = tp::T_STOP;
    std::int16_t id = 0;
    in.readStructBegin(name);
    for (;;) {
        in.readFieldBegin(name, type, id);
        if (type == tp::T_STOP) break;
        if (!read_field(type, id)) in.skip(type);
        in.readFieldEnd();
    }
    in.readStructEnd();
}

std::map<std::string, std::string> read_map(Protocol& in) {
    tp::TType key_type = tp::T_STOP;
    tp::TType value_type = tp::T_STOP;
    std::uint32_t size = 0;
    in.readMapBegin(key_type, value_type, size);
    if (size > 0 && (key_type != tp::T_STRING || value_type != tp::T_STRING))
        throw FrameError("a map that is not of texts");
    std::map<std::string, std::string> fields;
    for (std::uint32_t i = 0; i < size; ++i) {
        std::string key;
        in.readString(key);
        in.readString(fields[key]);
    }
    in.readMapEnd();
    return fields;
}

void write_map(Protocol& out, const std::map<std::string, std::string>& fields) {
    out.writeMapBegin(tp::T_STRING, tp::T_STRING, static_cast<std::uint32_t>(fields.size()));
    for (const auto& [key, value] : fields) {
        out.writeString(key);
        out.writeString(value);
    }
    out.writeMapEnd();
}

// Writes the length of a frame, without its own bytes, into the frame's first bytes.
void fill_in_length(std::string& frame) {
    const auto length = static_cast<std::uint32_t>(frame.size() - 4);
    for (int i = 0; i < 4; ++i) frame[i] = static_cast<char>(length >> (24 - 8 * i));
}

std::string encode_frame(std::size_t expected_size, const std::function<void(Protocol&)>& write) {
    const auto buffer = std::make_shared<TMemoryBuffer>(static_cast<std::uint32_t>(expected_size));
    Protocol out(buffer);
    out.setStrict(true, true);
    out.writeI32(0);  // the length, filled in at the end
    write(out);
    std::string frame = buffer->getBufferAsString();
    fill_in_length(frame);
    return frame;
}

// A result up to the bytes of its body.
void begin_result(Protocol& out, std::size_t body_size) {
    out.writeFieldBegin("success", tp::T_STRUCT, 0);
    out.writeStructBegin("Answer");
    out.writeFieldBegin("body", tp::T_STRING, 1);
    out.writeI32(static_cast<std::int32_t>(body_size));
}

// The rest of it, behind its body.
void end_result(Protocol& out, const std::map<std::string, std::string>& fields, bool success) {
    out.writeFieldBegin("fields", tp::T_MAP, 2);
    write_map(out, fields);
    out.writeFieldBegin("good", tp::T_BOOL, 3);
    out.writeBool(success);
    out.writeFieldStop();
}

void write_exception(Protocol& out, std::int16_t field_id, const std::map<std::string, std::string>& fields) {
    out.writeFieldBegin("", tp::T_STRUCT, field_id);
    out.writeStructBegin("");
    out.writeFieldBegin("fields", tp::T_MAP, 1);
    write_map(out, fields);
    out.writeFieldStop();
}

void begin_dispatch_result(Protocol& out, std::int32_t seqid) {
    out.writeMessageBegin("dispatch", tp::T_REPLY, seqid);
    out.writeStructBegin("dispatch_result");
}

void end_dispatch_result(Protocol& out) {
    out.writeFieldStop();
    out.writeStructEnd();
    out.writeMessageEnd();
}

// What stands before and behind the body is encoded without it, as a copy would take as much memory again.
std::string encode_served(std::int32_t seqid, std::string body) {
    std::size_t body_at = 0;
    const std::string around = encode_frame(kSmallFrameBytes, [&](Protocol& out) {
        begin_dispatch_result(out, seqid);
        begin_result(out, body.size());
        body_at = static_cast<TMemoryBuffer&>(*out.getTransport()).available_read();
        end_result(out, {}, true);
        end_dispatch_result(out);
    });
    body.reserve(body.size() + around.size());
    body.insert(0, around, 0, body_at);
    body.append(around, body_at);
    fill_in_length(body);
    return body;
}

}  // namespace

// `bytes`: of a frame that is not complete.
void FrameReader::keep(std::string_view bytes, net::PageBuffer::Pages pages) {
    if (bytes.size() < kHeaderBytes) {
        start_ = bytes;
        return;
    }
    frame_ = net::PageBuffer(kHeaderBytes + frame_length(bytes), pages);
    frame_.append(bytes);
}

void FrameReader::read(std::string_view bytes, const std::function<bool(std::string_view)>& on_frame,
                       net::PageBuffer::Pages pages) {
    if (!start_.empty()) {
        const std::size_t count = std::min(bytes.size(), kHeaderBytes - start_.size());
        start_.append(bytes.substr(0, count));
        bytes.remove_prefix(count);
        if (start_.size() < kHeaderBytes) return;
        keep(std::exchange(start_, {}), pages);
    }
    if (frame_.size() > 0) {
        bytes.remove_prefix(frame_.append(bytes));
        if (!frame_.is_full()) return;
        const net::PageBuffer frame = std::exchange(frame_, {});
        if (!on_frame(frame.view().substr(kHeaderBytes))) return;
    }
    while (bytes.size() >= kHeaderBytes) {
        const std::size_t length = frame_length(bytes);
        if (bytes.size() < kHeaderBytes + length) break;
        const std::string_view frame = bytes.substr(kHeaderBytes, length);
        bytes.remove_prefix(kHeaderBytes + length);
        if (!on_frame(frame)) return;
    }
    if (!bytes.empty()) keep(bytes, pages);
}

ThriftCall decode_call(std::string_view frame) {
    try {
        const auto buffer =
            std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(const_cast<char*>(frame.data())),
                                            static_cast<std::uint32_t>(frame.size()), TMemoryBuffer::OBSERVE);
        Protocol in(buffer, kMaxStringBytes, kMaxFields, true, true);
        ThriftCall call;
        tp::TMessageType type{};
        in.readMessageBegin(call.name, type, call.seqid);
        if (type != tp::T_CALL && type != tp::T_ONEWAY) throw FrameError("a frame that is no call");
        call.method = call.name == "dispatch"        ? Method::dispatch
                      : call.name == "cancelRequest" ? Method::cancel
                      : call.name == "alive"         ? Method::alive
                                                     : Method::unknown;
        read_struct(in, [&](tp::TType field, std::int16_t id) {
            if (call.method == Method::dispatch && id == 1 && field == tp::T_MAP)
                call.fields = read_map(in);
            else if (call.method == Method::dispatch && id == 2 && field == tp::T_STRING)
                in.readBinary(call.body);
            else if (call.method == Method::cancel && id == 1 && field == tp::T_I32)
                in.readI32(call.cancelled_seqid);
            else
                return false;
            return true;
        });
        in.readMessageEnd();
        return call;
    } catch (const apache::thrift::TException& error) {
        throw FrameError(error.what());
    }
}

std::string encode_response(std::int32_t seqid, core::Response response) {
    using core::ResponseStatus;
    if (response.status == ResponseStatus::served) return encode_served(seqid, std::move(response.body));
    return encode_frame(kSmallFrameBytes, [&](Protocol& out) {
        begin_dispatch_result(out, seqid);
        std::map<std::string, std::string> fields;
        if (response.status == ResponseStatus::not_modified) {
            fields["current"] = "1";
            begin_result(out, 0);
            end_result(out, fields, true);
        } else if (response.status == ResponseStatus::rejected) {
            if (response.retry_after > 0)
                fields["holdoff"] = std::to_string((response.retry_after + 999) / 1000);
            write_exception(out, 1, fields);
        } else {
            write_exception(out, 2, fields);
        }
        end_dispatch_result(out);
    });
}

std::string encode_alive(std::int32_t seqid, bool ready) {
    return encode_frame(128, [&](Protocol& out) {
        out.writeMessageBegin("alive", tp::T_REPLY, seqid);
        out.writeStructBegin("alive_result");
        begin_result(out, 0);
        end_result(out, {}, ready);
        out.writeFieldStop();
        out.writeMessageEnd();
    });
}

std::string encode_unknown_method(const std::string& name, std::int32_t seqid) {
    return encode_frame(256, [&](Protocol& out) {
        out.writeMessageBegin(name, tp::T_EXCEPTION, seqid);
        TApplicationException(TApplicationException::UNKNOWN_METHOD, "no such method").write(&out);
        out.writeMessageEnd();
    });
}

}  // namespace sumackeel::platform_server
