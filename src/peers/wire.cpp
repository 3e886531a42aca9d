#include "peers/wire.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <msgpack.hpp>
#include <stdexcept>

#include "base/files.h"
#include "config/config.h"
#include "group/group.h"

namespace sumackeel::peers {

using group::Datagram;
using group::Doubt;
using group::Kind;
using group::Phase;
using group::Word;

namespace {

constexpr std::string_view kMagic = "SG";
constexpr std::size_t kCode = 16, kHead = 4 + kCode;
constexpr std::uint8_t kDatagramType = 1, kFrameType = 2, kCallType = 3;
constexpr std::size_t kLongestKeyFile = 4096;

struct Broken : std::runtime_error {
    using std::runtime_error::runtime_error;
};
void need(bool holds) {
    if (!holds) throw Broken("malformed");
}

std::string code_of(const std::string& key, std::string_view head, std::string_view body) {
    std::string text(head);
    text += body;
    std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), code.data(), &length);
    return {reinterpret_cast<const char*>(code.data()), kCode};
}

std::string with_length(const std::string& bytes) {
    std::string framed;
    for (int shift = 24; shift >= 0; shift -= 8) framed += static_cast<char>(bytes.size() >> shift);
    return framed + bytes;
}

using Packer = msgpack::packer<msgpack::sbuffer>;

void pack(Packer& out, const Word& word) {
    out.pack_array(8);
    out.pack(word.name), out.pack(word.address), out.pack(word.zone), out.pack(word.version);
    out.pack(word.stamp.start), out.pack(word.stamp.incarnation), out.pack(word.life);
    out.pack(static_cast<std::uint8_t>(word.phase));
}

void pack(Packer& out, const Doubt& doubt) {
    out.pack_array(7);
    out.pack(doubt.by), out.pack(doubt.about), out.pack(doubt.by_start);
    out.pack(doubt.stamp.start), out.pack(doubt.stamp.incarnation), out.pack(doubt.number),
        out.pack(doubt.on);
}

template <typename T>
void pack_all(Packer& out, const std::vector<T>& all) {
    out.pack_array(static_cast<std::uint32_t>(all.size()));
    for (const T& one : all) pack(out, one);
}

const msgpack::object_array& array_of(const msgpack::object& object, std::size_t least) {
    need(object.type == msgpack::type::ARRAY && object.via.array.size >= least);
    return object.via.array;
}

std::string text_in(const msgpack::object& object, bool may_be_empty = true) {
    auto text = object.as<std::string>();
    need(text.size() <= group::kLongestName && (may_be_empty || !text.empty()));
    need(std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; }));
    return text;
}

Word word_in(const msgpack::object& object) {
    const auto& at = array_of(object, 8);
    Word word;
    word.name = text_in(at.ptr[0], false), word.address = text_in(at.ptr[1], false);
    word.zone = text_in(at.ptr[2]), word.version = text_in(at.ptr[3]);
    word.stamp = {at.ptr[4].as<std::uint64_t>(), at.ptr[5].as<std::uint64_t>()};
    need(group::sound(word.stamp));
    word.life = at.ptr[6].as<std::uint64_t>();
    const auto phase = at.ptr[7].as<std::uint8_t>();
    need(phase <= static_cast<std::uint8_t>(Phase::left));
    word.phase = static_cast<Phase>(phase);
    return word;
}

Doubt doubt_in(const msgpack::object& object) {
    const auto& at = array_of(object, 7);
    need(group::sound({at.ptr[3].as<std::uint64_t>(), at.ptr[4].as<std::uint64_t>()}));
    return {.by = text_in(at.ptr[0], false),
            .about = text_in(at.ptr[1], false),
            .by_start = at.ptr[2].as<std::uint64_t>(),
            .stamp = {at.ptr[3].as<std::uint64_t>(), at.ptr[4].as<std::uint64_t>()},
            .number = at.ptr[5].as<std::uint64_t>(),
            .on = at.ptr[6].as<bool>()};
}

template <typename T, typename Read>
std::vector<T> all_in(const msgpack::object& object, std::size_t most, Read read) {
    const auto& at = array_of(object, 0);
    need(at.size <= most);
    std::vector<T> all;
    for (std::uint32_t i = 0; i < at.size; ++i) all.push_back(read(at.ptr[i]));
    return all;
}

// Words and doubts as they end both kinds of message.
void said_in(const msgpack::object_array& at, std::uint32_t from, std::vector<Word>& words,
             std::vector<Doubt>& doubts) {
    words = all_in<Word>(at.ptr[from], group::kMostMembers + 1, word_in);
    doubts = all_in<Doubt>(at.ptr[from + 1], (group::kMostMembers + 1) * group::kMostVoices, doubt_in);
}

