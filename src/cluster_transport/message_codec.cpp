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
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kHeaderBytes = 4 + kMacBytes;
constexpr std::uint8_t kDatagramType = 1;
constexpr std::uint8_t kFrameType = 2;
constexpr std::uint8_t kCallType = 3;
constexpr std::size_t kMaxKeyFileBytes = 4096;

struct MalformedMessage : std::runtime_error {
    using std::runtime_error::runtime_error;
};
void require(bool holds) {
    if (!holds) throw MalformedMessage("malformed");
}

std::string compute_mac(const std::string& key, std::string_view header, std::string_view body) {
    std::string text(header);
    text += body;
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), mac.data(), &length);
    return {reinterpret_cast<const char*>(mac.data()), kMacBytes};
}

std::string prepend_length(const std::string& bytes) {
    std::string framed;
    for (int shift = 24; shift >= 0; shift -= 8) framed += static_cast<char>(bytes.size() >> shift);
    return framed + bytes;
}

using Packer = msgpack::packer<msgpack::sbuffer>;

void pack(Packer& out, const MemberRecord& record) {
    out.pack_array(8);
    out.pack(record.name);
    out.pack(record.address);
    out.pack(record.zone);
    out.pack(record.software_version);
    out.pack(record.incarnation.start);
    out.pack(record.incarnation.refutations);
    out.pack(record.instance_id);
    out.pack(static_cast<std::uint8_t>(record.phase));
}

void pack(Packer& out, const Suspicion& suspicion) {
    out.pack_array(7);
    out.pack(suspicion.suspector);
    out.pack(suspicion.subject);
    out.pack(suspicion.suspector_start);
    out.pack(suspicion.incarnation.start);
    out.pack(suspicion.incarnation.refutations);
    out.pack(suspicion.number);
    out.pack(suspicion.active);
}

template <typename T>
void pack_all(Packer& out, const std::vector<T>& all) {
    out.pack_array(static_cast<std::uint32_t>(all.size()));
    for (const T& element : all) pack(out, element);
}

const msgpack::object_array& array_of(const msgpack::object& object, std::size_t min_size) {
    require(object.type == msgpack::type::ARRAY && object.via.array.size >= min_size);
    return object.via.array;
}

std::string decode_text(const msgpack::object& object, bool may_be_empty = true) {
    auto text = object.as<std::string>();
    require(text.size() <= cluster::kMaxNameLength && (may_be_empty || !text.empty()));
    require(std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; }));
    return text;
}

MemberRecord decode_record(const msgpack::object& object) {
    const auto& at = array_of(object, 8);
    MemberRecord record;
    record.name = decode_text(at.ptr[0], false);
    record.address = decode_text(at.ptr[1], false);
    record.zone = decode_text(at.ptr[2]);
    record.software_version = decode_text(at.ptr[3]);
    record.incarnation = {at.ptr[4].as<std::uint64_t>(), at.ptr[5].as<std::uint64_t>()};
    require(cluster::is_valid(record.incarnation));
    record.instance_id = at.ptr[6].as<std::uint64_t>();
    const auto phase = at.ptr[7].as<std::uint8_t>();
    require(phase <= static_cast<std::uint8_t>(Phase::left));
    record.phase = static_cast<Phase>(phase);
    return record;
}

Suspicion decode_suspicion(const msgpack::object& object) {
    const auto& at = array_of(object, 7);
    require(cluster::is_valid({at.ptr[3].as<std::uint64_t>(), at.ptr[4].as<std::uint64_t>()}));
    return {.suspector = decode_text(at.ptr[0], false),
            .subject = decode_text(at.ptr[1], false),
            .suspector_start = at.ptr[2].as<std::uint64_t>(),
            .incarnation = {at.ptr[3].as<std::uint64_t>(), at.ptr[4].as<std::uint64_t>()},
            .number = at.ptr[5].as<std::uint64_t>(),
            .active = at.ptr[6].as<bool>()};
}

template <typename T, typename Read>
std::vector<T> decode_all(const msgpack::object& object, std::size_t max_size, Read read) {
    const auto& at = array_of(object, 0);
    require(at.size <= max_size);
    std::vector<T> all;
    for (std::uint32_t i = 0; i < at.size; ++i) all.push_back(read(at.ptr[i]));
    return all;
}

// Records and suspicions, the last fields of datagrams and of exchange frames.
void decode_records_and_suspicions(const msgpack::object_array& at, std::uint32_t from,
                                   std::vector<MemberRecord>& records, std::vector<Suspicion>& suspicions) {
    records = decode_all<MemberRecord>(at.ptr[from], cluster::kMaxMembers + 1, decode_record);
    suspicions = decode_all<Suspicion>(at.ptr[from + 1], (cluster::kMaxMembers + 1) * cluster::kMaxSuspectors,
                                       decode_suspicion);
}

// Messages nested too deeply or with too many elements are rejected before anything is allocated.
msgpack::unpack_limit state_limits() {
    constexpr std::size_t kMaxElements = (cluster::kMaxMembers + 1) * cluster::kMaxSuspectors;
    return {kMaxElements, 16, 256, 256, 0, 6};
}

