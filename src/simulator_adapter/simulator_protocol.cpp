#include "simulator_adapter/simulator_protocol.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include "config/config.h"

namespace sumackeel::simulator_adapter {

using nlohmann::json;
using namespace routing;

namespace {

constexpr std::uint64_t kMaxToken = std::uint64_t{1} << 63;

[[noreturn]] void fail(const std::string& where, const std::string& what) {
    throw ProtocolError(where + ": " + what);
}

// Access to the values of one message by index; a missing or null value is absent.
class Fields {
  public:
    Fields(const json& message, std::string where) : message_(message), where_(std::move(where)) {}

    const json* at(std::size_t index) const {
        if (index >= message_.size() || message_[index].is_null()) return nullptr;
        return &message_[index];
    }
    const json& required(std::size_t index) const {
        const json* value = at(index);
        if (!value) fail(where_, "value " + std::to_string(index) + " is missing");
        return *value;
    }
    std::string text(std::size_t index) const {
        const json& value = required(index);
        if (!value.is_string()) fail(where_, "value " + std::to_string(index) + " is not text");
        return value.get<std::string>();
    }
    std::int64_t integer(std::size_t index) const { return as_integer(required(index), index); }
    std::int64_t integer_or(std::size_t index, std::int64_t fallback) const {
        const json* value = at(index);
        return value ? as_integer(*value, index) : fallback;
    }
    double number_or(std::size_t index, double fallback) const {
        const json* value = at(index);
        if (!value) return fallback;
        if (!value->is_number()) fail(where_, "value " + std::to_string(index) + " is not a number");
        return value->get<double>();
    }
    bool flag_or(std::size_t index, bool fallback) const {
        const json* value = at(index);
        if (!value) return fallback;
        if (!value->is_boolean()) fail(where_, "value " + std::to_string(index) + " is not true or false");
        return value->get<bool>();
    }
    // An absent value and the number 0 both mean an empty text.
    std::string text_or_empty(std::size_t index) const {
        const json* value = at(index);
        if (!value || (value->is_number() && value->get<double>() == 0)) return {};
        return text(index);
    }
    std::uint64_t token(std::size_t index) const {
        const json& value = required(index);
        if (!value.is_number_integer() || (!value.is_number_unsigned() && value.get<std::int64_t>() < 0))
            fail(where_, "value " + std::to_string(index) + " is not a token");
        const auto token = value.get<std::uint64_t>();
        if (token > kMaxToken) fail(where_, "value " + std::to_string(index) + " is over 2^63");
        return token;
    }
    const std::string& where() const { return where_; }

