#include "expectations/parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace sumackeel::expectations {

using config::Node;
using config::SourceLocation;

namespace {

struct RuleForm {
    Rule rule;
    const char* name;
    enum class Value { group, share, number, flag } value;
    double min_value, max_value;  // range of its number or share
};

constexpr std::array<RuleForm, 11> kRuleForms{{
    {Rule::never_fills_from, "never_fills_from", RuleForm::Value::group, 0, 0},
    {Rule::fills_from, "fills_from", RuleForm::Value::group, 0, 0},
    {Rule::only_at, "only_at", RuleForm::Value::group, 0, 0},
    {Rule::share_at_most, "share_at_most", RuleForm::Value::share, 0, 1},
    {Rule::share_at_least, "share_at_least", RuleForm::Value::share, 0, 1},
    {Rule::refused_at_most, "refused_at_most", RuleForm::Value::number, 0, 1},
    {Rule::fails_over_within, "fails_over_within", RuleForm::Value::number, 1, 60'000},
    {Rule::attempts_at_most, "attempts_at_most", RuleForm::Value::number, 1, 64},
    {Rule::never_twice, "never_twice", RuleForm::Value::flag, 0, 0},
    {Rule::kept_at_rank, "kept_at_rank", RuleForm::Value::number, 0, 3},
    {Rule::no_new_work_after, "no_new_work_after", RuleForm::Value::number, 0, 60},
}};

const RuleForm& rule_form(Rule rule) {
    return *std::find_if(kRuleForms.begin(), kRuleForms.end(),
                         [&](const RuleForm& f) { return f.rule == rule; });
}

constexpr std::array<const char*, 4> kNotifiedStateNames{"up", "cold", "draining", "gone"};

class Reader : public config::ValidationErrorCollector {
  public:
    Reader(std::string file, const FleetModel& fleet)
        : ValidationErrorCollector(std::move(file)), fleet_(fleet) {}

    const Node::Table* table(const Node& node, const std::string& what) {
        const auto found = std::get_if<Node::Table>(&node.value);
        if (!found)
            add(node.place, fmt::format("{}: a table is wanted, this is {}", what, name_of_type(node)));
        return found;
    }
    std::string text(const Node& node, const std::string& what) {
        const auto found = std::get_if<std::string>(&node.value);
        if (!found || found->empty())
            add(node.place, fmt::format("{}: a string is wanted, this is {}", what,
                                        found ? "an empty one" : name_of_type(node)));
        return found ? *found : "";
    }
    double number(const Node& node, const std::string& what, double min_value, double max_value) {
        const auto whole = std::get_if<std::int64_t>(&node.value);
        const auto real = std::get_if<double>(&node.value);
        const double value = whole ? static_cast<double>(*whole) : real ? *real : NAN;
        if (!(value >= min_value && value <= max_value))
            add(node.place, fmt::format("{}: a number from {} to {} is wanted", what, min_value, max_value));
        return value >= min_value && value <= max_value ? value : min_value;
    }
    // One string or a list of them.
    std::vector<std::string> strings(const Node& node, const std::string& what) {
        const auto list = std::get_if<Node::List>(&node.value);
        if (!list) return {text(node, what)};
        std::vector<std::string> all;
        for (const Node& item : *list) all.push_back(text(item, what));
        if (all.empty()) add(node.place, what + ": an empty list says nothing");
        return all;
    }
    // Reads names and reports those that are not in `names`.
    std::vector<std::string> known_names(const Node& node, const std::string& what,
                                         const std::vector<std::string>& names) {
        std::vector<std::string> all;
        for (const std::string& name : strings(node, what)) {
            if (std::find(names.begin(), names.end(), name) == names.end())
                add(node.place, fmt::format("no {} '{}' in this fleet", what, name));
            else
                all.push_back(name);
        }
        return all;
    }

    // Reads a key of a member selector; false: it is another key, which the caller handles.
    bool read_selector_key(const std::string& key, const Node& node, MemberSelector& group) {
        if (key == "box") return group.names = known_names(node, "box", member_names()), true;
        if (key == "school") return group.zones = known_names(node, "school", zone_names()), true;
        if (key == "hub") return group.regions = known_names(node, "hub", fleet_.parent_regions()), true;
        if (key == "kind")
            return group.kinds = known_names(node, "kind", {"cache", "parent", "origin"}), true;
        return false;
    }
    void require_members(const MemberSelector& group, SourceLocation at) {
        const auto members = group.members(fleet_);
        if (std::none_of(members.begin(), members.end(), [](bool in) { return in; }))
            add(at, fmt::format("{}: no member of this fleet, so this can never apply", group.text()));
    }

    std::optional<Condition> condition(const Node& node) {
        const Node::Table* items = table(node, "while");
        if (!items) return std::nullopt;
        Condition condition;
        bool has_quantifier = false;
        for (const auto& [key, value] : *items) {
            if (read_selector_key(key, value, condition.group)) continue;
            if (key != "all" && key != "some") {
                add(value.key_place, fmt::format("while: no such key '{}'", key));
                continue;
            }
            if (std::exchange(has_quantifier, true))
                add(value.key_place, "while: either all or some, not both");
            condition.all = key == "all";
            const std::string word = text(value, "while." + key);
            const auto found = std::find(kNotifiedStateNames.begin(), kNotifiedStateNames.end(), word);
            if (found == kNotifiedStateNames.end())
                add(value.place,
                    fmt::format("while.{}: '{}' is none of up, cold, draining, gone", key, word));
            else
                condition.is = static_cast<NotifiedState>(found - kNotifiedStateNames.begin());
        }
        if (!has_quantifier)
            add(node.place, "while: says nothing; all = \"up\" or some = \"gone\" is wanted");
        require_members(condition.group, node.place);
        return condition;
    }

    void rule(const RuleForm& form, const Node& node, Expectation& into) {
        into.rule = form.rule;
        using Value = RuleForm::Value;
        if (form.value == Value::flag) {
            const auto on = std::get_if<bool>(&node.value);
            if (!on || !*on) add(node.place, fmt::format("{} = true is wanted", form.name));
            return;
        }
        if (form.value == Value::number && !std::holds_alternative<Node::Table>(node.value)) {
            into.limit = number(node, form.name, form.min_value, form.max_value);
            return;
        }
        const Node::Table* items = table(node, form.name);
        if (!items) return;
        bool has_limit = false;
        const char* limit =
            form.value == Value::share || form.rule == Rule::refused_at_most ? "share" : "limit";
        for (const auto& [key, value] : *items) {
            if (form.value != Value::number && read_selector_key(key, value, into.group)) continue;
            if (form.value != Value::group && key == limit)
                into.limit =
                    number(value, std::string(form.name) + '.' + key, form.min_value, form.max_value),
                has_limit = true;
            else if (limit == std::string_view("share") && key == "confidence")
                into.confidence = number(value, std::string(form.name) + '.' + key, 0.5, 0.999999);
            else
                add(value.key_place, fmt::format("{}: no such key '{}'", form.name, key));
        }
        if (form.value != Value::group && !has_limit)
            add(node.place, fmt::format("{}: {} is missing", form.name, limit));
        if (form.value != Value::number) require_members(into.group, node.place);
        if (form.value != Value::number && into.group == MemberSelector{})
            add(node.place, fmt::format("{}: names no box, school, hub or kind", form.name));
    }

    Expectation expectation(const Node& node) {
        Expectation one;
        one.place = node.place;
        one.source = node;
        const Node::Table* items = table(node, "expect");
        if (!items) return one;
        int rules = 0;
        // In file order, so that of two rules the second one is reported.
        std::vector<Node::Table::const_iterator> in_order;
        for (auto it = items->begin(); it != items->end(); ++it) in_order.push_back(it);
        std::sort(in_order.begin(), in_order.end(), [](auto a, auto b) {
            return std::pair(a->second.key_place.line, a->second.key_place.column) <
                   std::pair(b->second.key_place.line, b->second.key_place.column);
        });
        for (const auto& it : in_order) {
            const std::string& key = it->first;
            const Node& value = it->second;
            const auto form = std::find_if(kRuleForms.begin(), kRuleForms.end(),
                                           [&](const RuleForm& f) { return key == f.name; });
            if (form != kRuleForms.end()) {
                if (++rules > 1) add(value.key_place, "one expectation has one rule; this is a second one");
                rule(*form, value, one);
            } else if (key == "name") {
                one.name = text(value, key);
            } else if (key == "reason") {
                one.reason = text(value, key);
            } else if (key == "class") {
                for (const std::string& name : known_names(value, "class", fleet_.site.classes))
                    one.classes.push_back(index_of(fleet_.site.classes, name));
            } else if (key == "school") {
                for (const std::string& name : known_names(value, "school", zone_names()))
                    one.zones.push_back(index_of(fleet_.site.zones, name));
            } else if (key == "object") {
                one.object = text(value, key);
            } else if (key == "group") {
                one.group_number = static_cast<int>(number(value, key, 0, 255));
            } else if (key == "while") {
                const auto list = std::get_if<Node::List>(&value.value);
                for (const Node& item : list ? *list : Node::List{value})
                    if (auto found = condition(item)) one.conditions.push_back(std::move(*found));
            } else {
                add(value.key_place, fmt::format("no such key '{}' and no such rule", key));
            }
        }
        if (rules == 0) add(node.place, "no rule");
        if (one.name.empty() && !items->contains("name")) add(node.place, "name is missing");
        if (one.reason.empty() && !items->contains("reason")) add(node.place, "reason is missing");
        return one;
    }

    // Static checks, without simulation.
    void check_suite(const std::vector<Expectation>& all) {
        std::map<std::string, SourceLocation> names;
        for (const Expectation& one : all) {
            if (!one.name.empty() && !names.emplace(one.name, one.place).second)
                add(one.place, fmt::format("the name '{}' is taken", one.name));
            if (one.rule == Rule::never_twice) {
                const bool any = std::any_of(
                    fleet_.site.settings.classes.begin(), fleet_.site.settings.classes.end(),
                    [](const auto& c) { return c.retry_safety != routing::RetrySafety::idempotent; });
                const bool named = std::any_of(one.classes.begin(), one.classes.end(), [&](int c) {
                    return fleet_.site.settings.classes[c].retry_safety != routing::RetrySafety::idempotent;
                });
                if (!any || (!one.classes.empty() && !named))
                    add(one.place,
                        "never_twice: only of classes that are safe to repeat, so it can never apply");
            }
            if ((one.rule == Rule::never_fills_from || one.rule == Rule::fills_from) &&
                !one.group.kinds.empty() &&
                std::all_of(one.group.kinds.begin(), one.group.kinds.end(),
                            [](const auto& k) { return k == "cache"; }) &&
                fleet_.site.settings.sibling_fill == routing::SiblingFill::none &&
                one.rule == Rule::fills_from)
                add(one.place, "fills_from: caches fill no other caches in this fleet");
            for (std::size_t a = 0; a < one.conditions.size(); ++a)
                for (std::size_t b = a + 1; b < one.conditions.size(); ++b)
                    if (one.conditions[a].group == one.conditions[b].group && one.conditions[a].all &&
                        one.conditions[b].all && one.conditions[a].is != one.conditions[b].is)
                        add(one.place, "its conditions exclude each other, so it can never apply");
        }
        for (std::size_t a = 0; a < all.size(); ++a)
            for (std::size_t b = a + 1; b < all.size(); ++b)
                if (contradict(all[a], all[b]))
                    add(all[b].place, fmt::format("'{}' contradicts '{}' of line {}", all[b].name,
                                                  all[a].name, all[a].place.line));
    }

  private:
    static int index_of(const std::vector<std::string>& names, const std::string& name) {
        return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
    }
    std::vector<std::string> member_names() const {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < fleet_.members.size(); ++i) names.push_back(fleet_.name(i));
        return names;
    }
    std::vector<std::string> zone_names() const {
        std::vector<std::string> names;
        for (const int zone : fleet_.zones_with_caches()) names.push_back(fleet_.site.zones[zone]);
        return names;
    }
    static bool have_common(const std::vector<int>& a, const std::vector<int>& b) {
        return a.empty() || b.empty() || std::any_of(a.begin(), a.end(), [&](int x) {
                   return std::find(b.begin(), b.end(), x) != b.end();
               });
    }
    // Whether a request can fall under both with all conditions of both met: recognized only if the
    // conditions of one include those of the other. Other conflicts show up in the simulation.
    static bool may_overlap(const Expectation& a, const Expectation& b) {
        const auto conditions_subset = [](const Expectation& inner, const Expectation& outer) {
            return std::all_of(inner.conditions.begin(), inner.conditions.end(), [&](const Condition& c) {
                return std::find(outer.conditions.begin(), outer.conditions.end(), c) !=
                       outer.conditions.end();
            });
        };
        const bool objects = a.object.empty() || b.object.empty() || a.object == b.object;
        const bool groups = a.group_number < 0 || b.group_number < 0 || a.group_number == b.group_number;
        return have_common(a.classes, b.classes) && have_common(a.zones, b.zones) && objects && groups &&
               (conditions_subset(a, b) || conditions_subset(b, a));
    }
    bool contradict(const Expectation& a, const Expectation& b) const {
        if (!may_overlap(a, b)) return false;
        const auto first = a.group.members(fleet_), second = b.group.members(fleet_);
        const auto subset = [](const std::vector<bool>& of, const std::vector<bool>& whole) {
            for (std::size_t i = 0; i < of.size(); ++i)
                if (of[i] && !whole[i]) return false;
            return true;
        };
        const auto disjoint = [&] {
            for (std::size_t i = 0; i < first.size(); ++i)
                if (first[i] && second[i]) return false;
            return true;
        };
        const auto rules_are = [&](Rule one, Rule other) { return a.rule == one && b.rule == other; };
        if (rules_are(Rule::fills_from, Rule::never_fills_from)) return subset(first, second);
        if (rules_are(Rule::never_fills_from, Rule::fills_from)) return subset(second, first);
        if (rules_are(Rule::fills_from, Rule::fills_from) || rules_are(Rule::only_at, Rule::only_at))
            return disjoint();
        if (rules_are(Rule::share_at_least, Rule::share_at_most))
            return a.limit > b.limit && subset(first, second);
        if (rules_are(Rule::share_at_most, Rule::share_at_least))
            return b.limit > a.limit && subset(second, first);
        if (rules_are(Rule::kept_at_rank, Rule::kept_at_rank)) return a.limit != b.limit;
        if (rules_are(Rule::only_at, Rule::share_at_least)) return b.limit > 0 && disjoint();
        if (rules_are(Rule::share_at_least, Rule::only_at)) return a.limit > 0 && disjoint();
        return false;
    }

    const FleetModel& fleet_;
};

}  // namespace