msgpack::unpack_limit call_limits() {
    return {8, 0, kMaxCallBytes, kMaxCallBytes, 0, 2};
}

// Decodes an array of at least `min_size` values, the first of which is the cluster name; `read` builds the
// message from them and may throw on malformed values.
template <typename Message>
std::optional<Message> decode_body(std::string_view body, const msgpack::unpack_limit& limits,
                                   std::size_t min_size, const std::string& cluster_name, DecodeError& error,
                                   Message (*read)(const msgpack::object_array&)) {
    try {
        error = DecodeError::malformed;
        const auto handle = msgpack::unpack(body.data(), body.size(), nullptr, nullptr, limits);
        const auto& values = array_of(handle.get(), min_size);
        if (values.ptr[0].as<std::string>() != cluster_name) {
            error = DecodeError::wrong_protocol;
            return std::nullopt;
        }
        return read(values);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

SequencedDatagram read_datagram(const msgpack::object_array& at) {
    SequencedDatagram sequenced;
    Datagram& datagram = sequenced.datagram;
    datagram.from = decode_text(at.ptr[1], false);
    datagram.to = decode_text(at.ptr[2], false);
    sequenced.start = at.ptr[3].as<std::uint64_t>();
    sequenced.sequence = at.ptr[4].as<std::uint64_t>();
    const auto kind = at.ptr[5].as<std::uint8_t>();
    require(kind >= 1 && kind <= static_cast<std::uint8_t>(MessageKind::gossip));
    datagram.kind = static_cast<MessageKind>(kind);
    datagram.number = at.ptr[6].as<std::uint64_t>();
    datagram.subject = decode_text(at.ptr[7]);
    decode_records_and_suspicions(at, 8, datagram.records, datagram.suspicions);
    return sequenced;
}

ExchangeFrame read_exchange_frame(const msgpack::object_array& at) {
    ExchangeFrame frame;
    frame.state.from = decode_text(at.ptr[1], false);
    frame.to = decode_text(at.ptr[2]);
    const auto step = at.ptr[3].as<std::uint8_t>();
    require(step >= 1 && step <= static_cast<std::uint8_t>(ExchangeStep::state));
    frame.step = static_cast<ExchangeStep>(step);
    frame.digest = at.ptr[4].as<std::uint64_t>();
    decode_records_and_suspicions(at, 5, frame.state.records, frame.state.suspicions);
    return frame;
}

CallFrame read_call_frame(const msgpack::object_array& at) {
    return {decode_text(at.ptr[1], false), decode_text(at.ptr[2], false), at.ptr[3].as<std::uint64_t>(),
            at.ptr[4].as<std::uint64_t>(), at.ptr[5].as<bool>(),          decode_text(at.ptr[6], false),
            at.ptr[7].as<std::string>()};
}

}  // namespace

const char* name_of(DecodeError error) {
    switch (error) {
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
    if (base::read_regular_file(path, kMaxKeyFileBytes, text, fault) != base::ReadStatus::ok)
        throw config::ConfigError(fault);
    Keys keys;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        if (end > at) keys.all.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    if (keys.all.empty()) throw config::ConfigError(path + ": contains no key");
    for (const std::string& key : keys.all)
        if (key.size() < kMinKeyBytes)
            throw config::ConfigError(path + ": contains a key of fewer than " +
                                      std::to_string(kMinKeyBytes) + " bytes");
    return keys;
}

std::string MessageCodec::build_message(std::uint8_t type, std::string_view body) const {
    std::string header(kMagic);
    header += static_cast<char>(kProtocolVersion);
    header += static_cast<char>(type);
    return header + compute_mac(keys_.all.front(), header, body) + std::string(body);
}

std::optional<std::string_view> MessageCodec::open_message(std::uint8_t type, std::string_view bytes,
                                                           DecodeError& error) const {
    error = DecodeError::malformed;
    if (bytes.size() < kHeaderBytes || !bytes.starts_with(kMagic)) return std::nullopt;
    error = DecodeError::wrong_protocol;
    if (static_cast<std::uint8_t>(bytes[2]) != kProtocolVersion ||
        static_cast<std::uint8_t>(bytes[3]) != type)
        return std::nullopt;
    const std::string_view header = bytes.substr(0, 4), mac = bytes.substr(4, kMacBytes),
                           body = bytes.substr(kHeaderBytes);
    for (const std::string& key : keys_.all)
        if (CRYPTO_memcmp(compute_mac(key, header, body).data(), mac.data(), kMacBytes) == 0) return body;
    error = DecodeError::wrong_mac;
    return std::nullopt;
}

std::string MessageCodec::encode_datagram(const SequencedDatagram& sequenced) const {
    const Datagram& datagram = sequenced.datagram;
    msgpack::sbuffer body;
    Packer out(body);
    out.pack_array(10);
    out.pack(cluster_name_);
    out.pack(datagram.from);
    out.pack(datagram.to);
    out.pack(sequenced.start);
    out.pack(sequenced.sequence);
    out.pack(static_cast<std::uint8_t>(datagram.kind));
    out.pack(datagram.number);
    out.pack(datagram.subject);
    pack_all(out, datagram.records);
    pack_all(out, datagram.suspicions);
    return build_message(kDatagramType, {body.data(), body.size()});
}

std::optional<SequencedDatagram> MessageCodec::decode_datagram(std::string_view bytes,
                                                               DecodeError& error) const {
    error = DecodeError::oversized;
    if (bytes.size() > kMaxDatagramBytes) return std::nullopt;
    const auto body = open_message(kDatagramType, bytes, error);
    if (!body) return std::nullopt;
    return decode_body(*body, state_limits(), 10, cluster_name_, error, read_datagram);
}

std::string MessageCodec::encode_frame(const ExchangeFrame& frame) const {
    msgpack::sbuffer body;
    Packer out(body);
    out.pack_array(7);
    out.pack(cluster_name_);
    out.pack(frame.state.from);
    out.pack(frame.to);
    out.pack(static_cast<std::uint8_t>(frame.step));
    out.pack(frame.digest);
    pack_all(out, frame.state.records);
    pack_all(out, frame.state.suspicions);
    return prepend_length(build_message(kFrameType, {body.data(), body.size()}));
}

bool MessageCodec::is_call(std::string_view bytes) {
    return bytes.size() > 3 && static_cast<std::uint8_t>(bytes[3]) == kCallType;
}

std::string MessageCodec::encode_call(const CallFrame& call) const {
    msgpack::sbuffer body;
    Packer out(body);
    out.pack_array(8);
    out.pack(cluster_name_);
    out.pack(call.from);
    out.pack(call.to);
    out.pack(call.start);
    out.pack(call.sequence);
    out.pack(call.is_response);
    out.pack(call.method);
    out.pack(call.body);
    return prepend_length(build_message(kCallType, {body.data(), body.size()}));
}

std::optional<CallFrame> MessageCodec::decode_call(std::string_view bytes, DecodeError& error) const {
    const auto body = open_message(kCallType, bytes, error);
    if (!body) return std::nullopt;
    return decode_body(*body, call_limits(), 8, cluster_name_, error, read_call_frame);
}

std::string MessageCodec::mac_of(std::string_view text) const {
    return compute_mac(keys_.all.front(), text, "");
}

bool MessageCodec::verify_mac(std::string_view text, std::string_view mac) const {
    return mac.size() == kMacBytes &&
           std::any_of(keys_.all.begin(), keys_.all.end(), [&](const std::string& key) {
               return CRYPTO_memcmp(compute_mac(key, text, "").data(), mac.data(), kMacBytes) == 0;
           });
}

std::optional<ExchangeFrame> MessageCodec::decode_frame(std::string_view bytes, DecodeError& error) const {
    const auto body = open_message(kFrameType, bytes, error);
    if (!body) return std::nullopt;
    return decode_body(*body, state_limits(), 7, cluster_name_, error, read_exchange_frame);
}

std::optional<std::string> take_frame(std::string& buffer, bool& oversized) {
    if (buffer.size() < 4) return std::nullopt;
    std::size_t length = 0;
    for (std::size_t i = 0; i < 4; ++i) length = length << 8 | static_cast<unsigned char>(buffer[i]);
    oversized = length > kMaxFrameBytes;
    if (oversized || buffer.size() < 4 + length) return std::nullopt;
    std::string frame = buffer.substr(4, length);
    buffer.erase(0, 4 + length);
    return frame;
}

bool ReplayFilter::accept(const std::string& from, std::uint64_t start, std::uint64_t sequence) {
    const auto found = windows_.find(from);
    if (found == windows_.end()) {
        if (windows_.size() >= cluster::kMaxMembers)  // evict the least recently used sender
            windows_.erase(std::min_element(
                windows_.begin(), windows_.end(),
                [](const auto& a, const auto& b) { return a.second.used_at < b.second.used_at; }));
        windows_[from] = {start, sequence, 0, ++use_count_};
        return true;
    }
    Window& window = found->second;
    window.used_at = ++use_count_;
    if (start != window.start) {
        if (start < window.start) return false;
        window = {start, sequence, 0, use_count_};
        return true;
    }
    if (sequence > window.highest) {
        const std::uint64_t ahead = sequence - window.highest;
        window.received_mask = ahead > 64    ? 0
                               : ahead == 64 ? 1ULL << 63
                                             : (window.received_mask << ahead) | (1ULL << (ahead - 1));
        window.highest = sequence;
        return true;
    }
    const std::uint64_t behind = window.highest - sequence;
    if (behind == 0 || behind > 64) return false;
    const std::uint64_t bit = 1ULL << (behind - 1);
    if (window.received_mask & bit) return false;
    window.received_mask |= bit;
    return true;
}

}  // namespace sumackeel::cluster_transport
