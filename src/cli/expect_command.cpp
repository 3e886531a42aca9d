#include "cli/expect_command.h"

#include <fmt/format.h>
#include <json/json.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "config/read.h"
#include "daemon/expectation_gate.h"
#include "endpoint_snapshot/snapshot_directory.h"
#include "expectations/counterexample_file.h"
#include "expectations/fleet_diff.h"

namespace sumackeel::cli {

using config::bad;
using expectations::Conclusion;

namespace {

// Upper limit of a weight, the number of full-rate transfers that fit a member's link; a link of one terabit
// per second has about 10,000.
constexpr double kMaxWeight = 1e6;

// Reads change log events, one per line; a leading "data:" is skipped.
std::vector<config::WatchEvent> read_changes(const std::string& path, const config::Site& site) {
    std::vector<config::WatchEvent> changes;
    std::istringstream lines(config::read_file(path));
    int number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (line.starts_with("data:")) line.erase(0, 5);
        const auto first = line.find_first_not_of(" \t\r");
        if (first == std::string::npos || line[first] != '{') continue;
        const std::string where = fmt::format("{}:{}", path, number);
        try {
            changes.push_back(config::parse_watch_event(config::parse(line, where), site));
        } catch (const config::ConfigError& error) {
            bad(where, error.what());
        }
    }
    if (changes.empty()) bad(path, "not a single event");
    return changes;
}

std::vector<config::WatchEvent> read_snapshot(const std::string& path, const config::Site& site) {
    const std::string file = endpoint_snapshot::newest_snapshot_path(path);
    std::string bytes;
    if (const auto fault = endpoint_snapshot::read_file(file, bytes)) bad(file, fault->text);
    const auto read = endpoints::decode(bytes, {site.zones, site.kinds});
    if (read.error) bad(file, read.error->text);
    if (read.left_out)
        bad(file, fmt::format("{} members of zones or kinds that the settings lack", read.left_out));
    config::WatchEvent change;
    change.has_endpoints = change.is_full_list = true;
    for (const auto& member : read.snapshot.endpoints) change.endpoints.push_back(member.record->located);
    return {change};
}

// Reads [[box]], [[parent]] and [[origin]] tables with name, at (zone) and weight, and `kind` where it
// differs from the one in the settings.
std::vector<config::WatchEvent> read_description(const std::string& path, const config::Site& site) {
    const config::Node root = config::read_toml(config::read_file(path), path);
    config::WatchEvent change;
    change.has_endpoints = change.is_full_list = true;
    std::map<std::string, config::SourceLocation> named;
    for (const auto& [section, list] : std::get<config::Node::Table>(root.value)) {
        const auto where = [&](const config::SourceLocation& at) {
            return fmt::format("{}:{}:{}", path, at.line, at.column);
        };
        const auto items = std::get_if<config::Node::List>(&list.value);
        const bool known = section == "box" || section == "parent" || section == "origin";
        if (!known || !items)
            bad(where(list.key_place), "[[box]], [[parent]] and [[origin]] are read, not " + section);
        for (const config::Node& item : *items) {
            const auto table = std::get_if<config::Node::Table>(&item.value);
            if (!table) bad(where(item.place), "a table is wanted");
            config::LocatedEndpoint located;
            located.address = "127.0.0.1:1";  // nothing is sent
            located.endpoint.kind = section == "parent"   ? site.settings.parent_kind
                                    : section == "origin" ? site.settings.origin_kind
                                                          : -1;
            for (const auto& item : *table) {
                const auto& key = item.first;
                const auto& value = item.second;
                const auto text = std::get_if<std::string>(&value.value);
                const auto integer = std::get_if<std::int64_t>(&value.value);
                const auto real = std::get_if<double>(&value.value);
                const auto place = [&](const std::vector<std::string>& names, const char* what) {
                    if (!text) bad(where(value.place), key + ": a string is wanted");
                    const auto found = std::find(names.begin(), names.end(), *text);
                    if (found == names.end())
                        bad(where(value.place), fmt::format("no {} '{}' in the settings", what, *text));
                    return static_cast<int>(found - names.begin());
                };
                if (key == "name" && text && !text->empty()) {
                    located.endpoint.name = *text;
                    const auto [before, inserted] = named.emplace(*text, value.place);
                    if (!inserted)
                        bad(where(value.place),
                            fmt::format("'{}' is named twice, first in line {}", *text, before->second.line));
                } else if (key == "at")
                    located.endpoint.zone = place(site.zones, "zone");
                else if (key == "kind")
                    located.endpoint.kind = place(site.kinds, "kind");
                else if (key == "weight" && (integer || real)) {
                    located.endpoint.weight = integer ? static_cast<double>(*integer) : *real;
                    // Negated, so that NaN is rejected too.
                    if (!(located.endpoint.weight > 0 && located.endpoint.weight <= kMaxWeight))
                        bad(where(value.place),
                            fmt::format("a weight is above 0 and {} at most", kMaxWeight));
                } else
                    bad(where(value.key_place), "name, at, weight and kind are read, not " + key);
            }
            if (located.endpoint.name.empty() || located.endpoint.zone < 0)
                bad(where(item.place), "name or at is missing");
            change.endpoints.push_back(std::move(located));
        }
    }
    return {change};
}

std::string seconds_since(std::chrono::steady_clock::time_point start) {
    return fmt::format("{:.1f} s",
                       std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
}

std::string escape_xml(const std::string& text) {
    std::string out;
    for (const char c : text)
        out += c == '<'   ? "&lt;"
               : c == '&' ? "&amp;"
               : c == '"' ? "&quot;"
               : c == '>' ? "&gt;"
                          : std::string(1, static_cast<unsigned char>(c) < 32 ? ' ' : c);
    return out;
}

std::string counterexample_file_name(const std::string& name) {
    std::string file;
    for (const char c : name) file += std::isalnum(static_cast<unsigned char>(c)) ? c : '-';
    return file.substr(0, 80) + ".case.json";
}

struct Result {
    expectations::Evaluation verdict;
    expectations::Counts tally;
    std::optional<expectations::Counterexample> example;
    std::string example_file;
};

void write_junit(const std::string& path, const expectations::Suite& suite,
                 const std::vector<Result>& results) {
    const auto count = [&](auto holds) {
        return std::count_if(results.begin(), results.end(),
                             [&](const Result& r) { return holds(r.verdict.holds); });
    };
    std::ofstream file(path);
    file << "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n"
         << fmt::format("<testsuite name=\"expectations\" tests=\"{}\" failures=\"{}\" errors=\"{}\">\n",
                        results.size(), count([](Conclusion h) { return h == Conclusion::broken; }),
                        count([](Conclusion h) {
                            return h == Conclusion::undecided || h == Conclusion::never_applied;
                        }));
    for (std::size_t i = 0; i < results.size(); ++i) {
        const expectations::Expectation& one = suite.expectations[i];
        const Result& result = results[i];
        file << fmt::format("  <testcase classname=\"expect\" name=\"{}\">", escape_xml(one.name));
        if (result.verdict.holds == Conclusion::broken)
            file << fmt::format(
                "<failure message=\"{}\">{}</failure>",
                escape_xml(result.tally.first ? result.tally.first->what : result.verdict.text),
                escape_xml(one.reason));
        else if (result.verdict.holds != Conclusion::yes)
            file << fmt::format("<error message=\"{}\"/>", escape_xml(result.verdict.text));
        file << "</testcase>\n";
    }
    file << "</testsuite>\n";
    file.flush();
    if (!file) bad(path, "can't be written");
}

int status_of(const std::vector<Result>& results) {
    int status = 0;
    for (const Result& result : results) {
        if (result.verdict.holds == Conclusion::broken) return 1;
        if (result.verdict.holds != Conclusion::yes) status = 2;
    }
    return status;
}

// Prints a replay step by step and marks the decision that broke the expectation.
class TracePrinter : public expectations::Evaluator {
  public:
    using Evaluator::Evaluator;
    bool wants_steps() const override { return true; }
    void step(expectations::Micros at, const std::string& words) override {
        fmt::print("{:10.3f} ms  {}\n", static_cast<double>(at) / 1e3, words);
    }
    void on_decision(const expectations::SimulatedRequest& request, const expectations::Decision& decision,
                     const std::vector<expectations::NotifiedStateSince>& notified) override {
        const auto before = tallies()[0].broken;
        Evaluator::on_decision(request, decision, notified);
        mark(before);
    }
    void on_request_finished(const expectations::SimulatedRequest& request,
                             const expectations::RequestResult& result,
                             const std::vector<expectations::NotifiedStateSince>& notified) override {
        const auto before = tallies()[0].broken;
        Evaluator::on_request_finished(request, result, notified);
        fmt::print("{:10.3f} ms       request {}: {} after {} attempts\n",
                   static_cast<double>(request.at + result.elapsed) / 1e3, result.request,
                   name_of(result.outcome), result.attempts);
        mark(before);
    }

  private:
    void mark(std::uint64_t before) {
        if (tallies()[0].broken > before) fmt::print("{:>14}  ^^^  this breaks it\n", "");
    }
};

}  // namespace

expectations::FleetModel load_fleet(const FleetSource& from) {
    if (from.config.empty()) throw config::ConfigError("no configuration for the settings: give --config");
    if (from.list.empty() && from.changes.empty() && from.fleet.empty())
        return daemon::fleet_of_config(from.config);
    const std::string settings = daemon::settings_of_config(from.config);
    const config::Site site = config::parse_site(settings);
    if (!from.list.empty()) return expectations::make_fleet(settings, read_snapshot(from.list, site));
    if (!from.changes.empty()) return expectations::make_fleet(settings, read_changes(from.changes, site));
    return expectations::make_fleet(settings, read_description(from.fleet, site));
}

// NOLINTNEXTLINE(readability-function-size): not split yet
int expect_run(const ExpectFlags& flags) {
    const expectations::FleetModel fleet = load_fleet(flags.source);
    const expectations::Suite suite = daemon::load_suite(flags.file, fleet);
    const auto start = std::chrono::steady_clock::now();
    const bool show_progress = !flags.quiet && isatty(2);
    auto last_shown = start;
    const daemon::SuiteRun run =
        daemon::run_suite(fleet, suite, flags.threads, [&](std::size_t ready, std::size_t of) {
            const auto now = std::chrono::steady_clock::now();
            if (show_progress && now - last_shown > std::chrono::milliseconds(500)) {
                last_shown = now;
                fmt::print(stderr, "\r{} of {} worlds", ready, of);
            }
            return true;
        });
    if (show_progress && last_shown != start) fmt::print(stderr, "\r{:40}\r", "");
    std::vector<Result> results;
    for (std::size_t i = 0; i < suite.expectations.size(); ++i) {
        Result result{
            expectations::verdict_of(suite.expectations[i], run.tallies[i]), run.tallies[i], {}, {}};
        if (result.tally.first) {
            result.example = expectations::shrink(run.worlds[result.tally.first->world], fleet, suite, i);
            if (result.example && !flags.cases.empty()) {
                std::error_code ignored;
                std::filesystem::create_directories(flags.cases, ignored);
                result.example_file =
                    flags.cases + '/' + counterexample_file_name(suite.expectations[i].name);
                std::ofstream file(result.example_file);
                file << expectations::write_case(fleet, suite.expectations[i], *result.example);
                file.flush();
                if (!file) bad(result.example_file, "can't be written");
            }
        }
        results.push_back(std::move(result));
    }
    if (!flags.junit.empty()) write_junit(flags.junit, suite, results);
    if (flags.json) {
        Json::Value root;
        root["worlds"] = Json::UInt64{run.worlds_run};
        root["requests"] = Json::UInt64{run.requests};
        root["decisions"] = Json::UInt64{run.decisions};
        root["expectations"] = Json::arrayValue;
        for (std::size_t i = 0; i < results.size(); ++i) {
            Json::Value one;
            one["name"] = suite.expectations[i].name;
            one["reason"] = suite.expectations[i].reason;
            one["rule"] = suite.expectations[i].text();
            one["holds"] = name_of(results[i].verdict.holds);
            one["applied"] = Json::UInt64{results[i].tally.applied};
            one["broken"] = Json::UInt64{results[i].tally.broken};
            if (expectations::is_share(suite.expectations[i].rule)) {
                one["share"] = results[i].verdict.bounds.share;
                one["lower"] = results[i].verdict.bounds.lower;
                one["upper"] = results[i].verdict.bounds.upper;
            }
            if (results[i].tally.first) {
                one["world"] = run.worlds[results[i].tally.first->world].title;
                one["what"] = results[i].tally.first->what;
            }
            if (!results[i].example_file.empty()) one["case"] = results[i].example_file;
            root["expectations"].append(one);
        }
        Json::StreamWriterBuilder builder;
        fmt::print("{}\n", Json::writeString(builder, root));
        return status_of(results);
    }
    std::size_t name_width = 4;
    for (const expectations::Expectation& one : suite.expectations)
        name_width = std::max(name_width, one.name.size());
    for (std::size_t i = 0; i < results.size(); ++i) {
        const expectations::Expectation& one = suite.expectations[i];
        const Result& result = results[i];
        fmt::print("{:13}  {:{}}  {}\n", name_of(result.verdict.holds), one.name, name_width,
                   result.verdict.text);
        if (result.verdict.holds != Conclusion::broken) continue;
        fmt::print("{:15}because: {}\n", "", one.reason);
        if (!result.tally.first) continue;
        fmt::print("{:15}in {}: {}\n", "", run.worlds[result.tally.first->world].title,
                   result.tally.first->what);
        if (result.example)
            fmt::print("{:15}smallest: {} happenings, {} requests{}\n", "",
                       result.example->world.faults.size(), result.example->asks.size(),
                       result.example_file.empty() ? "" : "; sumackeel expect replay " + result.example_file);
    }
    fmt::print("\n{} worlds, {} requests, {} decisions, {} expectations in {}\n", run.worlds_run,
               run.requests, run.decisions, results.size(), seconds_since(start));
    return status_of(results);
}

int expect_list(const ExpectFlags& flags) {
    const expectations::FleetModel fleet = load_fleet(flags.source);
    const expectations::Suite suite = daemon::load_suite(flags.file, fleet);
    for (const expectations::Expectation& one : suite.expectations)
        fmt::print("{}\n    {}\n    because: {}\n", one.name, one.text(), one.reason);
    const auto worlds = expectations::enumerate(fleet, suite);
    fmt::print("\n{} members, {} schools, {} worlds\n", fleet.members.size(),
               fleet.zones_with_caches().size(), worlds.size());
    return 0;
}

int expect_explain(const ExpectFlags& flags) {
    const expectations::FleetModel fleet = load_fleet(flags.source);
    const expectations::Suite suite = daemon::load_suite(flags.file, fleet);
    for (const expectations::Expectation& one : suite.expectations) {
        if (one.name != flags.name) continue;
        fmt::print("{}\n    {}\n    because: {}\n", one.name, one.text(), one.reason);
        std::vector<std::string> members, classes, zones;
        for (std::size_t i = 0; i < fleet.members.size(); ++i)
            if (one.group.matches(fleet, i)) members.push_back(fleet.name(i));
        for (const int service : one.classes) classes.push_back(fleet.site.classes[service]);
        for (const int zone : one.zones) zones.push_back(fleet.site.zones[zone]);
        fmt::print("    speaks of: {}\n", fmt::join(members, ", "));
        fmt::print("    requests of class: {}\n",
                   classes.empty() ? "any" : fmt::format("{}", fmt::join(classes, ", ")));
        fmt::print("    from school: {}\n",
                   zones.empty() ? "any" : fmt::format("{}", fmt::join(zones, ", ")));
        std::size_t count = 0;
        for (const expectations::Scenario& world : expectations::enumerate(fleet, suite))
            count += one.zones.empty() ||
                     std::find(one.zones.begin(), one.zones.end(), world.zone) != one.zones.end();
        fmt::print("    worlds of these schools: {}\n", count);
        return 0;
    }
    fmt::print(stderr, "sumackeel: {}: no expectation '{}'\n", flags.file, flags.name);
    return 2;
}

int expect_replay(const ExpectFlags& flags) {
    const expectations::Case one = expectations::read_case(config::read_file(flags.file), flags.file);
    fmt::print("{}\n    {}\n    because: {}\nworld: {}\n\n", one.suite.expectations[0].name,
               one.suite.expectations[0].text(), one.suite.expectations[0].reason, one.world.title);
    TracePrinter printer(one.fleet, one.suite.expectations, one.world);
    expectations::simulate(one.world, one.fleet, one.asks, printer);
    const auto& tally = printer.tallies()[0];
    fmt::print("\napplied {} times, broken {}\n", tally.applied, tally.broken);
    return tally.broken ? 1 : 0;
}

int expect_diff(const ExpectFlags& flags) {
    const expectations::FleetModel before = load_fleet(flags.source), after = load_fleet(flags.new_source);
    expectations::Traffic traffic;
    if (!flags.file.empty()) traffic = daemon::load_suite(flags.file, before).traffic;
    if (traffic.mix.empty()) {
        traffic.mix.assign(before.site.classes.size(), 1.0);
        for (const auto& service : before.site.settings.classes)
            traffic.size_kb.push_back(before.site.settings.transfer_rate_kb_per_s *
                                      static_cast<double>(service.latency_objective) / 3e6);
    }
    traffic.seconds = std::max(traffic.seconds, 20.0);
    const expectations::FleetDiff difference = expectations::compare(before, after, traffic, 1);
    bool any = !difference.only_old.empty() || !difference.only_new.empty();
    if (flags.json) {
        Json::Value root;
        root["moved"] = Json::arrayValue;
        for (const expectations::RoutingShift& moved : difference.moved) {
            any = any || moved.to_other_endpoint || moved.from_other_source;
            Json::Value one;
            one["school"] = moved.zone, one["class"] = moved.service;
            one["requests"] = Json::UInt64{moved.requests};
            for (const auto& [name, bounds] :
                 {std::pair("box", moved.endpoint), std::pair("source", moved.source),
                  std::pair("copies_lost", moved.copies)}) {
                one[name]["share"] = bounds.share, one[name]["lower"] = bounds.lower,
                one[name]["upper"] = bounds.upper;
            }
            root["moved"].append(one);
        }
        for (const std::string& name : difference.only_old) root["only_old"].append(name);
        for (const std::string& name : difference.only_new) root["only_new"].append(name);
        Json::StreamWriterBuilder builder;
        fmt::print("{}\n", Json::writeString(builder, root));
        return any ? 1 : 0;
    }
    const auto format_bounds = [](const expectations::Bounds& b) {
        return fmt::format("{:5.1f}% ({:.1f} to {:.1f})", 100 * b.share, 100 * b.lower, 100 * b.upper);
    };
    fmt::print("{:12}  {:10}  {:>8}  {:24}  {:24}  copies lost\n", "school", "class", "requests",
               "to another box", "filled from elsewhere");
    for (const expectations::RoutingShift& moved : difference.moved) {
        any = any || moved.to_other_endpoint || moved.from_other_source;
        fmt::print("{:12}  {:10}  {:>8}  {:24}  {:24}  {}\n", moved.zone, moved.service, moved.requests,
                   format_bounds(moved.endpoint), format_bounds(moved.source),
                   moved.objects ? fmt::format("{} of {}, {}", moved.homes_moved, moved.objects,
                                               format_bounds(moved.copies))
                                 : "-");
    }
    for (const std::string& name : difference.only_old) fmt::print("- {}\n", name);
    for (const std::string& name : difference.only_new) fmt::print("+ {}\n", name);
    return any ? 1 : 0;
}

}  // namespace sumackeel::cli
