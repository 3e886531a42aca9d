#include "config/operator.h"

#include <json/json.h>

#include <algorithm>
#include <filesystem>

#include "config/keys.h"
#include "config/read.h"

namespace sumackeel::config {

using Json::Value;
using routing::Micros;

namespace {

// A JWK set whose members each carry kid, alg and, as "purpose", what they are for.
std::vector<KeyFile> read_keys(const std::string& path) {
    const Value root = parse(read_file(path), path);
    if (!root.isObject() || !root["keys"].isArray()) bad(path, "keys is missing or not a list");
    std::vector<KeyFile> keys;
    for (const Value& item : root["keys"]) {
        KeyFile key;
        key.kid = need<std::string>(item, "kid", path);
        key.alg = need<std::string>(item, "alg", path);
        key.purpose = take_word<Purpose>(
            item, "purpose", "", path,
            {{"link", Purpose::link}, {"student", Purpose::student}, {"subject", Purpose::subject}});
        take(item, "not_before", key.not_before, path);
        take(item, "not_after", key.not_after, path);
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        key.jwk = Json::writeString(builder, item);
        keys.push_back(std::move(key));
    }
    return keys;
}

// A path as written in the file, taken from the file's own folder.
std::string path_of(const Settings& file, const char* section, const char* name,
                    const std::filesystem::path& folder) {
    return (folder / file.text(section, name)).string();
}

Micros seconds(const Settings& file, const char* section, const char* name) {
    return static_cast<Micros>(file.number(section, name) * 1e6);
}

SignedUrlServer read_signed_front(const Settings& file, const std::filesystem::path& folder) {
    const char* at = "signed_front";
    SignedUrlServer front;
    front.listen = file.text(at, "listen");
    front.host = file.text(at, "host");
    front.audience = file.text(at, "audience");
    front.scheme = file.text(at, "scheme");
    front.link_issuers = file.list(at, "link_issuers");
    front.token_issuers = file.list(at, "token_issuers");
    front.leeway_s = file.number(at, "leeway_s");
    front.connections = static_cast<int>(file.whole(at, "connections"));
    front.retry_after_s = static_cast<int>(file.whole(at, "retry_after_s"));
    front.one_time = file.text(at, "one_time");
    front.keys = read_keys(path_of(file, at, "keys", folder));
    return front;
}

Store read_store(const Settings& file, const std::filesystem::path& folder) {
    const char* at = "store";
    Store store;
    store.listen = file.text(at, "listen");
    store.name = file.text(at, "name"), store.primary = file.text(at, "primary");
    if (!file.text(at, "folder").empty()) store.folder = path_of(file, at, "folder", folder);
    return store;
}

Discovery read_discovery(const Settings& file) {
    const char* at = "discovery";
    Discovery discovery;
    discovery.sources = file.list(at, "sources");
    discovery.follow = static_cast<int>(file.whole(at, "follow"));
    discovery.first_wait = file.whole(at, "first_wait_ms") * 1000;
    discovery.longest_wait = file.whole(at, "longest_wait_ms") * 1000;
    discovery.jitter = file.number(at, "jitter");
    discovery.empty_list_delay = seconds(file, at, "doubt_empty_s");
    if (discovery.longest_wait < discovery.first_wait)
        bad(file.where(at, "longest_wait_ms"), "shorter than first_wait_ms");
    return discovery;
}

EndpointSnapshot read_saved_list(const Settings& file, const std::filesystem::path& folder) {
    const char* at = "saved_list";
    EndpointSnapshot list;
    list.folder = path_of(file, at, "folder", folder);
    list.site = file.text(at, "site");
    list.full_until = seconds(file, at, "full_until_s");
    list.unverified_until = seconds(file, at, "careful_until_s");
    list.answered_within = seconds(file, at, "answered_within_s");
    list.save_every = file.whole(at, "save_every_ms") * 1000;
    list.refresh = seconds(file, at, "refresh_s");
    list.origin_per_s = file.number(at, "origin_per_s");
    if (list.unverified_until < list.full_until)
        bad(file.where(at, "careful_until_s"), "shorter than full_until_s");
    return list;
}

Cluster read_peers(const Settings& file, const std::filesystem::path& folder) {
    const char* at = "peers";
    Cluster peers;
    peers.group = file.text(at, "group");
    peers.name = file.text(at, "name");
    peers.listen = file.text(at, "listen");
    peers.advertise = file.text(at, "advertise");
    peers.key_file = path_of(file, at, "key", folder);
    peers.folder = path_of(file, at, "folder", folder);
    peers.seeds = file.list(at, "seeds");
    peers.reach = file.named(at, "reach");
    peers.version = file.text(at, "version");
    peers.period = file.whole(at, "period_ms") * 1000;
    peers.probe_timeout = file.whole(at, "probe_timeout_ms") * 1000;
    peers.indirect = static_cast<int>(file.whole(at, "indirect"));
    peers.votes = static_cast<int>(file.whole(at, "votes"));
    peers.exchange_every = seconds(file, at, "exchange_s");
    peers.forget = seconds(file, at, "forget_s");
    peers.settle = seconds(file, at, "settle_s");
    peers.bytes_per_s = file.number(at, "bytes_per_s");
    if (2 * peers.probe_timeout > peers.period)
        bad(file.where(at, "probe_timeout_ms"), "over half of period_ms: no time is left to ask others");
    // Names go over the wire and into lines of the log.
    const auto sound = [](const std::string& text, std::size_t most) {
        return text.size() <= most &&
               std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
    };
    if (!sound(peers.group, 40)) bad(file.where(at, "group"), "over 40 characters, or blanks in it");
    if (!sound(peers.version, 64)) bad(file.where(at, "version"), "over 64 characters, or blanks in it");
    if (!sound(peers.name, 64)) bad(file.where(at, "name"), "over 64 characters, or blanks in it");
    return peers;
}

Consensus read_agreed(const Settings& file, const std::filesystem::path& folder) {
    const char* at = "agreed";
    Consensus agreed;
    agreed.folder = path_of(file, at, "folder", folder);
    agreed.voters = file.named(at, "voters");
    agreed.election_ms = static_cast<unsigned>(file.whole(at, "election_ms"));
    agreed.removed_counts_for = seconds(file, at, "gone_counts_s");
    const auto rules = [&](const std::string& of) {
        DisruptionBudget all;
        all.max_unavailable_in_zone = static_cast<int>(file.whole(at, of + "_school_out"));
        all.max_unavailable = static_cast<int>(file.whole(at, of + "_fleet_out"));
        all.max_zone_weight_share = file.number(at, of + "_school_share");
        all.min_interval_in_zone = static_cast<Micros>(file.number(at, of + "_between_s") * 1e6);
        return all;
    };
    agreed.proxies = rules("proxies");
    agreed.pop_caches = rules("pop_caches");
    return agreed;
}

Recovery read_recovery(const Settings& file, const std::filesystem::path& folder) {
    const char* at = "recovery";
    Recovery all;
    if (file.text(at, "folder").empty() && !file.has("saved_list"))
        bad(file.where(at, "folder"), "missing, and there is no [saved_list] whose folder could serve");
    all.folder = path_of(file, file.text(at, "folder").empty() ? "saved_list" : at, "folder", folder);
    all.ask = seconds(file, at, "ask_s");
    all.settle = seconds(file, at, "settle_s");
    all.prime = seconds(file, at, "prime_s");
    all.pause = seconds(file, at, "pause_s");
    all.fills_per_s = file.number(at, "fills_per_s");
    all.region_fills_per_s = file.number(at, "hub_fills_per_s");
    return all;
}

Expectations read_expectations(const Settings& file, const std::filesystem::path& folder) {
    const char* at = "expectations";
    Expectations all;
    all.file = path_of(file, at, "file", folder);
    const std::string gate = file.text(at, "gate");
    all.gate = gate == "start"    ? Expectations::Gate::start
               : gate == "reload" ? Expectations::Gate::reload
                                  : Expectations::Gate::warn;
    all.budget = seconds(file, at, "budget_s");
    return all;
}

// A TOML document can't begin with a brace, and a JSON one that is of use here begins with nothing else.
bool is_json(const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    return first != std::string::npos && text[first] == '{';
}

}  // namespace

Operator load_operator(const std::string& path) {
    const std::string text = read_file(path);
    const std::filesystem::path folder = std::filesystem::path(path).parent_path();
    Operator result;
    result.old_form = is_json(text);
    const Settings file = check(result.old_form ? read_json(text, path) : read_toml(text, path), path);
    result.redis = file.text("", "redis");
#ifdef SUMACKEEL_TEST_KEYS
    result.test_clock_offset_s = file.number("", "test_clock_offset_s");
#endif
    if (file.has("store")) result.store = read_store(file, folder);
    if (file.has("peers")) result.cluster = read_peers(file, folder);
    if (file.has("agreed")) result.consensus = read_agreed(file, folder);
    if (result.consensus && !result.cluster)
        bad(file.where("agreed", "voters"), "given, and [peers] is missing");
    if (result.store && !result.consensus)
        bad(file.where("store", "listen"),
            "given, and [agreed] is missing: the store lies in the agreed log since 0.3");
    if (file.has("recovery")) result.recovery = read_recovery(file, folder);
    if (result.recovery && !result.cluster)
        bad(file.where("recovery", "folder"), "given, and [peers] is missing");
    if (file.has("signed_front")) result.signed_url_server = read_signed_front(file, folder);
    if (file.has("discovery")) result.discovery = read_discovery(file);
    if (file.has("saved_list")) result.endpoint_snapshot = read_saved_list(file, folder);
    if (file.has("expectations")) result.expectations = read_expectations(file, folder);
    if (result.signed_url_server && result.signed_url_server->one_time == "redis" && result.redis.empty())
        bad(file.where("signed_front", "one_time"), "is redis, and redis is missing");
    return result;
}

}  // namespace sumackeel::config
