// MessagePack as this program keeps and sends it: arrays of values in a fixed order. Reading trusts nothing:
// a value of another type, a text too long or an array too short throws std::runtime_error. A longer array is
// read by its first values, so that later versions may add some.
#pragma once

#ifndef MSGPACK_NO_BOOST
#define MSGPACK_NO_BOOST
#endif
#include <cstdint>
#include <msgpack.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sumackeel::base {

class MsgpackReader {
  public:
    MsgpackReader(const msgpack::object& object, std::size_t least) {
        if (object.type != msgpack::type::ARRAY || object.via.array.size < least) fail();
        at_ = object.via.array.ptr, left_ = object.via.array.size;
    }

    template <typename T>
    T next() {
        try {
            return one().as<T>();
        } catch (const msgpack::type_error&) {
            fail();
        }
    }
    std::string text(std::size_t longest) {
        auto value = next<std::string>();
        if (value.size() > longest) fail();
        return value;
    }
    // Of an enum whose highest value is `last`.
    template <typename E>
    E enumeration(E last) {
        const int value = next<int>();
        if (value < 0 || value > static_cast<int>(last)) fail();
        return static_cast<E>(value);
    }
    MsgpackReader list(std::size_t most) {
        MsgpackReader inner(one(), 0);
        if (inner.remaining() > most) fail();
        return inner;
    }
    MsgpackReader array(std::size_t least) { return {one(), least}; }
    std::uint32_t remaining() const { return left_; }

    [[noreturn]] static void fail() { throw std::runtime_error("bytes that can't be read"); }

  private:
    const msgpack::object& one() {
        if (left_ == 0) fail();
        --left_;
        return *at_++;
    }

    const msgpack::object* at_ = nullptr;
    std::uint32_t left_ = 0;
};

struct MsgpackDocument {  // owns what its Fields read
    msgpack::object_handle handle;
    MsgpackReader reader(std::size_t least) const { return {handle.get(), least}; }
};

// `most`: elements of one array, `longest`: bytes of one text.
inline MsgpackDocument parse_msgpack(std::string_view bytes, std::size_t most, std::size_t longest) {
    try {
        return {msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                                msgpack::unpack_limit(most, 16, longest, longest, 0, 8))};
    } catch (const std::exception&) {
        MsgpackReader::fail();
    }
}

class MsgpackWriter {
  public:
    template <typename... Values>
    MsgpackWriter& add(const Values&... values) {
        (out_.pack(values), ...);
        return *this;
    }
    MsgpackWriter& array(std::size_t size) {
        out_.pack_array(static_cast<std::uint32_t>(size));
        return *this;
    }
    std::string bytes() const { return {buffer_.data(), buffer_.size()}; }

  private:
    msgpack::sbuffer buffer_;
    msgpack::packer<msgpack::sbuffer> out_{buffer_};
};

}  // namespace sumackeel::base
