#include "wire.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace nettlethread::wire {

using nlohmann::json;

namespace {

constexpr std::uint64_t kLargestToken = std::uint64_t{1} << 63;

[[noreturn]] void bad(const std::string& where, const std::string& what) {
    throw WireError(where + ": " + what);
}

// A view of one message by position; a missing or null place is absent.
class Fields {
  public:
    Fields(const json& message, std::string where) : message_(message), where_(std::move(where)) {}

    const json* at(std::size_t place) const {
        if (place >= message_.size() || message_[place].is_null()) return nullptr;
        return &message_[place];
    }
    const json& need(std::size_t place) const {
        const json* value = at(place);
        if (!value) bad(where_, "value " + std::to_string(place) + " is missing");
        return *value;
    }
    std::string text(std::size_t place) const {
        const json& value = need(place);
        if (!value.is_string()) bad(where_, "value " + std::to_string(place) + " is not text");
        return value.get<std::string>();
    }
    std::int64_t integer(std::size_t place) const { return as_integer(need(place), place); }
    std::int64_t integer_or(std::size_t place, std::int64_t otherwise) const {
        const json* value = at(place);
        return value ? as_integer(*value, place) : otherwise;
    }
    double number_or(std::size_t place, double otherwise) const {
        const json* value = at(place);
        if (!value) return otherwise;
        if (!value->is_number()) bad(where_, "value " + std::to_string(place) + " is not a number");
        return value->get<double>();
    }
    bool flag_or(std::size_t place, bool otherwise) const {
        const json* value = at(place);
        if (!value) return otherwise;
        if (!value->is_boolean()) bad(where_, "value " + std::to_string(place) + " is not true or false");
        return value->get<bool>();
    }
    // Absent and the number 0 both stand for "no text".
    std::string text_or_none(std::size_t place) const {
        const json* value = at(place);
        if (!value || (value->is_number() && value->get<double>() == 0)) return {};
        return text(place);
    }
    std::uint64_t token(std::size_t place) const {
        const json& value = need(place);
        if (!value.is_number_integer() || (!value.is_number_unsigned() && value.get<std::int64_t>() < 0))
            bad(where_, "value " + std::to_string(place) + " is not a token");
        const auto token = value.get<std::uint64_t>();
        if (token > kLargestToken) bad(where_, "value " + std::to_string(place) + " is over 2^63");
        return token;
    }
    const std::string& where() const { return where_; }

