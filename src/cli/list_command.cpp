#include "cli/list_command.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "base/clock.h"
#include "endpoint_snapshot/snapshot_directory.h"
#include "endpoints/endpoint_view.h"

namespace sumackeel::cli {

using base::kSecond;
using base::Micros;
using endpoints::DecodedSnapshot;
using endpoints::NameTables;
using endpoints::Snapshot;
using endpoints::StalenessPolicy;
using endpoints::Trust;
using routing::EndpointState;

namespace {

struct OpenedSnapshot {
    std::string file;
    NameTables names;
    DecodedSnapshot read;
    std::size_t bytes = 0;
};

OpenedSnapshot open(const std::string& path) {
    OpenedSnapshot opened;
    opened.file = endpoint_snapshot::newest_snapshot_path(path);
    std::string bytes;
    if (auto fault = endpoint_snapshot::read_file(opened.file, bytes)) {
        opened.read.error = std::move(fault);
        return opened;
    }
    opened.bytes = bytes.size();
    opened.read = endpoints::decode_all(bytes, opened.names);
    return opened;
}

const char* name_of(EndpointState state) {
    return state == EndpointState::ready ? "ready" : state == EndpointState::draining ? "draining" : "gone";
}

std::string name_at(const std::vector<std::string>& names, int place) {
    return place >= 0 && place < static_cast<int>(names.size()) ? names[place] : "-";
}

std::string format_duration(Micros time) {
    if (time < 0) return "never";
    const double s = static_cast<double>(time) / kSecond;
    if (s < 120) return fmt::format("{:.1f} s", s);
    if (s < 7200) return fmt::format("{:.1f} min", s / 60);
    return s < 172'800 ? fmt::format("{:.1f} h", s / 3600) : fmt::format("{:.1f} d", s / 86'400);
}

// Computes which endpoints a proxy would use if it started with this list at a given age.
class StalenessPreview {
  public:
    StalenessPreview(const ListFlags& flags, const OpenedSnapshot& opened) : list_(opened.read.snapshot) {
        if (flags.settings)
            options_.staleness = {.full_until = flags.settings->full_until,
                                  .unverified_until = flags.settings->unverified_until,
                                  .answered_within = flags.settings->answered_within};
        // Without the platform's settings the origin is recognised by its kind's name only.
        const std::string origin = flags.site && flags.site->settings.origin_kind >= 0
                                       ? name_at(flags.site->kinds, flags.site->settings.origin_kind)
                                       : "origin";
        const auto& kinds = opened.names.kinds;
        const auto found = std::find(kinds.begin(), kinds.end(), origin);
        options_.origin_kind = found == kinds.end() ? -1 : static_cast<int>(found - kinds.begin());
    }

    // Treats the list as confirmed up to the time it was taken.
    endpoints::EndpointView view_at_age(Micros age) const {
        Snapshot list = list_;
        const Micros before = std::max<Micros>(0, list.confirmed_age);
        for (endpoints::KnownEndpoint& member : list.endpoints)
            if (member.last_response_at >= 0)
                member.last_response_at = std::max<Micros>(0, member.last_response_at - before);
        if (list.confirmed_age >= 0) list.confirmed_age = 0;
        endpoints::EndpointView view(options_);
        view.load(list, list_.taken_at + age, at(age));
        return view;
    }
    Micros at(Micros age) const { return list_.taken_at.micros + age; }
    const StalenessPolicy& staleness() const { return options_.staleness; }

