// What goes between those that ask and the voters of the agreed log: MessagePack over the group's streams.
// Each reader throws std::runtime_error on bytes that are none.
#pragma once

#include <cstdint>
#include <sstream>
#include <stdexcept>
#include <string>

#include "base/packed.h"
#include "peers/wire.h"
#include "rollout/rollout.h"

namespace sumackeel::peers {

// What somebody wants of the leader.
enum class What : std::uint8_t { leave, back, turn, order, change, read, lead };
constexpr std::size_t kMostBody = 1 << 20;

// Of a voter to one that asked: whether it could, who leads, and what came of it.
struct Said {
    bool done = false;
    std::string leader, body;
    std::uint64_t history = 0;  // of the voter's log
    std::string registry = {};  // of a state that was asked for: what is new there
};

inline std::string encode(const Said& said) {
    base::Packed out;
    return out.array(5).add(said.done, said.leader, said.body, said.history, said.registry).bytes();
}

inline Said said_in(const std::string& body) {
    const base::Unpacked whole = base::unpacked(body, 16, kLongestCall);
    base::Fields at = whole.fields(3);
    Said said;
    said.done = at.next<bool>(), said.leader = at.text(rollout::kLongestName);
    said.body = at.text(kLongestCall);
    if (at.left() < 2) return said;  // of the version before the registry
    said.history = at.next<std::uint64_t>(), said.registry = at.text(kLongestCall);
    return said;
}

// Which state somebody has: "REVISION REGISTRY HISTORY"; the first alone of the version before the registry.
struct Has {
    std::uint64_t revision = 0, registry = 0, history = 0;
};
inline Has has_in(const std::string& body) {
    Has has;
    std::istringstream in(body);
    if (!(in >> has.revision)) throw std::runtime_error("no revision");
    in >> has.registry >> has.history;
    return has;
}

// What somebody wants, with what only the asker knows.
struct Wanted {
    What what = What::leave;
    bool forced = false;
    rollout::Kind kind = rollout::Kind::proxy;
    std::string member, by;
    std::string body;         // an order, as the log holds it
    rollout::Runs runs = {};  // of a proxy that asks for itself

    std::string encode() const {
        base::Packed out;
        return out.array(8)
            .add(static_cast<int>(what), forced, static_cast<int>(kind), member, by, body, runs.start,
                 runs.version)
            .bytes();
    }
    static Wanted read(const std::string& bytes) {
        const base::Unpacked whole = base::unpacked(bytes, 16, kMostBody);
        base::Fields at = whole.fields(8);
        Wanted wanted;
        wanted.what = at.word(What::lead), wanted.forced = at.next<bool>();
        wanted.kind = at.word(rollout::Kind::pop_cache);
        wanted.member = at.text(rollout::kLongestName), wanted.by = at.text(rollout::kLongestName);
        wanted.body = at.text(kMostBody);
        wanted.runs.start = at.next<std::uint64_t>();
        wanted.runs.version = at.text(rollout::kLongestName);
        return wanted;
    }
};

}  // namespace sumackeel::peers