  private:
    std::int64_t as_integer(const json& value, std::size_t place) const {
        if (!value.is_number_integer())
            bad(where_, "value " + std::to_string(place) + " is not a whole number");
        return value.get<std::int64_t>();
    }
    const json& message_;
    std::string where_;
};

template <typename T>
T word(const std::string& where, const std::string& name,
       std::initializer_list<std::pair<const char*, T>> words) {
    for (const auto& [known, value] : words)
        if (name == known) return value;
    bad(where, "unknown word '" + name + "'");
}

template <typename T>
T get_as(const json& value, const std::string& where) {
    try {
        return value.get<T>();
    } catch (const json::exception&) {
        bad(where, "wrong type");
    }
}

// A setting that may be absent; unknown ones are never looked at.
template <typename T>
void take(const json& object, const char* key, T& into, const std::string& where) {
    if (!object.is_object()) bad(where, "not an object");
    auto found = object.find(key);
    if (found == object.end() || found->is_null()) return;
    into = get_as<T>(*found, where + "." + key);
}

const json& section(const json& object, const char* key) {
    static const json empty = json::object();
    auto found = object.find(key);
    return found == object.end() || found->is_null() ? empty : *found;
}

std::string take_word(const json& object, const char* key, const std::string& otherwise,
                      const std::string& where) {
    std::string value = otherwise;
    take(object, key, value, where);
    return value;
}

int place_of(const std::vector<std::string>& names, const std::string& name) {
    auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

template <typename T>
T nth_or(const std::vector<T>& list, std::size_t n, T otherwise) {
    return n < list.size() ? list[n] : otherwise;
}

void read_classes(const json& params, Start& start) {
    const json& family = section(params, "family_info");
    std::vector<Micros> fresh, grace;
    std::vector<double> stale_worth;
    std::vector<bool> pieces, uncached;
    take(family, "good_for", fresh, "params.family_info");
    take(family, "grace_for", grace, "params.family_info");
    take(family, "class_stale_worth", stale_worth, "params.family_info");
    take(family, "in_pieces", pieces, "params.family_info");
    take(family, "uncached", uncached, "params.family_info");
    auto found = params.find("classes");
    if (found == params.end() || !found->is_array()) bad("params.classes", "missing or not a list");
    for (std::size_t i = 0; i < found->size(); ++i) {
        const json& item = (*found)[i];
        const std::string where = "params.classes[" + std::to_string(i) + "]";
        ClassSettings service;
        std::string name;
        take(item, "name", name, where);
        if (name.empty()) bad(where, "no name");
        take(item, "aim", service.aim, where);
        take(item, "aim_stretch", service.aim_stretch, where);
        take(item, "give_up", service.give_up, where);
        take(item, "late_value", service.late_value, where);
        take(item, "points", service.points, where);
        take(item, "window", service.window, where);
        take(item, "stream", service.stream, where);
        service.semantics = word<Semantics>(
            where, take_word(item, "semantics", "retryable", where),
            {{"retryable", Semantics::safe}, {"dedup", Semantics::keyed}, {"fragile", Semantics::unsafe}});
        service.scope = word<Scope>(where, take_word(item, "group", "all", where),
                                    {{"all", Scope::all}, {"zone", Scope::zone}, {"cell", Scope::cell}});
        service.fresh = nth_or<Micros>(fresh, i, 0);
        service.grace = nth_or<Micros>(grace, i, 0);
        service.stale_worth = nth_or(stale_worth, i, 1.0);
        service.in_pieces = i < pieces.size() && pieces[i];
        service.uncached = i < uncached.size() && uncached[i];
        start.names.classes.push_back(name);
        start.settings.classes.push_back(service);
    }
}

void read_family(const json& params, Settings& settings) {
    const json& family = section(params, "family_info");
    const std::string where = "params.family_info";
    take(family, "count_by_zone", settings.zone_instances, where);
    take(family, "zone_hub", settings.zone_hub, where);
    take(family, "inlet_kb_per_s", settings.inlet_kb_per_s, where);
    take(family, "upper_kind", settings.parent_kind, where);
    take(family, "origin_kind", settings.origin_kind, where);
    take(family, "pace_kb_per_s", settings.pace_kb_per_s, where);
    take(family, "joins", settings.joins, where);
    take(family, "direct", settings.direct, where);
    settings.neighbours = word<Neighbours>(
        where, take_word(family, "neighbours", "silent", where),
        {{"silent", Neighbours::none}, {"location", Neighbours::own_zone}, {"any", Neighbours::any}});
    settings.notes = word<Notes>(where, take_word(family, "notes_given", "silent", where),
                                 {{"silent", Notes::none}, {"hit", Notes::hits}, {"all", Notes::all}});
    take(family, "obey_after", settings.obey_after, where);
    take(family, "cleared_within", settings.cleared_within, where);
    take(family, "parent_cold_from", settings.parent_cold_from, where);
    take(family, "parent_ramp", settings.parent_ramp, where);
    take(family, "parent_breaks_at", settings.parent_breaks_at, where);
    take(family, "origin_stops_at", settings.origin_stops_at, where);
    take(family, "origin_over_for", settings.origin_over_for, where);
}

void read_limits(const json& params, Settings& settings) {
    const json& contract = section(params, "contract");
    std::string where = "params.contract";
    take(contract, "answer_slack", settings.answer_slack, where);
    take(contract, "ask_within", settings.ask_within, where);
    take(contract, "drain_grace", settings.drain_grace, where);
    take(contract, "cold_share", settings.cold_share, where);
    take(contract, "warm_after", settings.warm_after, where);
    take(contract, "tip_multiple", settings.tip_multiple, where);
    take(contract, "overload_for", settings.overload_for, where);
    const json& limits = section(params, "limits");
    where = "params.limits";
    take(limits, "cancel", settings.may_cancel, where);
    take(limits, "probes", settings.may_probe, where);
    take(limits, "peers", settings.may_tell_peers, where);
    take(limits, "second_copies", settings.second_copies, where);
    take(limits, "retry_after", settings.retry_advice, where);
    take(limits, "max_retry_after", settings.longest_advice, where);
    take(limits, "most_tries", settings.most_tries, where);
    take(limits, "most_held", settings.most_held, where);
    take(limits, "connect_timeout", settings.connect_timeout, where);
    const json& prices = section(params, "prices");
    take(prices, "waste", settings.waste_price, "params.prices");
    take(prices, "late_fail", settings.late_fail_price, "params.prices");
}

Verdict read_verdict(const Fields& fields, std::size_t place) {
    return word<Verdict>(fields.where(), fields.text(place),
                         {{"completed", Verdict::served},
                          {"errored", Verdict::error},
                          {"saturated", Verdict::full},
                          {"overdue", Verdict::timed_out},
                          {"refused_conn", Verdict::not_connected},
                          {"severed", Verdict::broken_off},
                          {"recalled", Verdict::called_off},
                          {"superseded", Verdict::never_sent},
                          {"lookup_miss", Verdict::missing}});
}

// Values that are not known or not sound numbers are skipped.
LoadReport read_load(const Fields& fields, std::size_t place) {
    LoadReport load;
    const json* value = fields.at(place);
    if (!value) return load;
    if (!value->is_object()) bad(fields.where(), "load report is not an object");
    const std::pair<const char*, double*> known[] = {
        {"outstanding", &load.held}, {"x1", &load.link}};
    for (const auto& [name, into] : known) {
        auto found = value->find(name);
        if (found == value->end() || !found->is_number()) continue;
        const double number = found->get<double>();
        if (std::isfinite(number) && number >= 0) *into = number;
    }
    return load;
}

CacheEntry read_entry(const json& item, const Names& names) {
    if (!item.is_array()) bad("view entry", "not an array");
    const Fields fields(item, "view entry");
    CacheEntry entry;
    entry.weight = fields.number_or(0, 1);
    entry.cache = fields.text(1);
    entry.state = word<CacheState>(fields.where(), fields.text(2),
                                   {{"in_service", CacheState::ready},
                                    {"terminating", CacheState::draining},
                                    {"terminated", CacheState::gone}});
    entry.zone = place_of(names.zones, fields.text_or_none(3));
    entry.since = fields.integer_or(4, 0);
    entry.kind = place_of(names.kinds, fields.text_or_none(5));
    entry.cell = fields.integer_or(6, -1);
    return entry;
}

Event read_view(const Fields& fields, const Names& names) {
    ListNews news;
    news.version = fields.integer_or(1, 0);
    news.kind = word<ListKind>(fields.where(), fields.text(2),
                               {{"INCREMENTAL", ListKind::changes},
                                {"FULL", ListKind::full},
                                {"SAVED", ListKind::saved},
                                {"FAILED", ListKind::failed}});
    if (const json* entries = fields.at(3)) {
        if (!entries->is_array()) bad(fields.where(), "entries are not an array");
        for (const json& item : *entries) news.entries.push_back(read_entry(item, names));
    }
    return news;
}

Event read_call(const Fields& fields, const Names& names) {
    Arrival arrival;
    arrival.id = fields.text(1);
    arrival.service = place_of(names.classes, fields.text(2));
    if (arrival.service < 0) bad(fields.where(), "unknown class '" + fields.text(2) + "'");
    arrival.tenant = place_of(names.tenants, fields.text_or_none(3));
    arrival.object = fields.text_or_none(4);
    arrival.grace = fields.integer(5);
    arrival.size_kb = fields.number_or(6, 0);
    arrival.group = static_cast<int>(fields.integer_or(7, 0));
    arrival.part = static_cast<int>(fields.integer_or(8, 0));
    const std::int64_t bits = fields.integer_or(9, 0);
    arrival.client_repeat = (bits & 2) != 0;
    arrival.write = (bits & 4) != 0;
    return arrival;
}

Note read_note(std::int64_t number) {
    const auto last = static_cast<std::int64_t>(Note::origin_failed);
    return number < 0 || number > last ? Note::none : static_cast<Note>(number);
}

Event read_completed(const Fields& fields) {
    Outcome outcome;
    outcome.id = fields.text(1);
    outcome.attempt = static_cast<int>(fields.integer_or(2, 0));
    outcome.cache = fields.text(3);
    outcome.verdict = read_verdict(fields, 4);
    outcome.took = fields.integer_or(5, 0);
    outcome.ended = fields.flag_or(6, false);
    outcome.note = read_note(fields.integer_or(7, 0));
    outcome.first_byte = fields.integer_or(8, 0);
    outcome.load = read_load(fields, 9);
    return outcome;
}

std::string bytes_from_hex(const Fields& fields, std::size_t place) {
    const std::string hex = fields.text_or_none(place);
    std::string bytes;
    if (hex.size() % 2 != 0 || hex.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
        bad(fields.where(), "not hex");
    for (std::size_t i = 0; i < hex.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    return bytes;
}

std::string hex_from_bytes(const std::string& bytes) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        hex += digits[value >> 4];
        hex += digits[value & 15];
    }
    return hex;
}

// One overload an action.
json write(const LookUp& a) {
    return {"route", a.id, a.cache, a.timeout};
}
json write(const Serve& a) {
    const int switches =
        (a.join ? 1 : 0) + (a.source_holds ? 2 : 0) + (a.parent_skips ? 4 : 0) + (a.renew ? 8 : 0);
    return {"serve_via", a.id, a.timeout, a.cache, a.age, switches, a.source, a.rank};
}
json write(const SetTimer& a) {
    return {"remind", a.at, a.token};
}
json write(const Refuse& a) {
    return {"shed", a.id, a.come_back};
}
json write(const Fail& a) {
    return json::array({"lose", a.id});
}
json write(const Cancel& a) {
    return {"revoke", a.id, a.attempt};
}
json write(const TellPeer& a) {
    return {"publish", a.to < 0 ? json("*") : json(a.to), hex_from_bytes(a.bytes)};
}
json write(const WatchList& a) {
    return json::array({"keep_informed", a.on});
}
json write(const FetchList&) {
    return json::array({"refresh"});
}
json write(const Probe& a) {
    return json::array({"touch", a.cache});
}
json write(const CloseIdle& a) {
    return json::array({"close", a.cache});
}
json write(const Log& a) {
    return json::array({"record", a.text});
}

}  // namespace

std::string message_name(const json& message) {
    if (!message.is_array() || message.empty() || !message[0].is_string())
        bad("message", "not an array that begins with a name");
    return message[0].get<std::string>();
}

Start read_start(const json& message) {
    const Fields fields(message, "new_instance");
    Start start;
    start.seed = get_as<std::uint64_t>(fields.need(1), "new_instance.nonce64");
    const json& params = fields.need(2);
    if (!params.is_object()) bad("params", "not an object");
    Settings& settings = start.settings;
    take(params, "zones", start.names.zones, "params");
    take(params, "shapes", start.names.kinds, "params");
    for (const json& tenant : section(params, "projects"))
        start.names.tenants.push_back(take_word(tenant, "name", "", "params.projects"));
    read_classes(params, start);
    take(params, "instances", settings.instances, "params");
    take(params, "me", settings.me, "params");
    take(params, "tick", settings.tick, "params");
    settings.my_zone = place_of(start.names.zones, take_word(params, "my_zone", "", "params"));
    settings.ask_for_list = word<bool>("params.discovery", take_word(params, "discovery", "pushed", "params"),
                                       {{"pushed", false}, {"on_request", true}});
    settings.weights = word<Weights>("params.weights", take_word(params, "weights", "silent", "params"),
                                     {{"silent", Weights::none},
                                      {"nominal", Weights::nominal},
                                      {"rough", Weights::rough},
                                      {"live", Weights::live}});
    settings.reports = word<Reports>(
        "params.report.via", take_word(section(params, "report"), "via", "silent", "params.report"),
        {{"silent", Reports::none}, {"piggyback", Reports::with_answers}, {"pull", Reports::on_probe}});
    read_family(params, settings);
    read_limits(params, settings);
    return start;
}

Event read_event(const json& message, const Names& names) {
    const std::string name = message_name(message);
    const Fields fields(message, name);
    if (name == "call") return read_call(fields, names);
    if (name == "completed") return read_completed(fields);
    if (name == "wake") return TimerDue{fields.token(1)};
    if (name == "view") return read_view(fields, names);
    if (name == "cancelled_by_client") return ClientLeft{fields.text(1)};
    if (name == "flowing")
        return StreamStarted{fields.text(1), fields.text(2), static_cast<int>(fields.integer_or(3, 0)),
                             fields.integer_or(4, 0)};
    if (name == "recalled")
        return Purge{static_cast<int>(fields.integer_or(1, 0)), fields.integer_or(2, 0),
                     fields.text_or_none(3)};
    if (name == "check_result")
        return ProbeAnswer{fields.text(1), read_verdict(fields, 2), fields.integer_or(3, 0),
                           read_load(fields, 4)};
    if (name == "datagram") return PeerNews{static_cast<int>(fields.integer(1)), bytes_from_hex(fields, 2)};
    bad(name, "unknown event");
}

json write_action(const Action& action) {
    return std::visit([](const auto& a) { return write(a); }, action);
}

}  // namespace nettlethread::wire
