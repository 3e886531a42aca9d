// The state's and the commands' form in the log and in snapshots: MessagePack, a version first.
#include <cmath>
#include <msgpack.hpp>
#include <stdexcept>

#include "rollout/rollout.h"

namespace sumackeel::rollout {

namespace {

constexpr int kVersion = 1;
enum class Command : int { ask = 1, back = 2 };

using Packer = msgpack::packer<msgpack::sbuffer>;

[[noreturn]] void broken() {
    throw std::runtime_error("bytes of the agreed log that can't be read");
}
void need(bool holds) {
    if (!holds) broken();
}

msgpack::object_handle opened(std::string_view bytes) {
    try {
        return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                               msgpack::unpack_limit(2 * kMostSeen, 16, 4 * kLongestName, 64, 0, 6));
    } catch (const std::exception&) {
        broken();
    }
}

const msgpack::object_array& array_of(const msgpack::object& object, std::size_t least) {
    need(object.type == msgpack::type::ARRAY && object.via.array.size >= least);
    return object.via.array;
}

template <typename T>
T as(const msgpack::object& object) {
    try {
        return object.as<T>();
    } catch (const std::exception&) {
        broken();
    }
}
std::string text(const msgpack::object& object) {
    auto value = as<std::string>(object);
    need(value.size() <= kLongestName);
    return value;
}
Kind kind(const msgpack::object& object) {
    const auto value = as<int>(object);
    need(value == 0 || value == 1);
    return static_cast<Kind>(value);
}

void pack(Packer& out, const Lease& lease) {
    out.pack_array(7);
    out.pack(lease.number), out.pack(static_cast<int>(lease.kind)), out.pack(lease.member);
    out.pack(lease.school), out.pack(lease.by), out.pack(lease.since), out.pack(lease.forced);
}
Lease lease_in(const msgpack::object& object) {
    const auto& at = array_of(object, 7);
    return {
        as<std::uint64_t>(at.ptr[0]), kind(at.ptr[1]),    text(at.ptr[2]), text(at.ptr[3]), text(at.ptr[4]),
        as<Micros>(at.ptr[5]),        as<bool>(at.ptr[6])};
}

std::string bytes_of(const msgpack::sbuffer& buffer) {
    return {buffer.data(), buffer.size()};
}

}  // namespace

std::string encode(const Ask& ask) {
    msgpack::sbuffer buffer;
    Packer out(buffer);
    out.pack_array(12);
    out.pack(kVersion), out.pack(static_cast<int>(Command::ask)), out.pack(static_cast<int>(ask.kind));
    out.pack(ask.member), out.pack(ask.by), out.pack(ask.forced), out.pack(ask.now);
    out.pack(ask.rules.school_out), out.pack(ask.rules.school_share), out.pack(ask.rules.fleet_out);
    out.pack(ask.rules.between);
    out.pack_array(static_cast<std::uint32_t>(ask.world.size()));
    for (const Seen& seen : ask.world) {
        out.pack_array(6);
        out.pack(seen.name), out.pack(seen.school), out.pack(seen.leans_on), out.pack(seen.weight),
            out.pack(seen.out), out.pack(seen.why);
    }
    return bytes_of(buffer);
}

std::string encode(const Back& back) {
    msgpack::sbuffer buffer;
    Packer out(buffer);
    out.pack_array(6);
    out.pack(kVersion), out.pack(static_cast<int>(Command::back)), out.pack(static_cast<int>(back.kind));
    out.pack(back.member), out.pack(back.by), out.pack(back.now);
    return bytes_of(buffer);
}

