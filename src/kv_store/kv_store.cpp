#include "kv_store/kv_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace sumackeel::kv_store {

namespace {

constexpr std::size_t kMany = 100'000, kSome = 1'024;
constexpr std::size_t kRoom = 16 << 20, kLittle = 1 << 20;

template <int kMost>
bool whole_upto(std::string_view value) {
    int number = -1;
    const auto read = std::from_chars(value.data(), value.data() + value.size(), number);
    return read.ec == std::errc{} && read.ptr == value.data() + value.size() && number >= 0 &&
           number <= kMost;
}

std::size_t size_of(const std::string& key, const Entry& entry) {
    return key.size() + entry.value.size();
}

}  // namespace

const std::vector<Namespace>& namespaces() {
    static const std::vector<Namespace> all = {
        {"revoked/", kMany, kRoom, nullptr, nullptr},
        {"key/", kSome, kLittle, "on or off", [](std::string_view v) { return v == "on" || v == "off"; }},
        {"setting/leeway_s", 1, kSome, "0 to 300", whole_upto<300>},
        {"setting/retry_after_s", 1, kSome, "0 to 3600", whole_upto<3'600>},
        {"setting/", kSome, kLittle, nullptr, nullptr},
        {"limit/", kSome, kLittle, "a whole number", whole_upto<1'000'000'000>},
        {"fleet/", kSome, kRoom, nullptr, nullptr},
        {"", kSome, kRoom, nullptr, nullptr},
    };
    return all;
}

const Namespace& namespace_of(std::string_view key) {
    return *std::find_if(namespaces().begin(), namespaces().end(),
                         [&](const Namespace& space) { return key.starts_with(space.prefix); });
}

const Entry* State::find(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

std::string validate(const Transaction& change) {
    if (change.operations.empty() || change.operations.size() > kMaxOperations)
        return fmt::format("1 to {} keys at once", kMaxOperations);
    std::vector<std::string_view> keys;
    for (const Operation& part : change.operations) {
        const bool sound = std::all_of(part.key.begin(), part.key.end(),
                                       [](unsigned char c) { return c > ' ' && c < 0x7f; });
        if (part.key.empty() || part.key.size() > kMaxKeyLength || !sound)
            return fmt::format("a key is 1 to {} signs without blanks", kMaxKeyLength);
        if (std::find(keys.begin(), keys.end(), part.key) != keys.end())
            return part.key + " stands there twice";
        keys.push_back(part.key);
        if (part.value.size() > kMaxValueBytes)
            return fmt::format("{}: a value is {} bytes at most", part.key, kMaxValueBytes);
        const Namespace& space = namespace_of(part.key);
        if (part.kind == OperationKind::set && space.is_valid_value && !space.is_valid_value(part.value))
            return fmt::format("{}: {} is wanted", part.key, space.value_description);
        if (part.time_to_live < 0) return part.key + ": a time that is over";
    }
    return {};
}

// Which bound the change would break.
std::string State::over(const Transaction& change) const {
    std::map<std::string_view, Used> used = used_;
    for (const Operation& part : change.operations) {
        Used& of = used[namespace_of(part.key).prefix];
        if (part.kind == OperationKind::check) continue;
        if (const Entry* old = find(part.key)) --of.keys, of.bytes -= size_of(part.key, *old);
        if (part.kind == OperationKind::set) ++of.keys, of.bytes += part.key.size() + part.value.size();
    }
    for (const Operation& part : change.operations) {
        const Namespace& space = namespace_of(part.key);
        const Used &now = used[space.prefix],
                   before = used_.contains(space.prefix) ? used_.at(space.prefix) : Used{};
        if (now.keys > space.max_keys && now.keys > before.keys)
            return fmt::format("{}: {} keys under '{}' at most", part.key, space.max_keys, space.prefix);
        if (now.bytes > space.max_bytes && now.bytes > before.bytes)
            return fmt::format("{}: {} bytes under '{}' at most", part.key, space.max_bytes, space.prefix);
    }
    return {};
}

void State::set(const std::string& key, std::optional<Entry> entry) {
    Used& used = used_[namespace_of(key).prefix];
    if (const auto old = entries_.find(key); old != entries_.end()) {
        --used.keys, used.bytes -= size_of(key, old->second);
        const auto [begin, end] = ending_.equal_range(old->second.expires_at);
        const auto mine = std::find_if(begin, end, [&](const auto& one) { return one.second == key; });
        if (mine != end) ending_.erase(mine);
        entries_.erase(old);
    }
    if (!entry) return;
    ++used.keys, used.bytes += size_of(key, *entry);
    if (entry->expires_at > 0) ending_.emplace(entry->expires_at, key);
    entries_[key] = std::move(*entry);
}

void State::keep(Event event) {
    event_bytes_ += event.key.size() + (event.entry ? event.entry->value.size() : 0);
    events_.push_back(std::move(event));
    // Those of one revision go together: what came since is told whole.
    while (!events_.empty() && (events_.size() > kMaxEvents || event_bytes_ > kMaxEventBytes)) {
        compacted_ = events_.front().revision;
        while (!events_.empty() && events_.front().revision == compacted_) {
            const Event& first = events_.front();
            event_bytes_ -= first.key.size() + (first.entry ? first.entry->value.size() : 0);
            events_.pop_front();
        }
    }
}

ApplyResult State::apply(const Transaction& change) {
    const auto no = [&](std::string why) { return ApplyResult{false, revision_, std::move(why)}; };
    if (std::string wrong = validate(change); !wrong.empty()) return no(std::move(wrong));
    bool changes = false;
    for (const Operation& part : change.operations) {
        const Entry* found = find(part.key);
        const std::uint64_t has = found ? found->version : 0;
        if (part.expected_version && *part.expected_version != has)
            return no(
                fmt::format("{} has version {}, {} was expected", part.key, has, *part.expected_version));
        changes = changes || part.kind == OperationKind::set || (part.kind == OperationKind::remove && found);
    }
    if (std::string wrong = over(change); !wrong.empty()) return no(std::move(wrong));
    if (!changes) return {true, revision_, {}};
    ++revision_;
    for (const Operation& part : change.operations) {
        if (part.kind == OperationKind::check || (part.kind == OperationKind::remove && !find(part.key)))
            continue;
        std::optional<Entry> entry;
        if (part.kind == OperationKind::set)
            entry = Entry{revision_, part.value, part.time_to_live > 0 ? change.now + part.time_to_live : 0};
        set(part.key, entry);
        keep({revision_, part.key, std::move(entry)});
    }
    return {true, revision_, {}};
}

ApplyResult State::apply(const Purge& purge) {
    if (purge.purge_group < 0 || purge.object.size() > kMaxKeyLength)
        return {false, revision_, "no such group or object"};
    ++revision_;
    purges_.push_back(purge);
    purges_.back().number = revision_;
    if (purges_.size() > kMaxPurges) purged_ = purges_.front().number, purges_.pop_front();
    keep({revision_, {}, std::nullopt});  // so that what came since is asked of the purges too
    return {true, revision_, {}};
}

std::optional<Micros> State::next_expiry() const {
    std::optional<Micros> at;
    if (!ending_.empty()) at = ending_.begin()->first;
    if (!purges_.empty() && (!at || purges_.front().at + kPurgeRetention < *at))
        at = purges_.front().at + kPurgeRetention;
    return at;
}

ApplyResult State::apply(const ExpireKeys& tick) {
    if (!next_expiry() || *next_expiry() > tick.now) return {false, revision_, "nothing is over"};
    ++revision_;
    while (!ending_.empty() && ending_.begin()->first <= tick.now) {
        const std::string key = ending_.begin()->second;
        set(key, std::nullopt);
        keep({revision_, key, std::nullopt});
    }
    while (!purges_.empty() && purges_.front().at + kPurgeRetention <= tick.now)
        purged_ = purges_.front().number, purges_.pop_front();
    keep({revision_, {}, std::nullopt});
    return {true, revision_, {}};
}

std::optional<std::vector<Event>> State::events_since(std::uint64_t revision) const {
    if (revision < compacted_ || revision > revision_) return std::nullopt;
    const auto first =
        std::lower_bound(events_.begin(), events_.end(), revision + 1,
                         [](const Event& event, std::uint64_t at) { return event.revision < at; });
    return std::vector<Event>(first, events_.end());
}

bool State::operator==(const State& other) const {
    return revision_ == other.revision_ && entries_ == other.entries_ && purges_ == other.purges_ &&
           purged_ == other.purged_;
}

}  // namespace sumackeel::kv_store
