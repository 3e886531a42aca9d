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

class Fields {
  public:
    Fields(const msgpack::object& object, std::size_t least) {
        if (object.type != msgpack::type::ARRAY || object.via.array.size < least) broken();
        at_ = object.via.array.ptr, left_ = object.via.array.size;
    }

    template <typename T>
    T next() {
        try {
            return one().as<T>();
        } catch (const msgpack::type_error&) {
            broken();
        }
    }
    std::string text(std::size_t longest) {
        auto value = next<std::string>();
        if (value.size() > longest) broken();
        return value;
    }
    // Of an enum whose highest value is `last`.
    template <typename E>
    E word(E last) {
        const int value = next<int>();
        if (value < 0 || value > static_cast<int>(last)) broken();
        return static_cast<E>(value);
    }
    Fields list(std::size_t most) {
        Fields inner(one(), 0);
        if (inner.left() > most) broken();
        return inner;
    }
    Fields array(std::size_t least) { return {one(), least}; }
    std::uint32_t left() const { return left_; }

    [[noreturn]] static void broken() { throw std::runtime_error("bytes that can't be read"); }

  private:
    const msgpack::object& one() {
        if (left_ == 0) broken();
        --left_;
        return *at_++;
    }

    const msgpack::object* at_ = nullptr;
    std::uint32_t left_ = 0;
};

struct Unpacked {  // owns what its Fields read
    msgpack::object_handle handle;
    Fields fields(std::size_t least) const { return {handle.get(), least}; }
};

// `most`: elements of one array, `longest`: bytes of one text.
inline Unpacked unpacked(std::string_view bytes, std::size_t most, std::size_t longest) {
    try {
        return {msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                                msgpack::unpack_limit(most, 16, longest, longest, 0, 8))};
    } catch (const std::exception&) {
        Fields::broken();
    }
}

class Packed {
  public:
    template <typename... Values>
    Packed& add(const Values&... values) {
        (out_.pack(values), ...);
        return *this;
    }
    Packed& array(std::size_t size) {
        out_.pack_array(static_cast<std::uint32_t>(size));
        return *this;
    }
    std::string bytes() const { return {buffer_.data(), buffer_.size()}; }

  private:
    msgpack::sbuffer buffer_;
    msgpack::packer<msgpack::sbuffer> out_{buffer_};
};

}  // namespace sumackeel::base
