// Hash functions with identical results on all routers and platforms.
#pragma once

#include <cmath>
#include <cstdint>
#include <string>

namespace sumackeel::routing {

inline std::uint64_t mix(std::uint64_t x) {  // splitmix64 finalizer
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

inline std::uint64_t hash_of(const std::string& text) {  // FNV-1a followed by mix()
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return mix(h);
}

// Maps two keys to a number in (0, 1).
inline double unit_hash(std::uint64_t a, std::uint64_t b) {
    return (static_cast<double>(mix(a ^ b) >> 11) + 0.5) / 9007199254740992.0;
}

// Score for weighted rendezvous hashing: the highest score is selected, and a changed weight moves only the
// keys of its endpoint.
inline double rendezvous(std::uint64_t key, std::uint64_t name, double weight) {
    return weight / -std::log(unit_hash(key, name));
}

}  // namespace sumackeel::routing
