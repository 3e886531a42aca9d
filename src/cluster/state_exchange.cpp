#include "cluster/state_exchange.h"

#include <map>
#include <string_view>
#include <vector>

namespace sumackeel::cluster {

namespace {

constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr std::uint64_t kTextEnd = 0xff;  // does not occur in names

// FNV-1a over the text and an end mark.
std::uint64_t hash_text(std::uint64_t hash, std::string_view text) {
    for (const unsigned char byte : text) hash = (hash ^ byte) * kFnvPrime;
    return (hash ^ kTextEnd) * kFnvPrime;
}

}  // namespace

std::uint64_t StateExchange::digest() const {
    std::map<std::string_view, const MemberRecord*> records{{local_.self.name, &local_.self}};
    for (const auto& [name, member] : members_.all())
        if (!member.forgotten) records[name] = &member.record;
    std::uint64_t hash = kFnvOffsetBasis;
    for (const auto& [name, record] : records) {
        hash = hash_text(hash, name);
        hash = hash_text(hash, std::to_string(record->incarnation.start) + ' ' +
                                   std::to_string(record->incarnation.refutations) + ' ' +
                                   std::to_string(static_cast<int>(record->phase)));
        const Member* member = members_.find(record->name);
        if (member && member->dead) hash = hash_text(hash, "dead");
    }
    return hash;
}

FullState StateExchange::full_state() const {
    FullState state{.from = local_.self.name, .records = {local_.self}, .suspicions = {}};
    for (const auto& [name, member] : members_.all()) {
        if (member.forgotten) continue;
        state.records.push_back(member.record);
        for (const auto& [suspector, entry] : member.suspicions)
            if (entry.is_accepted) state.suspicions.push_back(entry.accepted);
    }
    return state;
}

void StateExchange::schedule_next() {
    next_at_ = local_.now + local_.jittered(local_.options.exchange_interval);
}

void StateExchange::pick_peer() {
    schedule_next();
    const std::vector<std::string> names = members_.pinged();
    if (!names.empty()) peer_ = names[local_.random() % names.size()];
}

}  // namespace sumackeel::cluster