  private:
    std::int64_t as_integer(const json& value, std::size_t index) const {
        if (!value.is_number_integer())
            fail(where_, "value " + std::to_string(index) + " is not a whole number");
        return value.get<std::int64_t>();
    }
    const json& message_;
    std::string where_;
};

template <typename T>
T parse_enum(const std::string& where, const std::string& name,
             std::initializer_list<std::pair<const char*, T>> values) {
    for (const auto& [known, value] : values)
        if (name == known) return value;
    fail(where, "unknown value '" + name + "'");
}

template <typename T>
T get_as(const json& value, const std::string& where) {
    try {
        return value.get<T>();
    } catch (const json::exception&) {
        fail(where, "wrong type");
    }
}

// -1: not found.
int index_of(const std::vector<std::string>& names, const std::string& name) {
    auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

AttemptStatus read_attempt_status(const Fields& fields, std::size_t index) {
    return parse_enum<AttemptStatus>(fields.where(), fields.text(index),
                                     {{"completed", AttemptStatus::served},
                                      {"errored", AttemptStatus::error},
                                      {"saturated", AttemptStatus::overloaded},
                                      {"overdue", AttemptStatus::timed_out},
                                      {"refused_conn", AttemptStatus::connect_failed},
                                      {"severed", AttemptStatus::connection_reset},
                                      {"recalled", AttemptStatus::cancelled},
                                      {"superseded", AttemptStatus::not_sent},
                                      {"lookup_miss", AttemptStatus::not_found}});
}

// Unknown values and those that are negative or not finite are skipped.
LoadReport read_load(const Fields& fields, std::size_t index) {
    LoadReport load;
    const json* value = fields.at(index);
    if (!value) return load;
    if (!value->is_object()) fail(fields.where(), "load report is not an object");
    const std::pair<const char*, double*> known[] = {{"outstanding", &load.in_flight},
                                                     {"x1", &load.ingress_utilization}};
    for (const auto& [name, target] : known) {
        auto found = value->find(name);
        if (found == value->end() || !found->is_number()) continue;
        const double number = found->get<double>();
        if (std::isfinite(number) && number >= 0) *target = number;
    }
    return load;
}

Endpoint read_entry(const json& item, const Names& names) {
    if (!item.is_array()) fail("view entry", "not an array");
    const Fields fields(item, "view entry");
    Endpoint entry;
    entry.weight = fields.number_or(0, 1);
    entry.name = fields.text(1);
    entry.state = parse_enum<EndpointState>(fields.where(), fields.text(2),
                                            {{"in_service", EndpointState::ready},
                                             {"terminating", EndpointState::draining},
                                             {"terminated", EndpointState::removed}});
    entry.zone = index_of(names.zones, fields.text_or_empty(3));
    entry.started_at = fields.integer_or(4, 0);
    entry.kind = index_of(names.kinds, fields.text_or_empty(5));
    entry.cell = fields.integer_or(6, -1);
    return entry;
}

Event read_view(const Fields& fields, const Names& names) {
    EndpointUpdate update;
    update.version = fields.integer_or(1, 0);
    update.kind = parse_enum<EndpointUpdateKind>(fields.where(), fields.text(2),
                                                 {{"INCREMENTAL", EndpointUpdateKind::incremental},
                                                  {"FULL", EndpointUpdateKind::full},
                                                  {"SAVED", EndpointUpdateKind::snapshot},
                                                  {"FAILED", EndpointUpdateKind::failed}});
    if (const json* entries = fields.at(3)) {
        if (!entries->is_array()) fail(fields.where(), "entries are not an array");
        for (const json& item : *entries) update.endpoints.push_back(read_entry(item, names));
    }
    return update;
}

Event read_call(const Fields& fields, const Names& names) {
    RequestReceived received;
    received.id = fields.text(1);
    received.class_index = index_of(names.classes, fields.text(2));
    if (received.class_index < 0) fail(fields.where(), "unknown class '" + fields.text(2) + "'");
    received.tenant = index_of(names.tenants, fields.text_or_empty(3));
    received.object = fields.text_or_empty(4);
    received.time_left = fields.integer(5);
    received.size_kb = fields.number_or(6, 0);
    received.purge_group = static_cast<int>(fields.integer_or(7, 0));
    received.part = static_cast<int>(fields.integer_or(8, 0));
    const std::int64_t bits = fields.integer_or(9, 0);
    received.client_retry = (bits & 2) != 0;
    received.write = (bits & 4) != 0;
    return received;
}

CacheStatus read_cache_status(std::int64_t number) {
    const auto last = static_cast<std::int64_t>(CacheStatus::origin_failed);
    return number < 0 || number > last ? CacheStatus::unknown : static_cast<CacheStatus>(number);
}

Event read_completed(const Fields& fields) {
    AttemptFinished finished;
    finished.id = fields.text(1);
    finished.attempt = static_cast<int>(fields.integer_or(2, 0));
    finished.endpoint = fields.text(3);
    finished.status = read_attempt_status(fields, 4);
    finished.elapsed = fields.integer_or(5, 0);
    finished.request_finished = fields.flag_or(6, false);
    finished.cache_status = read_cache_status(fields.integer_or(7, 0));
    finished.time_to_first_byte = fields.integer_or(8, 0);
    finished.load = read_load(fields, 9);
    return finished;
}

std::string bytes_from_hex(const Fields& fields, std::size_t index) {
    const std::string hex = fields.text_or_empty(index);
    std::string bytes;
    if (hex.size() % 2 != 0 || hex.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
        fail(fields.where(), "not hex");
    for (std::size_t i = 0; i < hex.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    return bytes;
}

std::string hex_from_bytes(const std::string& bytes) {
    static constexpr char kHexDigits[] = "0123456789abcdef";
    std::string hex;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        hex += kHexDigits[value >> 4];
        hex += kHexDigits[value & 15];
    }
    return hex;
}

// One overload for each action.
json write(const Lookup& a) {
    return {"route", a.id, a.endpoint, a.timeout};
}
json write(const Forward& a) {
    const int flags = (a.coalesce ? 1 : 0) + (a.source_cached_only ? 2 : 0) +
                      (a.parent_bypasses_cache ? 4 : 0) + (a.revalidate ? 8 : 0);
    return {"serve_via", a.id, a.timeout, a.endpoint, a.max_age, flags, a.source, a.cache_priority};
}
json write(const SetTimer& a) {
    return {"remind", a.at, a.token};
}
json write(const Reject& a) {
    return {"shed", a.id, a.retry_after};
}
json write(const Fail& a) {
    return json::array({"lose", a.id});
}
json write(const Cancel& a) {
    return {"revoke", a.id, a.attempt};
}
json write(const SendGossip& a) {
    return {"publish", a.to < 0 ? json("*") : json(a.to), hex_from_bytes(a.bytes)};
}
json write(const WatchEndpoints& a) {
    return json::array({"keep_informed", a.enabled});
}
json write(const PollEndpoints&) {
    return json::array({"refresh"});
}
json write(const SendHealthCheck& a) {
    return json::array({"touch", a.endpoint});
}
json write(const CloseIdleConnections& a) {
    return json::array({"close", a.endpoint});
}
json write(const LogMessage& a) {
    return json::array({"record", a.text});
}

}  // namespace

std::string message_name(const json& message) {
    if (!message.is_array() || message.empty() || !message[0].is_string())
        fail("message", "not an array that begins with a name");
    return message[0].get<std::string>();
}

Start read_start(const json& message) {
    const Fields fields(message, "new_instance");
    Start start;
    start.seed = get_as<std::uint64_t>(fields.required(1), "new_instance.nonce64");
    try {
        config::Site site = config::parse_site(fields.required(2).dump());
        start.settings = std::move(site.settings);
        start.names = {std::move(site.classes), std::move(site.zones), std::move(site.kinds),
                       std::move(site.tenants)};
    } catch (const config::ConfigError& error) {
        throw ProtocolError(error.what());
    }
    return start;
}

Event read_event(const json& message, const Names& names) {
    const std::string name = message_name(message);
    const Fields fields(message, name);
    if (name == "call") return read_call(fields, names);
    if (name == "completed") return read_completed(fields);
    if (name == "wake") return TimerExpired{fields.token(1)};
    if (name == "view") return read_view(fields, names);
    if (name == "cancelled_by_client") return ClientCancelled{fields.text(1)};
    if (name == "flowing")
        return ResponseStarted{fields.text(1), fields.text(2), static_cast<int>(fields.integer_or(3, 0)),
                               fields.integer_or(4, 0)};
    if (name == "recalled")
        return Purge{static_cast<int>(fields.integer_or(1, 0)), fields.integer_or(2, 0),
                     fields.text_or_empty(3)};
    if (name == "check_result")
        return HealthCheckResult{fields.text(1), read_attempt_status(fields, 2), fields.integer_or(3, 0),
                                 read_load(fields, 4)};
    if (name == "datagram")
        return GossipReceived{static_cast<int>(fields.integer(1)), bytes_from_hex(fields, 2)};
    fail(name, "unknown event");
}

json write_action(const Action& action) {
    return std::visit([](const auto& a) { return write(a); }, action);
}

}  // namespace sumackeel::simulator_adapter
