// What an operator sets up beside the platform's configuration. Without this file the signed front is off.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"

namespace sumackeel::config {

// What a key may be used for; a key for one purpose is never tried for another.
enum class Purpose { link, student, subject };

struct KeyFile {
    std::string kid, alg, jwk;  // jwk: the key as its JSON text
    Purpose purpose = Purpose::link;
    std::int64_t not_before = 0, not_after = 0;  // Unix seconds; 0: open
};

struct SignedUrlServer {
    std::string listen;
    std::string scheme = "https", host;  // as the links name this service
    std::vector<std::string> link_issuers, token_issuers;
    std::string audience;
    double leeway_s = 5;
    int connections = 128;
    int retry_after_s = 1;  // where the module names no time to come back
    std::string one_time;   // "local", "redis" or empty: none, so one-time links and enrol are refused
    std::vector<KeyFile> keys;
};

// Revoked links, key ids, live settings and purges, in the agreed log.
struct Store {
    std::string listen;  // where `sumackeel store` asks
    std::string folder, name,
        primary;  // of the store of earlier versions, taken over once; empty: there was none
};

// Where the list of cache boxes comes from.
struct Discovery {
    std::vector<std::string> sources;  // addresses, the preferred first; empty: the platform's change log
    int follow = 1;
    routing::Micros first_wait = 100'000, longest_wait = 5'000'000;
    double jitter = 0.5;
    routing::Micros empty_list_delay = 30'000'000;  // 0: an empty list is believed at once
};

// A list of cache boxes kept on disk.
struct EndpointSnapshot {
    std::string folder, site;
    routing::Micros full_until = 5'000'000, unverified_until = 900'000'000, answered_within = 10'000'000;
    routing::Micros save_every = 500'000, refresh = 2'000'000;
    double origin_per_s = 5;  // of all instances together
};

// The other edge proxies of this installation, and how this one talks with them.
struct Cluster {
    std::string group, name;  // name: empty: the platform's
    std::string listen, advertise, key_file, folder;
    std::string version;  // what it says that it runs; empty: the program's
    std::vector<std::string> seeds;
    std::map<std::string, std::string>
        reach;  // by the address a member tells, where this one reaches it instead
    routing::Micros period = 1'000'000, probe_timeout = 400'000, exchange_every = 30'000'000,
                    forget = 3'600'000'000, settle = 60'000'000;
    int indirect = 3, votes = 2;
    double bytes_per_s = 4'000;
};

// Who may be out at once, of one kind.
struct DisruptionBudget {
    int max_unavailable_in_zone = 1, max_unavailable = 4;
    double max_zone_weight_share = 0.5;
    routing::Micros min_interval_in_zone = 0;
};

// The log on which the proxies agree who may leave.
struct Consensus {
    std::string folder;
    std::map<std::string, std::string> voters;  // names of members, and where they reach each other for it
    unsigned election_ms = 1'000;
    routing::Micros removed_counts_for = 600'000'000;
    DisruptionBudget proxies, pop_caches;
};

// The way back from a power loss.
struct Recovery {
    std::string folder;
    routing::Micros ask = 2'000'000, settle = 5'000'000, prime = 60'000'000, pause = 5'000'000;
    double fills_per_s = 200, region_fills_per_s = 1'000;  // of all proxies together
};

// What must hold of where requests go, checked before a configuration is taken up.
struct Expectations {
    enum class Gate { start, reload, warn };  // refuse a start; a reload too; only say it
    std::string file;
    Gate gate = Gate::warn;
    routing::Micros budget = 20'000'000;
};

struct Operator {
    bool old_form = false;           // the file was JSON, which the next version does not read
    std::string redis;               // address; needed for links for one use by "redis"
    double test_clock_offset_s = 0;  // in test builds alone: how far off this process reads its clock
    std::optional<Discovery> discovery;
    std::optional<EndpointSnapshot> endpoint_snapshot;
    std::optional<Expectations> expectations;
    std::optional<Store> store;
    std::optional<Cluster> cluster;
    std::optional<Consensus> consensus;
    std::optional<Recovery> recovery;
    std::optional<SignedUrlServer> signed_url_server;
};

// Keys come from the file that "keys" names, taken from the operator's file's own folder. Throws ConfigError,
// or Complaints with all that is wrong (config/keys.h).
Operator load_operator(const std::string& path);

}  // namespace sumackeel::config
