// What the platform tells an edge proxy, read once into the values that the program uses.
#pragma once

#include <json/forwards.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/router.h"

namespace sumackeel::config {

class ConfigError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// A file that could not be read for want of descriptors or memory: trying again may help.
class TransientError : public ConfigError {
  public:
    TransientError(const std::string& line, int error) : ConfigError(line), error_(error) {}
    int error() const { return error_; }

  private:
    int error_;
};

// The settings of an instance with the names that go with their numbers.
struct Site {
    routing::Settings settings;
    std::vector<std::string> classes, zones, kinds, tenants;
    double handshake_price = 0;  // of the result, for one new connection with each request
    int streams_per_conn = 100;
    routing::Micros keepalive = 0;  // idle connections are closed after this
};

struct LocatedEndpoint {  // a member of the fleet and where it listens
    routing::Endpoint endpoint;
    std::string address;
};

// One numbered event of the change log.
struct WatchEvent {
    std::int64_t sequence = 0;
    bool has_endpoints = false, has_purge = false;
    bool is_full_list = false;
    std::int64_t version = 0;
    std::vector<LocatedEndpoint> endpoints;
    int purge_group = 0;
    std::string object;
    base::UnixTime purge_time;      // as the wire tells it
    routing::Micros purged_at = 0;  // the same on the clock of who hears it; set there
};

struct Config {
    std::string name, listen, changelog;
    std::string ops;        // the operators' address; empty: none ($GW_OPS where set)
    int inherited_fd = -1;  // the clients' listener, handed in by the platform ($GW_INHERITED_FD); -1: bind
    std::uint64_t seed = 0;
    int sockets = 1024;
    int memory_mb = 192;
    Site site;
    std::int64_t known_seq = 0;
    std::vector<WatchEvent> known;
};

// All throw ConfigError with one plain line.
std::string read_file(const std::string& path);  // 256 MiB at most; an empty file is none
Json::Value parse(const std::string& text, const std::string& what);
Site parse_site(const Json::Value& params);
Site parse_site(const std::string& params);  // as text
WatchEvent parse_watch_event(const Json::Value& event, const Site& site);
Config parse_config(const std::string& text);
Config load_config(const std::string& path);

}  // namespace sumackeel::config
