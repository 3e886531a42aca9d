#include "cluster_transport/message_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <msgpack.hpp>
#include <stdexcept>

#include "base/files.h"
#include "cluster/membership.h"
#include "config/config.h"

namespace sumackeel::cluster_transport {

using cluster::Datagram;
using cluster::MemberRecord;
using cluster::MessageKind;
using cluster::Phase;
using cluster::Suspicion;

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

void pack(Packer& out, const MemberRecord& word) {
    out.pack_array(8);
    out.pack(word.name), out.pack(word.address), out.pack(word.zone), out.pack(word.software_version);
    out.pack(word.incarnation.start), out.pack(word.incarnation.refutations), out.pack(word.instance_id);
    out.pack(static_cast<std::uint8_t>(word.phase));
}

void pack(Packer& out, const Suspicion& doubt) {
    out.pack_array(7);
    out.pack(doubt.suspector), out.pack(doubt.subject), out.pack(doubt.suspector_start);
    out.pack(doubt.incarnation.start), out.pack(doubt.incarnation.refutations), out.pack(doubt.number),
        out.pack(doubt.active);
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
    need(text.size() <= cluster::kMaxNameLength && (may_be_empty || !text.empty()));
    need(std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; }));
    return text;
}

MemberRecord word_in(const msgpack::object& object) {
    const auto& at = array_of(object, 8);
    MemberRecord word;
    word.name = text_in(at.ptr[0], false), word.address = text_in(at.ptr[1], false);
    word.zone = text_in(at.ptr[2]), word.software_version = text_in(at.ptr[3]);
    word.incarnation = {at.ptr[4].as<std::uint64_t>(), at.ptr[5].as<std::uint64_t>()};
    need(cluster::is_valid(word.incarnation));
    word.instance_id = at.ptr[6].as<std::uint64_t>();
    const auto phase = at.ptr[7].as<std::uint8_t>();
    need(phase <= static_cast<std::uint8_t>(Phase::left));
    word.phase = static_cast<Phase>(phase);
    return word;
}

Suspicion doubt_in(const msgpack::object& object) {
    const auto& at = array_of(object, 7);
    need(cluster::is_valid({at.ptr[3].as<std::uint64_t>(), at.ptr[4].as<std::uint64_t>()}));
    return {.suspector = text_in(at.ptr[0], false),
            .subject = text_in(at.ptr[1], false),
            .suspector_start = at.ptr[2].as<std::uint64_t>(),
            .incarnation = {at.ptr[3].as<std::uint64_t>(), at.ptr[4].as<std::uint64_t>()},
            .number = at.ptr[5].as<std::uint64_t>(),
            .active = at.ptr[6].as<bool>()};
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
void said_in(const msgpack::object_array& at, std::uint32_t from, std::vector<MemberRecord>& words,
             std::vector<Suspicion>& doubts) {
    words = all_in<MemberRecord>(at.ptr[from], cluster::kMaxMembers + 1, word_in);
    doubts =
        all_in<Suspicion>(at.ptr[from + 1], (cluster::kMaxMembers + 1) * cluster::kMaxSuspectors, doubt_in);
}

msgpack::object_handle unpacked(std::string_view body) {
    // Deep or long ones are refused before anything is made of them.
    const std::size_t most = (cluster::kMaxMembers + 1) * cluster::kMaxSuspectors;
    return msgpack::unpack(body.data(), body.size(), nullptr, nullptr,
                           msgpack::unpack_limit(most, 16, 256, 256, 0, 6));
}

}  // namespace

const char* name_of(DecodeError bad) {
    switch (bad) {
        case DecodeError::malformed:
            return "malformed";
        case DecodeError::wrong_protocol:
            return "foreign";
        case DecodeError::wrong_mac:
            return "code";
        case DecodeError::replayed:
            return "replayed";
        case DecodeError::oversized:
            return "oversized";
    }
    return "?";
}

