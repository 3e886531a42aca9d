#include "kv_store/kv_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace sumackeel::kv_store {

namespace {

constexpr std::size_t kLargeKeyLimit = 100'000, kSmallLimit = 1'024;  // kSmallLimit: keys or bytes
constexpr std::size_t kLargeByteLimit = 16 << 20, kSmallByteLimit = 1 << 20;

template <int kMax>
bool is_whole_number_up_to(std::string_view value) {
    int number = -1;
    const auto read = std::from_chars(value.data(), value.data() + value.size(), number);
    return read.ec == std::errc{} && read.ptr == value.data() + value.size() && number >= 0 && number <= kMax;
}

std::size_t size_of(const std::string& key, const Entry& entry) {
    return key.size() + entry.value.size();
}

}  // namespace

const std::vector<Namespace>& namespaces() {
    static const std::vector<Namespace> all = {
        {"revoked/", kLargeKeyLimit, kLargeByteLimit, nullptr, nullptr},
        {"key/", kSmallLimit, kSmallByteLimit, "on or off",
         [](std::string_view v) { return v == "on" || v == "off"; }},
        {"setting/leeway_s", 1, kSmallLimit, "0 to 300", is_whole_number_up_to<300>},
        {"setting/retry_after_s", 1, kSmallLimit, "0 to 3600", is_whole_number_up_to<3'600>},
        {"setting/", kSmallLimit, kSmallByteLimit, nullptr, nullptr},
        {"limit/", kSmallLimit, kSmallByteLimit, "a whole number", is_whole_number_up_to<1'000'000'000>},
        {"fleet/", kSmallLimit, kLargeByteLimit, nullptr, nullptr},
        {"", kSmallLimit, kLargeByteLimit, nullptr, nullptr},
    };
    return all;
}

const Namespace& namespace_of(std::string_view key) {
    return *std::find_if(namespaces().begin(), namespaces().end(), [&](const Namespace& key_namespace) {
        return key.starts_with(key_namespace.prefix);
    });
}

const Entry* State::find(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

std::string validate(const Transaction& change) {
    if (change.operations.empty() || change.operations.size() > kMaxOperations)
        return fmt::format("1 to {} keys at once", kMaxOperations);
    std::vector<std::string_view> keys;
    for (const Operation& operation : change.operations) {
        const bool valid = std::all_of(operation.key.begin(), operation.key.end(),
                                       [](unsigned char c) { return c > ' ' && c < 0x7f; });
        if (operation.key.empty() || operation.key.size() > kMaxKeyLength || !valid)
            return fmt::format("a key is 1 to {} signs without blanks", kMaxKeyLength);
        if (std::find(keys.begin(), keys.end(), operation.key) != keys.end())
            return operation.key + " stands there twice";
        keys.push_back(operation.key);
        if (operation.value.size() > kMaxValueBytes)
            return fmt::format("{}: a value is {} bytes at most", operation.key, kMaxValueBytes);
        const Namespace& key_namespace = namespace_of(operation.key);
        if (operation.kind == OperationKind::set && key_namespace.is_valid_value &&
            !key_namespace.is_valid_value(operation.value))
            return fmt::format("{}: {} is wanted", operation.key, key_namespace.value_description);
        if (operation.time_to_live < 0) return operation.key + ": a time that is over";
    }
    return {};
}

// Returns a message about the limit that the change would exceed; empty if there is none. Limits only apply
// to namespaces that the change makes larger.
std::string State::exceeded_limit(const Transaction& change) const {
    std::map<std::string_view, Usage> usage = usage_;
    for (const Operation& operation : change.operations) {
        Usage& namespace_usage = usage[namespace_of(operation.key).prefix];
        if (operation.kind == OperationKind::check) continue;
        if (const Entry* old = find(operation.key))
            --namespace_usage.keys, namespace_usage.bytes -= size_of(operation.key, *old);
        if (operation.kind == OperationKind::set)
            ++namespace_usage.keys, namespace_usage.bytes += operation.key.size() + operation.value.size();
    }
    for (const Operation& operation : change.operations) {
        const Namespace& key_namespace = namespace_of(operation.key);
        const Usage &after = usage[key_namespace.prefix], before = usage_.contains(key_namespace.prefix)
                                                                       ? usage_.at(key_namespace.prefix)
                                                                       : Usage{};
        if (after.keys > key_namespace.max_keys && after.keys > before.keys)
            return fmt::format("{}: {} keys under '{}' at most", operation.key, key_namespace.max_keys,
                               key_namespace.prefix);
        if (after.bytes > key_namespace.max_bytes && after.bytes > before.bytes)
            return fmt::format("{}: {} bytes under '{}' at most", operation.key, key_namespace.max_bytes,
                               key_namespace.prefix);
    }
    return {};
}

void State::set(const std::string& key, std::optional<Entry> entry) {
    Usage& usage = usage_[namespace_of(key).prefix];
    if (const auto old = entries_.find(key); old != entries_.end()) {
        --usage.keys, usage.bytes -= size_of(key, old->second);
        const auto [begin, end] = expiring_.equal_range(old->second.expires_at);
        const auto own = std::find_if(begin, end, [&](const auto& one) { return one.second == key; });
        if (own != end) expiring_.erase(own);
        entries_.erase(old);
    }
    if (!entry) return;
    ++usage.keys, usage.bytes += size_of(key, *entry);
    if (entry->expires_at > 0) expiring_.emplace(entry->expires_at, key);
    entries_[key] = std::move(*entry);
}

void State::record_event(Event event) {
    event_bytes_ += event.key.size() + (event.entry ? event.entry->value.size() : 0);
    events_.push_back(std::move(event));
    // Events of one revision are dropped together, as an update must contain all events of a revision.
    while (!events_.empty() && (events_.size() > kMaxEvents || event_bytes_ > kMaxEventBytes)) {
        compacted_revision_ = events_.front().revision;
        while (!events_.empty() && events_.front().revision == compacted_revision_) {
            const Event& first = events_.front();
            event_bytes_ -= first.key.size() + (first.entry ? first.entry->value.size() : 0);
            events_.pop_front();
        }
    }
}

ApplyResult State::apply(const Transaction& change) {
    const auto reject = [&](std::string reason) { return ApplyResult{false, revision_, std::move(reason)}; };
    if (std::string error = validate(change); !error.empty()) return reject(std::move(error));
    bool changes = false;
    for (const Operation& operation : change.operations) {
        const Entry* found = find(operation.key);
        const std::uint64_t version = found ? found->version : 0;
        if (operation.expected_version && *operation.expected_version != version)
            return reject(fmt::format("{} has version {}, {} was expected", operation.key, version,
                                      *operation.expected_version));
        changes = changes || operation.kind == OperationKind::set ||
                  (operation.kind == OperationKind::remove && found);
    }
    if (std::string error = exceeded_limit(change); !error.empty()) return reject(std::move(error));
    if (!changes) return {true, revision_, {}};
    ++revision_;
    for (const Operation& operation : change.operations) {
        if (operation.kind == OperationKind::check ||
            (operation.kind == OperationKind::remove && !find(operation.key)))
            continue;
        std::optional<Entry> entry;
        if (operation.kind == OperationKind::set)
            entry = Entry{revision_, operation.value,
                          operation.time_to_live > 0 ? change.now + operation.time_to_live : 0};
        set(operation.key, entry);
        record_event({revision_, operation.key, std::move(entry)});
    }
    return {true, revision_, {}};
}

ApplyResult State::apply(const Purge& purge) {
    if (purge.purge_group < 0 || purge.object.size() > kMaxKeyLength)
        return {false, revision_, "no such group or object"};
    ++revision_;
    purges_.push_back(purge);
    purges_.back().number = revision_;
    if (purges_.size() > kMaxPurges) last_dropped_purge_ = purges_.front().number, purges_.pop_front();
    record_event({revision_, {}, std::nullopt});  // so that the revision counts in incremental updates
    return {true, revision_, {}};
}

// From the newest on: a purge that is proposed twice is proposed twice within a short time.
bool State::has_purge_of_origin(const Purge& purge) const {
    return std::any_of(purges_.rbegin(), purges_.rend(), [&](const Purge& known) {
        return known.origin_time == purge.origin_time && known.object == purge.object &&
               known.purge_group == purge.purge_group;
    });
}

std::optional<Micros> State::next_expiry() const {
    std::optional<Micros> at;
    if (!expiring_.empty()) at = expiring_.begin()->first;
    if (!purges_.empty() && (!at || purges_.front().at + kPurgeRetention < *at))
        at = purges_.front().at + kPurgeRetention;
    return at;
}

ApplyResult State::apply(const ExpireKeys& command) {
    if (!next_expiry() || *next_expiry() > command.now) return {false, revision_, "nothing is over"};
    ++revision_;
    while (!expiring_.empty() && expiring_.begin()->first <= command.now) {
        const std::string key = expiring_.begin()->second;
        set(key, std::nullopt);
        record_event({revision_, key, std::nullopt});
    }
    while (!purges_.empty() && purges_.front().at + kPurgeRetention <= command.now)
        last_dropped_purge_ = purges_.front().number, purges_.pop_front();
    record_event({revision_, {}, std::nullopt});
    return {true, revision_, {}};
}

std::optional<std::vector<Event>> State::events_since(std::uint64_t revision) const {
    if (revision < compacted_revision_ || revision > revision_) return std::nullopt;
    const auto first =
        std::lower_bound(events_.begin(), events_.end(), revision + 1,
                         [](const Event& event, std::uint64_t at) { return event.revision < at; });
    return std::vector<Event>(first, events_.end());
}

bool State::operator==(const State& other) const {
    return revision_ == other.revision_ && entries_ == other.entries_ && purges_ == other.purges_ &&
           last_dropped_purge_ == other.last_dropped_purge_;
}

}  // namespace sumackeel::kv_store