const char* name_of(Rule rule) {
    return rule_form(rule).name;
}

const char* name_of(NotifiedState state) {
    return kNotifiedStateNames[static_cast<std::size_t>(state)];
}

bool matches_pattern(std::string_view pattern, std::string_view text) {
    // On a mismatch after a star, the star takes one more character. There is no recursion, so no pattern is
    // exponentially slow.
    std::size_t p = 0, t = 0, star = std::string_view::npos, from = 0;
    while (t < text.size()) {
        if (p < pattern.size() && (pattern[p] == '?' || pattern[p] == text[t]) && pattern[p] != '*')
            ++p, ++t;
        else if (p < pattern.size() && pattern[p] == '*')
            star = p++, from = t;
        else if (star != std::string_view::npos)
            p = star + 1, t = ++from;
        else
            return false;
    }
    while (p < pattern.size() && pattern[p] == '*') ++p;
    return p == pattern.size();
}

bool Expectation::concerns(int service, int zone, const std::string& requested_object,
                           int requested_group) const {
    const auto among = [](const std::vector<int>& list, int one) {
        return list.empty() || std::find(list.begin(), list.end(), one) != list.end();
    };
    return among(classes, service) && among(zones, zone) &&
           (group_number < 0 || group_number == requested_group) &&
           (object.empty() || matches_pattern(object, requested_object));
}