Keys load_keys(const std::string& path) {
    std::string text, fault;
    if (base::read_regular_file(path, kLongestKeyFile, text, fault) != base::ReadStatus::ok)
        throw config::ConfigError(fault);
    Keys keys;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        if (end > at) keys.all.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    if (keys.all.empty()) throw config::ConfigError(path + ": no key in it");
    for (const std::string& key : keys.all)
        if (key.size() < kMinKeyBytes)
            throw config::ConfigError(path + ": a key of under " + std::to_string(kMinKeyBytes) + " bytes");
    return keys;
}

std::string MessageCodec::sealed(std::uint8_t type, std::string_view body) const {
    std::string head(kMagic);
    head += static_cast<char>(kProtocolVersion);
    head += static_cast<char>(type);
    return head + code_of(keys_.all.front(), head, body) + std::string(body);
}

std::optional<std::string_view> MessageCodec::opened(std::uint8_t type, std::string_view bytes,
                                                     DecodeError& bad) const {
    bad = DecodeError::malformed;
    if (bytes.size() < kHead || !bytes.starts_with(kMagic)) return std::nullopt;
    bad = DecodeError::wrong_protocol;
    if (static_cast<std::uint8_t>(bytes[2]) != kProtocolVersion ||
        static_cast<std::uint8_t>(bytes[3]) != type)
        return std::nullopt;
    const std::string_view head = bytes.substr(0, 4), code = bytes.substr(4, kCode),
                           body = bytes.substr(kHead);
    for (const std::string& key : keys_.all)
        if (CRYPTO_memcmp(code_of(key, head, body).data(), code.data(), kCode) == 0) return body;
    bad = DecodeError::wrong_mac;
    return std::nullopt;
}

std::string MessageCodec::encode_datagram(const SequencedDatagram& numbered) const {
    const Datagram& datagram = numbered.datagram;
    msgpack::sbuffer body;
    Packer out(body);
    out.pack_array(10);
    out.pack(group_), out.pack(datagram.from), out.pack(datagram.to);
    out.pack(numbered.start), out.pack(numbered.sequence);
    out.pack(static_cast<std::uint8_t>(datagram.kind)), out.pack(datagram.number), out.pack(datagram.subject);
    pack_all(out, datagram.records);
    pack_all(out, datagram.suspicions);
    return sealed(kDatagramType, {body.data(), body.size()});
}