Answer apply(State& state, std::string_view command) {
    const auto handle = opened(command);
    const auto& at = array_of(handle.get(), 6);
    need(as<int>(at.ptr[0]) == kVersion);
    const int what = as<int>(at.ptr[1]);
    if (what == static_cast<int>(Command::back))
        return state.apply(Back{kind(at.ptr[2]), text(at.ptr[3]), text(at.ptr[4]), as<Micros>(at.ptr[5])});
    need(what == static_cast<int>(Command::ask) && at.size >= 12);
    Ask ask{kind(at.ptr[2]),
            text(at.ptr[3]),
            text(at.ptr[4]),
            as<bool>(at.ptr[5]),
            as<Micros>(at.ptr[6]),
            {},
            {}};
    ask.rules = {as<int>(at.ptr[7]), as<double>(at.ptr[8]), as<int>(at.ptr[9]), as<Micros>(at.ptr[10])};
    const auto& world = array_of(at.ptr[11], 0);
    need(world.size <= kMostSeen);
    for (std::uint32_t i = 0; i < world.size; ++i) {
        const auto& one = array_of(world.ptr[i], 6);
        ask.world.push_back({text(one.ptr[0]), text(one.ptr[1]), text(one.ptr[2]), as<double>(one.ptr[3]),
                             as<bool>(one.ptr[4]), text(one.ptr[5])});
        need(std::isfinite(ask.world.back().weight) && ask.world.back().weight >= 0);
    }
    return state.apply(ask);
}

std::string encode(const Answer& answer) {
    msgpack::sbuffer buffer;
    Packer out(buffer);
    out.pack_array(4);
    out.pack(static_cast<int>(answer.how)), out.pack(answer.number), out.pack(answer.reason);
    out.pack(answer.waits_for);
    return bytes_of(buffer);
}

Answer decode_answer(std::string_view bytes) {
    const auto handle = opened(bytes);
    const auto& at = array_of(handle.get(), 4);
    const int how = as<int>(at.ptr[0]);
    need(how >= 0 && how <= static_cast<int>(How::nothing));
    return {static_cast<How>(how), as<std::uint64_t>(at.ptr[1]), as<std::string>(at.ptr[2]),
            as<std::vector<std::string>>(at.ptr[3])};
}

std::string State::encode() const {
    msgpack::sbuffer buffer;
    Packer out(buffer);
    out.pack_array(6);
    out.pack(kVersion), out.pack(last_), out.pack(revision_);
    out.pack_array(static_cast<std::uint32_t>(leases_.size()));
    for (const auto& [key, lease] : leases_) pack(out, lease);
    out.pack_array(static_cast<std::uint32_t>(returned_.size()));
    for (const auto& [key, at] : returned_) {
        out.pack_array(3);
        out.pack(static_cast<int>(key.first)), out.pack(key.second), out.pack(at);
    }
    out.pack_array(static_cast<std::uint32_t>(forced_.size()));
    for (const Lease& lease : forced_) pack(out, lease);
    return bytes_of(buffer);
}

State State::decode(std::string_view bytes) {
    const auto handle = opened(bytes);
    const auto& at = array_of(handle.get(), 6);
    need(as<int>(at.ptr[0]) == kVersion);
    State state;
    state.last_ = as<std::uint64_t>(at.ptr[1]), state.revision_ = as<std::uint64_t>(at.ptr[2]);
    const auto& leases = array_of(at.ptr[3], 0);
    const auto& returned = array_of(at.ptr[4], 0);
    const auto& forced = array_of(at.ptr[5], 0);
    need(leases.size <= kMostLeases && forced.size <= kMostRecords);
    for (std::uint32_t i = 0; i < leases.size; ++i) {
        Lease lease = lease_in(leases.ptr[i]);
        need(lease.number <= state.last_);
        state.leases_[{lease.kind, lease.member}] = std::move(lease);
    }
    for (std::uint32_t i = 0; i < returned.size; ++i) {
        const auto& one = array_of(returned.ptr[i], 3);
        state.returned_[{kind(one.ptr[0]), text(one.ptr[1])}] = as<Micros>(one.ptr[2]);
    }
    for (std::uint32_t i = 0; i < forced.size; ++i) state.forced_.push_back(lease_in(forced.ptr[i]));
    return state;
}

}  // namespace sumackeel::rollout