std::string Expectation::text() const {
    std::string description = name_of(rule);
    switch (rule_form(rule).value) {
        case RuleForm::Value::group:
            description += " " + group.text();
            break;
        case RuleForm::Value::share:
            description += fmt::format(" {} to {}, at {} confidence", limit, group.text(), confidence);
            break;
        case RuleForm::Value::number:
            description += fmt::format(" {}", limit);
            break;
        case RuleForm::Value::flag:
            break;
    }
    for (const Condition& c : conditions)
        description += fmt::format(" while {} of {} {} {}", c.all ? "all" : "some", c.group.text(),
                                   c.all ? "are" : "is", name_of(c.is));
    return description;
}

// NOLINTNEXTLINE(readability-function-size): not split yet
Suite read_suite(const Node& root, const std::string& file, const FleetModel& fleet) {
    Suite suite;
    Reader reader(file, fleet);
    const Node::Table& top = std::get<Node::Table>(root.value);
    suite.traffic.mix.assign(fleet.site.classes.size(), 1.0);
    for (const auto& service : fleet.site.settings.classes)
        suite.traffic.size_kb.push_back(fleet.site.settings.transfer_rate_kb_per_s *
                                        static_cast<double>(service.latency_objective) / 3e6);
    for (const auto& [key, node] : top) {
        if (key == "expect") {
            const auto list = std::get_if<Node::List>(&node.value);
            if (!list) reader.add(node.place, "expect: [[expect]] is wanted, a table for each expectation");
            for (const Node& item : list ? *list : Node::List{})
                suite.expectations.push_back(reader.expectation(item));
        } else if (key == "traffic") {
            const Node::Table* items = reader.table(node, key);
            for (const auto& [name, value] : items ? *items : Node::Table{}) {
                if (name == "per_s")
                    suite.traffic.per_s = reader.number(value, name, 1, 10'000);
                else if (name == "seconds")
                    suite.traffic.seconds = reader.number(value, name, 1, 600);
                else if (name == "objects")
                    suite.traffic.objects = static_cast<int>(reader.number(value, name, 1, 1e6));
                else if (name == "zipf")
                    suite.traffic.zipf = reader.number(value, name, 0, 4);
                else if (name == "mix" || name == "size_kb") {
                    const Node::Table* classes = reader.table(value, name);
                    auto& into = name == "mix" ? suite.traffic.mix : suite.traffic.size_kb;
                    if (name == "mix" && classes) into.assign(into.size(), 0.0);
                    for (const auto& [service, part] : classes ? *classes : Node::Table{}) {
                        const auto found =
                            std::find(fleet.site.classes.begin(), fleet.site.classes.end(), service);
                        if (found == fleet.site.classes.end())
                            reader.add(part.key_place,
                                       fmt::format("{}: no class '{}' in this fleet", name, service));
                        else
                            into[found - fleet.site.classes.begin()] = reader.number(part, name, 0, 1e6);
                    }
                    if (name == "mix" &&
                        std::all_of(into.begin(), into.end(), [](double part) { return part <= 0; }))
                        reader.add(value.place, "mix: nothing is asked for");
                } else {
                    reader.add(value.key_place, fmt::format("traffic: no such key '{}'", name));
                }
            }
        } else if (key == "worlds") {
            const Node::Table* items = reader.table(node, key);
            for (const auto& [name, value] : items ? *items : Node::Table{}) {
                if (name == "most_pairs")
                    suite.worlds.most_pairs = static_cast<int>(reader.number(value, name, 0, 1e5));
                else if (name == "most")
                    suite.worlds.most = static_cast<int>(reader.number(value, name, 1, 1e5));
                else if (name == "seed")
                    suite.worlds.seed = static_cast<std::uint64_t>(reader.number(value, name, 0, 1e15));
                else
                    reader.add(value.key_place, fmt::format("worlds: no such key '{}'", name));
            }
        } else {
            reader.add(node.key_place,
                       fmt::format("no such key '{}'; expect, traffic and worlds are read", key));
        }
    }
    if (suite.expectations.empty()) reader.add({1, 1}, "not a single expectation");
    reader.check_suite(suite.expectations);
    reader.throw_if_any();
    return suite;
}

}  // namespace sumackeel::expectations
