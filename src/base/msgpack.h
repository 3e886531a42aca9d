// Reading and writing of MessagePack as this program stores and sends it: arrays of values in a fixed order.
//
// The reader trusts nothing. A value of another type, a text over its limit or an array that is too short
// throws DecodeError. An array longer than expected is read by its first values, so that later versions may
// append some.
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

// Bytes that are not what they should be. The text is the same for all codes, as it goes to other processes.
class DecodeError : public std::runtime_error {
  public:
    enum class Code {
        malformed,     // not MessagePack, or over the limits of a document
        wrong_type,    // a value of another type
        too_short,     // an array ends before all values were read
        too_long,      // a text or a list over its limit
        out_of_range,  // an enumeration's value that is not known
    };
    explicit DecodeError(Code code) : std::runtime_error("bytes that can't be read"), code_(code) {}
    Code code() const { return code_; }

  private:
    Code code_;
};

// Takes the values of one array in order. The document has to outlive it.
class MsgpackReader {
  public:
    // `min_size`: values that the array must have.
    MsgpackReader(const msgpack::object& object, std::size_t min_size) {
        if (object.type != msgpack::type::ARRAY) throw DecodeError(DecodeError::Code::wrong_type);
        if (object.via.array.size < min_size) throw DecodeError(DecodeError::Code::too_short);
        next_value_ = object.via.array.ptr;
        remaining_ = object.via.array.size;
    }

    template <typename T>
    T next() {
        const msgpack::object& value = take();
        try {
            return value.as<T>();
        } catch (const msgpack::type_error&) {
            throw DecodeError(DecodeError::Code::wrong_type);
        }
    }
    // A text of `max_length` bytes at the most.
    std::string text(std::size_t max_length) {
        auto value = next<std::string>();
        if (value.size() > max_length) throw DecodeError(DecodeError::Code::too_long);
        return value;
    }
    // A value of an enumeration whose highest value is `last`.
    template <typename E>
    E enumeration(E last) {
        const int value = next<int>();
        if (value < 0 || value > static_cast<int>(last)) throw DecodeError(DecodeError::Code::out_of_range);
        return static_cast<E>(value);
    }
    // An inner array of `max_size` values at the most.
    MsgpackReader list(std::size_t max_size) {
        MsgpackReader inner(take(), 0);
        if (inner.remaining() > max_size) throw DecodeError(DecodeError::Code::too_long);
        return inner;
    }
    // An inner array of `min_size` values at least.
    MsgpackReader array(std::size_t min_size) { return {take(), min_size}; }
    std::uint32_t remaining() const { return remaining_; }
    [[noreturn]] static void fail() { throw DecodeError(DecodeError::Code::malformed); }

  private:
    const msgpack::object& take() {
        if (remaining_ == 0) throw DecodeError(DecodeError::Code::too_short);
        --remaining_;
        return *next_value_++;
    }

    const msgpack::object* next_value_ = nullptr;
    std::uint32_t remaining_ = 0;
};

// Owns what its readers read.
struct MsgpackDocument {
    msgpack::object_handle handle;
    MsgpackReader reader(std::size_t min_size) const { return {handle.get(), min_size}; }
};

// `max_elements`: of one array; `max_length`: bytes of one text. Throws DecodeError.
inline MsgpackDocument parse_msgpack(std::string_view bytes, std::size_t max_elements,
                                     std::size_t max_length) {
    constexpr std::size_t kMaxMapElements = 16, kMaxDepth = 8;
    try {
        return {msgpack::unpack(
            bytes.data(), bytes.size(), nullptr, nullptr,
            msgpack::unpack_limit(max_elements, kMaxMapElements, max_length, max_length, 0, kMaxDepth))};
    } catch (const std::exception&) {
        throw DecodeError(DecodeError::Code::malformed);
    }
}

class MsgpackWriter {
  public:
    template <typename... Values>
    MsgpackWriter& add(const Values&... values) {
        (packer_.pack(values), ...);
        return *this;
    }
    // The next `size` values are those of an array.
    MsgpackWriter& array(std::size_t size) {
        packer_.pack_array(static_cast<std::uint32_t>(size));
        return *this;
    }
    std::string bytes() const { return {buffer_.data(), buffer_.size()}; }

  private:
    msgpack::sbuffer buffer_;
    msgpack::packer<msgpack::sbuffer> packer_{buffer_};
};

}  // namespace sumackeel::base