std::optional<SequencedDatagram> MessageCodec::decode_datagram(std::string_view bytes,
                                                               DecodeError& bad) const {
    bad = DecodeError::oversized;
    if (bytes.size() > kMaxDatagramBytes) return std::nullopt;
    const auto body = opened(kDatagramType, bytes, bad);
    if (!body) return std::nullopt;
    try {
        bad = DecodeError::malformed;
        const auto handle = unpacked(*body);
        const auto& at = array_of(handle.get(), 10);
        SequencedDatagram numbered;
        if (at.ptr[0].as<std::string>() != group_) {
            bad = DecodeError::wrong_protocol;
            return std::nullopt;
        }
        Datagram& datagram = numbered.datagram;
        datagram.from = text_in(at.ptr[1], false), datagram.to = text_in(at.ptr[2], false);
        numbered.start = at.ptr[3].as<std::uint64_t>(), numbered.sequence = at.ptr[4].as<std::uint64_t>();
        const auto kind = at.ptr[5].as<std::uint8_t>();
        need(kind >= 1 && kind <= static_cast<std::uint8_t>(MessageKind::gossip));
        datagram.kind = static_cast<MessageKind>(kind);
        datagram.number = at.ptr[6].as<std::uint64_t>();
        datagram.subject = text_in(at.ptr[7]);
        said_in(at, 8, datagram.records, datagram.suspicions);
        return numbered;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string MessageCodec::encode_frame(const ExchangeFrame& frame) const {
    msgpack::sbuffer body;
    Packer out(body);
    out.pack_array(7);
    out.pack(group_), out.pack(frame.state.from), out.pack(frame.to);
    out.pack(static_cast<std::uint8_t>(frame.step)), out.pack(frame.digest);
    pack_all(out, frame.state.records);
    pack_all(out, frame.state.suspicions);
    return with_length(sealed(kFrameType, {body.data(), body.size()}));
}

bool MessageCodec::is_call(std::string_view bytes) {
    return bytes.size() > 3 && static_cast<std::uint8_t>(bytes[3]) == kCallType;
}

std::string MessageCodec::encode_call(const CallFrame& call) const {
    msgpack::sbuffer body;
    Packer out(body);
    out.pack_array(8);
    out.pack(group_), out.pack(call.from), out.pack(call.to), out.pack(call.start), out.pack(call.sequence);
    out.pack(call.is_response), out.pack(call.method), out.pack(call.body);
    return with_length(sealed(kCallType, {body.data(), body.size()}));
}

std::optional<CallFrame> MessageCodec::decode_call(std::string_view bytes, DecodeError& bad) const {
    const auto body = opened(kCallType, bytes, bad);
    if (!body) return std::nullopt;
    try {
        bad = DecodeError::malformed;
        const auto handle = msgpack::unpack(body->data(), body->size(), nullptr, nullptr,
                                            msgpack::unpack_limit(8, 0, kMaxCallBytes, kMaxCallBytes, 0, 2));
        const auto& at = array_of(handle.get(), 8);
        if (at.ptr[0].as<std::string>() != group_) {
            bad = DecodeError::wrong_protocol;
            return std::nullopt;
        }
        return CallFrame{text_in(at.ptr[1], false),     text_in(at.ptr[2], false),
                         at.ptr[3].as<std::uint64_t>(), at.ptr[4].as<std::uint64_t>(),
                         at.ptr[5].as<bool>(),          text_in(at.ptr[6], false),
                         at.ptr[7].as<std::string>()};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string MessageCodec::mac_of(std::string_view text) const {
    return code_of(keys_.all.front(), text, "");
}

bool MessageCodec::verify_mac(std::string_view text, std::string_view code) const {
    return code.size() == kCode &&
           std::any_of(keys_.all.begin(), keys_.all.end(), [&](const std::string& key) {
               return CRYPTO_memcmp(code_of(key, text, "").data(), code.data(), kCode) == 0;
           });
}

std::optional<ExchangeFrame> MessageCodec::decode_frame(std::string_view bytes, DecodeError& bad) const {
    const auto body = opened(kFrameType, bytes, bad);
    if (!body) return std::nullopt;
    try {
        bad = DecodeError::malformed;
        const auto handle = unpacked(*body);
        const auto& at = array_of(handle.get(), 7);
        if (at.ptr[0].as<std::string>() != group_) {
            bad = DecodeError::wrong_protocol;
            return std::nullopt;
        }
        ExchangeFrame frame;
        frame.state.from = text_in(at.ptr[1], false);
        frame.to = text_in(at.ptr[2]);
        const auto step = at.ptr[3].as<std::uint8_t>();
        need(step >= 1 && step <= static_cast<std::uint8_t>(ExchangeStep::state));
        frame.step = static_cast<ExchangeStep>(step);
        frame.digest = at.ptr[4].as<std::uint64_t>();
        said_in(at, 5, frame.state.records, frame.state.suspicions);
        return frame;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<std::string> take_frame(std::string& in, bool& oversized) {
    if (in.size() < 4) return std::nullopt;
    std::size_t length = 0;
    for (std::size_t i = 0; i < 4; ++i) length = length << 8 | static_cast<unsigned char>(in[i]);
    oversized = length > kMaxFrameBytes;
    if (oversized || in.size() < 4 + length) return std::nullopt;
    std::string frame = in.substr(4, length);
    in.erase(0, 4 + length);
    return frame;
}

bool ReplayFilter::accept(const std::string& from, std::uint64_t start, std::uint64_t sequence) {
    const auto found = windows_.find(from);
    if (found == windows_.end()) {
        if (windows_.size() >= cluster::kMaxMembers)  // the one that was silent the longest makes room
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

}  // namespace sumackeel::cluster_transport