msgpack::object_handle unpacked(std::string_view body) {
    // Deep or long ones are refused before anything is made of them.
    const std::size_t most = (group::kMostMembers + 1) * group::kMostVoices;
    return msgpack::unpack(body.data(), body.size(), nullptr, nullptr,
                           msgpack::unpack_limit(most, 16, 256, 256, 0, 6));
}

}  // namespace

const char* name_of(Bad bad) {
    switch (bad) {
        case Bad::malformed:
            return "malformed";
        case Bad::foreign:
            return "foreign";
        case Bad::code:
            return "code";
        case Bad::replayed:
            return "replayed";
        case Bad::oversized:
            return "oversized";
    }
    return "?";
}

Keys load_keys(const std::string& path) {
    std::string text, fault;
    if (base::read_plain(path, kLongestKeyFile, text, fault) != base::Reading::done)
        throw config::ConfigError(fault);
    Keys keys;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        if (end > at) keys.all.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    if (keys.all.empty()) throw config::ConfigError(path + ": no key in it");
    for (const std::string& key : keys.all)
        if (key.size() < kLeastKey)
            throw config::ConfigError(path + ": a key of under " + std::to_string(kLeastKey) + " bytes");
    return keys;
}

std::string Codec::sealed(std::uint8_t type, std::string_view body) const {
    std::string head(kMagic);
    head += static_cast<char>(kVersion);
    head += static_cast<char>(type);
    return head + code_of(keys_.all.front(), head, body) + std::string(body);
}

std::optional<std::string_view> Codec::opened(std::uint8_t type, std::string_view bytes, Bad& bad) const {
    bad = Bad::malformed;
    if (bytes.size() < kHead || !bytes.starts_with(kMagic)) return std::nullopt;
    bad = Bad::foreign;
    if (static_cast<std::uint8_t>(bytes[2]) != kVersion || static_cast<std::uint8_t>(bytes[3]) != type)
        return std::nullopt;
    const std::string_view head = bytes.substr(0, 4), code = bytes.substr(4, kCode),
                           body = bytes.substr(kHead);
    for (const std::string& key : keys_.all)
        if (CRYPTO_memcmp(code_of(key, head, body).data(), code.data(), kCode) == 0) return body;
    bad = Bad::code;
    return std::nullopt;
}

std::string Codec::datagram(const Numbered& numbered) const {
    const Datagram& datagram = numbered.datagram;
    msgpack::sbuffer body;
    Packer out(body);
    out.pack_array(10);
    out.pack(group_), out.pack(datagram.from), out.pack(datagram.to);
    out.pack(numbered.start), out.pack(numbered.sequence);
    out.pack(static_cast<std::uint8_t>(datagram.kind)), out.pack(datagram.number), out.pack(datagram.about);
    pack_all(out, datagram.words);
    pack_all(out, datagram.doubts);
    return sealed(kDatagramType, {body.data(), body.size()});
}