  private:
    const Snapshot& list_;
    endpoints::ViewOptions options_;
};

struct Row {
    std::string name, address, zone, kind, state, use, answered;
    std::int64_t seq;
    double weight;
};

std::vector<Row> make_rows(const OpenedSnapshot& opened, const StalenessPreview& preview, Micros age) {
    const endpoints::EndpointView view = preview.view_at_age(age);
    const Micros now = preview.at(age);
    std::vector<Row> rows;
    for (const endpoints::KnownEndpoint& member : opened.read.snapshot.endpoints) {
        const auto& entry = member.record->located.endpoint;
        rows.push_back({entry.name, member.record->located.address, name_at(opened.names.zones, entry.zone),
                        name_at(opened.names.kinds, entry.kind), name_of(entry.state),
                        endpoints::name_of(view.trust_of(entry.name, now)),
                        format_duration(member.last_response_at), member.record->sequence, entry.weight});
    }
    return rows;
}

// The ages at which trust changes, with the endpoint counts per trust level from each age on.
std::vector<std::pair<Micros, std::array<std::size_t, 3>>> counts_by_age(const StalenessPreview& preview) {
    std::vector<std::pair<Micros, std::array<std::size_t, 3>>> all;
    for (const Micros age :
         {Micros{0}, preview.staleness().full_until, preview.staleness().unverified_until}) {
        const endpoints::EndpointView view = preview.view_at_age(age);
        const Micros now = preview.at(age);
        all.push_back({age,
                       {view.count(Trust::full, now), view.count(Trust::unverified, now),
                        view.count(Trust::none, now)}});
    }
    return all;
}

int print_read_error(const OpenedSnapshot& opened) {
    fmt::print(stderr, "sumackeel: {}: {}: {}\n", opened.file, endpoints::name_of(opened.read.error->code),
               opened.read.error->text);
    return 1;
}

// NOLINTNEXTLINE(readability-function-size): not split yet
int show(const ListFlags& flags, const std::string& path) {
    const OpenedSnapshot opened = open(path);
    if (opened.read.error) return print_read_error(opened);
    const Snapshot& list = opened.read.snapshot;
    const StalenessPreview preview(flags, opened);
    const Micros age = endpoints::age_of(list, base::Clock().unix_now());
    const auto rows = make_rows(opened, preview, std::max<Micros>(0, age));
    if (flags.json) {
        Json::Value root;
        root["file"] = opened.file;
        root["site"] = list.site;
        root["taken_at_us"] = Json::Int64{list.taken_at.micros};
        root["age_us"] = Json::Int64{age};
        root["last_seq"] = Json::Int64{list.last_sequence};
        root["whole_at"] = Json::Int64{list.full_list_sequence};
        root["members"] = Json::arrayValue;
        for (const Row& row : rows) {
            Json::Value one;
            one["name"] = row.name, one["address"] = row.address, one["zone"] = row.zone,
            one["kind"] = row.kind;
            one["state"] = row.state, one["use"] = row.use, one["seq"] = Json::Int64{row.seq};
            one["weight"] = row.weight;
            root["members"].append(one);
        }
        root["purges"] = Json::arrayValue;
        for (const endpoints::Purge& purge : list.purges) {
            Json::Value one;
            if (purge.object.empty())
                one["group"] = purge.purge_group;
            else
                one["object"] = purge.object;
            one["time_us"] = Json::Int64{purge.at};
            root["purges"].append(one);
        }
        root["by_age"] = Json::arrayValue;
        for (const auto& [from, counts] : counts_by_age(preview)) {
            Json::Value one;
            one["from_us"] = Json::Int64{from};
            one["full"] = Json::UInt64{counts[0]}, one["careful"] = Json::UInt64{counts[1]};
            one["none"] = Json::UInt64{counts[2]};
            root["by_age"].append(one);
        }
        Json::StreamWriterBuilder builder;
        fmt::print("{}\n", Json::writeString(builder, root));
        return 0;
    }
    fmt::print("{}: {} bytes, site {}, {} members, {} purges, change log up to {}, whole list at {}\n",
               opened.file, opened.bytes, list.site, list.endpoints.size(), list.purges.size(),
               list.last_sequence, list.full_list_sequence);
    fmt::print("last sure {} ago\n\n", format_duration(age));
    std::size_t name_width = 4;
    for (const Row& row : rows) name_width = std::max(name_width, row.name.size());
    fmt::print("{:{}}  {:21}  {:12}  {:10}  {:8}  {:>8}  {:>12}  use now\n", "name", name_width, "address",
               "zone", "kind", "state", "seq", "answered ago");
    for (const Row& row : rows)
        fmt::print("{:{}}  {:21}  {:12}  {:10}  {:8}  {:>8}  {:>12}  {}\n", row.name, name_width, row.address,
                   row.zone, row.kind, row.state, row.seq, row.answered, row.use);
    fmt::print("\nused at a start, by the list's age then:\n");
    for (const auto& [from, counts] : counts_by_age(preview))
        fmt::print("  from {:>9}: {} in full, {} with care, {} not\n", format_duration(from), counts[0],
                   counts[1], counts[2]);
    return 0;
}

int verify(const ListFlags& flags, const std::string& path) {
    OpenedSnapshot opened = open(path);
    if (!opened.read.error && flags.settings)
        opened.read.error =
            endpoints::validate(opened.read.snapshot, flags.settings->site, base::Clock().unix_now());
    if (opened.read.error) return print_read_error(opened);
    fmt::print("{}: sound, {} members, last sure {} ago\n", opened.file,
               opened.read.snapshot.endpoints.size(),
               format_duration(endpoints::age_of(opened.read.snapshot, base::Clock().unix_now())));
    return 0;
}

int diff(const std::string& before, const std::string& after) {
    const OpenedSnapshot old = open(before), fresh = open(after);
    if (old.read.error) return print_read_error(old);
    if (fresh.read.error) return print_read_error(fresh);
    const auto described = [](const OpenedSnapshot& opened) {
        std::map<std::string, std::string> all;
        for (const endpoints::KnownEndpoint& member : opened.read.snapshot.endpoints) {
            const auto& placed = member.record->located;
            all[placed.endpoint.name] =
                fmt::format("{} at {} in {} as {}, weight {}", name_of(placed.endpoint.state), placed.address,
                            name_at(opened.names.zones, placed.endpoint.zone),
                            name_at(opened.names.kinds, placed.endpoint.kind), placed.endpoint.weight);
        }
        return all;
    };
    const auto one = described(old), other = described(fresh);
    std::set<std::string> names;
    for (const auto& [name, text] : one) names.insert(name);
    for (const auto& [name, text] : other) names.insert(name);
    bool differ = false;
    for (const std::string& name : names) {
        const auto was = one.find(name), is = other.find(name);
        if (was != one.end() && is != other.end() && was->second == is->second) continue;
        differ = true;
        if (was != one.end()) fmt::print("- {}: {}\n", name, was->second);
        if (is != other.end()) fmt::print("+ {}: {}\n", name, is->second);
    }
    const auto purges = [](const OpenedSnapshot& opened) {
        std::set<std::string> all;
        for (const endpoints::Purge& purge : opened.read.snapshot.purges)
            all.insert(fmt::format(
                "purge of {} at {}",
                purge.object.empty() ? fmt::format("group {}", purge.purge_group) : purge.object, purge.at));
        return all;
    };
    const auto old_purges = purges(old), fresh_purges = purges(fresh);
    for (const std::string& purge : old_purges)
        if (!fresh_purges.contains(purge)) fmt::print("- {}\n", purge), differ = true;
    for (const std::string& purge : fresh_purges)
        if (!old_purges.contains(purge)) fmt::print("+ {}\n", purge), differ = true;
    fmt::print("change log {} -> {}, taken {} apart\n", old.read.snapshot.last_sequence,
               fresh.read.snapshot.last_sequence,
               format_duration(std::abs(fresh.read.snapshot.taken_at - old.read.snapshot.taken_at)));
    return differ ? 1 : 0;
}

}  // namespace

int list_command(const ListFlags& flags) {
    const auto& arguments = flags.arguments;
    const std::string verb = arguments.empty() ? "" : arguments[0];
    if (verb == "show" && arguments.size() == 2) return show(flags, arguments[1]);
    if (verb == "verify" && arguments.size() == 2) return verify(flags, arguments[1]);
    if (verb == "diff" && arguments.size() == 3) return diff(arguments[1], arguments[2]);
    fmt::print(stderr, "sumackeel: list: show FILE, verify FILE or diff OLD NEW is wanted\n");
    return 2;
}

}  // namespace sumackeel::cli