std::optional<Numbered> Codec::read_datagram(std::string_view bytes, Bad& bad) const {
    bad = Bad::oversized;
    if (bytes.size() > kLongestDatagram) return std::nullopt;
    const auto body = opened(kDatagramType, bytes, bad);
    if (!body) return std::nullopt;
    try {
        bad = Bad::malformed;
        const auto handle = unpacked(*body);
        const auto& at = array_of(handle.get(), 10);
        Numbered numbered;
        if (at.ptr[0].as<std::string>() != group_) {
            bad = Bad::foreign;
            return std::nullopt;
        }
        Datagram& datagram = numbered.datagram;
        datagram.from = text_in(at.ptr[1], false), datagram.to = text_in(at.ptr[2], false);
        numbered.start = at.ptr[3].as<std::uint64_t>(), numbered.sequence = at.ptr[4].as<std::uint64_t>();
        const auto kind = at.ptr[5].as<std::uint8_t>();
        need(kind >= 1 && kind <= static_cast<std::uint8_t>(Kind::tell));
        datagram.kind = static_cast<Kind>(kind);
        datagram.number = at.ptr[6].as<std::uint64_t>();
        datagram.about = text_in(at.ptr[7]);
        said_in(at, 8, datagram.words, datagram.doubts);
        return numbered;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string Codec::frame(const Frame& frame) const {
    msgpack::sbuffer body;
    Packer out(body);
    out.pack_array(7);
    out.pack(group_), out.pack(frame.whole.from), out.pack(frame.to);
    out.pack(static_cast<std::uint8_t>(frame.step)), out.pack(frame.digest);
    pack_all(out, frame.whole.words);
    pack_all(out, frame.whole.doubts);
    return with_length(sealed(kFrameType, {body.data(), body.size()}));
}

bool Codec::is_call(std::string_view bytes) {
    return bytes.size() > 3 && static_cast<std::uint8_t>(bytes[3]) == kCallType;
}

std::string Codec::call(const Call& call) const {
    msgpack::sbuffer body;
    Packer out(body);
    out.pack_array(8);
    out.pack(group_), out.pack(call.from), out.pack(call.to), out.pack(call.start), out.pack(call.sequence);
    out.pack(call.answer), out.pack(call.verb), out.pack(call.body);
    return with_length(sealed(kCallType, {body.data(), body.size()}));
}

std::optional<Call> Codec::read_call(std::string_view bytes, Bad& bad) const {
    const auto body = opened(kCallType, bytes, bad);
    if (!body) return std::nullopt;
    try {
        bad = Bad::malformed;
        const auto handle = msgpack::unpack(body->data(), body->size(), nullptr, nullptr,
                                            msgpack::unpack_limit(8, 0, kLongestCall, kLongestCall, 0, 2));
        const auto& at = array_of(handle.get(), 8);
        if (at.ptr[0].as<std::string>() != group_) {
            bad = Bad::foreign;
            return std::nullopt;
        }
        return Call{text_in(at.ptr[1], false),     text_in(at.ptr[2], false), at.ptr[3].as<std::uint64_t>(),
                    at.ptr[4].as<std::uint64_t>(), at.ptr[5].as<bool>(),      text_in(at.ptr[6], false),
                    at.ptr[7].as<std::string>()};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string Codec::code(std::string_view text) const {
    return code_of(keys_.all.front(), text, "");
}

bool Codec::holds(std::string_view text, std::string_view code) const {
    return code.size() == kCode &&
           std::any_of(keys_.all.begin(), keys_.all.end(), [&](const std::string& key) {
               return CRYPTO_memcmp(code_of(key, text, "").data(), code.data(), kCode) == 0;
           });
}

std::optional<Frame> Codec::read_frame(std::string_view bytes, Bad& bad) const {
    const auto body = opened(kFrameType, bytes, bad);
    if (!body) return std::nullopt;
    try {
        bad = Bad::malformed;
        const auto handle = unpacked(*body);
        const auto& at = array_of(handle.get(), 7);
        if (at.ptr[0].as<std::string>() != group_) {
            bad = Bad::foreign;
            return std::nullopt;
        }
        Frame frame;
        frame.whole.from = text_in(at.ptr[1], false);
        frame.to = text_in(at.ptr[2]);
        const auto step = at.ptr[3].as<std::uint8_t>();
        need(step >= 1 && step <= static_cast<std::uint8_t>(Step::state));
        frame.step = static_cast<Step>(step);
        frame.digest = at.ptr[4].as<std::uint64_t>();
        said_in(at, 5, frame.whole.words, frame.whole.doubts);
        return frame;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<std::string> take_frame(std::string& in, bool& oversized) {
    if (in.size() < 4) return std::nullopt;
    std::size_t length = 0;
    for (std::size_t i = 0; i < 4; ++i) length = length << 8 | static_cast<unsigned char>(in[i]);
    oversized = length > kLongestFrame;
    if (oversized || in.size() < 4 + length) return std::nullopt;
    std::string frame = in.substr(4, length);
    in.erase(0, 4 + length);
    return frame;
}

bool Seen::fresh(const std::string& from, std::uint64_t start, std::uint64_t sequence) {
    const auto found = windows_.find(from);
    if (found == windows_.end()) {
        if (windows_.size() >= group::kMostMembers)  // the one that was silent the longest makes room
            windows_.erase(
                std::min_element(windows_.begin(), windows_.end(),
                                 [](const auto& a, const auto& b) { return a.second.used < b.second.used; }));
        windows_[from] = {start, sequence, 0, ++uses_};
        return true;
    }
    Window& window = found->second;
    window.used = ++uses_;
    if (start != window.start) {
        if (start < window.start) return false;
        window = {start, sequence, 0, uses_};
        return true;
    }
    if (sequence > window.highest) {
        const std::uint64_t ahead = sequence - window.highest;
        window.before = ahead > 64    ? 0
                        : ahead == 64 ? 1ULL << 63
                                      : (window.before << ahead) | (1ULL << (ahead - 1));
        window.highest = sequence;
        return true;
    }
    const std::uint64_t behind = window.highest - sequence;
    if (behind == 0 || behind > 64) return false;
    const std::uint64_t bit = 1ULL << (behind - 1);
    if (window.before & bit) return false;
    window.before |= bit;
    return true;
}

}  // namespace sumackeel::peers
