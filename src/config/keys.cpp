#include "config/keys.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace sumackeel::config {

namespace {

const Key* key_of(const std::string& section, const std::string& name) {
    for (const Key& key : keys())
        if (section == key.section && name == key.name) return &key;
    return nullptr;
}

const Key& need_key(const std::string& section, const std::string& name) {
    const Key* key = key_of(section, name);
    if (!key) throw std::logic_error("no such key in the table: " + section + "." + name);
    return *key;
}

std::string full_name(const std::string& section, const std::string& name) {
    return section.empty() ? name : section + '.' + name;
}

bool is_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return false;
    const auto number_in = [](std::string_view part, int most) {
        int value = -1;
        const auto read = std::from_chars(part.data(), part.data() + part.size(), value);
        return read.ec == std::errc{} && read.ptr == part.data() + part.size() && value >= 0 && value <= most;
    };
    std::string_view host = std::string_view(text).substr(0, colon);
    for (int part = 0; part < 4; ++part) {
        const auto dot = part < 3 ? host.find('.') : host.size();
        if (dot == std::string_view::npos || !number_in(host.substr(0, dot), 255)) return false;
        host.remove_prefix(std::min(host.size(), dot + 1));
    }
    return host.empty() && number_in(std::string_view(text).substr(colon + 1), 65'535);
}

// Letters that must change to make one word of the other; for "did you mean".
std::size_t distance(const std::string& a, const std::string& b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t change = diagonal + (a[i - 1] != b[j - 1]);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, change});
        }
    }
    return row[b.size()];
}

std::string figure(double value) {
    return fmt::format("{}", value);
}

// Empty: the value is sound; else what is wrong.
// NOLINTNEXTLINE(readability-function-size): one case a type
std::string fault_of(const Key& key, const Node& node) {
    const auto text = std::get_if<std::string>(&node.value);
    const auto list = std::get_if<Node::List>(&node.value);
    const auto table = std::get_if<Node::Table>(&node.value);
    const auto not_a = [&](const char* wanted) {
        return fmt::format("{} is wanted, this is {}", wanted, name_of_type(node));
    };
    const auto length_fault = [&](std::size_t length) {
        return length < key.least || length > key.most
                   ? fmt::format("{} entries, not {} to {}", length, key.least, key.most)
                   : std::string{};
    };
    switch (key.type) {
        case Type::text:
        case Type::path:
            if (!text) return not_a("a string");
            return text->empty() ? "an empty string" : "";
        case Type::word: {
            if (!text) return not_a("a string");
            std::istringstream words(key.words);
            for (std::string word; words >> word;)
                if (word == *text) return "";
            return text->empty() && std::string_view(key.otherwise) == "\"\""
                       ? ""
                       : fmt::format("'{}' is none of: {}", *text, key.words);
        }
        case Type::address:
            if (!text) return not_a("a string");
            return is_address(*text) ? "" : fmt::format("'{}' is no address like 127.0.0.1:9090", *text);
        case Type::addresses:
        case Type::texts:
            if (!list) return not_a("a list");
            for (const Node& item : *list) {
                const auto one = std::get_if<std::string>(&item.value);
                if (!one)
                    return fmt::format("a list of strings is wanted, with {} in it", name_of_type(item));
                if (key.type == Type::addresses && !is_address(*one))
                    return fmt::format("'{}' is no address like 127.0.0.1:9090", *one);
            }
            return length_fault(list->size());
        case Type::named_addresses:
            if (!table) return not_a("a table");
            for (const auto& [name, item] : *table) {
                const auto one = std::get_if<std::string>(&item.value);
                if (!one || !is_address(*one))
                    return fmt::format("'{}' has no address like 127.0.0.1:9090", name);
            }
            return length_fault(table->size());
        case Type::whole:
        case Type::number: {
            const auto whole = std::get_if<std::int64_t>(&node.value);
            const auto number = std::get_if<double>(&node.value);
            if (!whole && (key.type == Type::whole || !number))
                return not_a(key.type == Type::whole ? "a whole number" : "a number");
            const double value = whole ? static_cast<double>(*whole) : *number;
            return std::isfinite(value) && value >= key.least && value <= key.most
                       ? ""
                       : fmt::format("{} is not from {} to {}", figure(value), figure(key.least),
                                     figure(key.most));
        }
    }
    return "";
}

class Checker {
  public:
    explicit Checker(std::string file) : found_(std::move(file)) {}

    void report(SourceLocation at, const std::string& name, const std::string& what) {
        found_.add(at, name + ": " + what);
    }
    void finish() { found_.throw_if_any(); }

    void table(const Node::Table& table, const std::string& section, SourceLocation at) {
        for (const auto& [name, node] : table) {
            const Key* key = key_of(section, name);
            const bool is_section = section.empty() && is_section_name(name);
            if (is_section) {
                if (const auto inner = std::get_if<Node::Table>(&node.value))
                    this->table(*inner, name, node.key_place);
                else
                    report(node.place, name,
                           fmt::format("a table is wanted, this is {}", name_of_type(node)));
            } else if (!key) {
                report(node.key_place, full_name(section, name), "no such key" + nearest(section, name));
            } else if (const std::string fault = fault_of(*key, node); !fault.empty()) {
                report(node.place, full_name(section, name), fault);
            }
        }
        for (const Key& key : keys())
            if (section == key.section && key.required && !table.contains(key.name))
                report(at, full_name(section, key.name), "is missing");
    }

  private:
    static bool is_section_name(const std::string& name) {
        return std::any_of(sections().begin(), sections().end(),
                           [&](const SectionDoc& s) { return !name.empty() && name == s.name; });
    }

    static std::string nearest(const std::string& section, const std::string& name) {
        std::string best;
        std::size_t least = 3;  // more letters apart is no slip of the hand
        const auto look = [&](const std::string& known) {
            if (const std::size_t far = distance(name, known); far < least) best = known, least = far;
        };
        for (const Key& key : keys())
            if (section == key.section) look(key.name);
        if (section.empty())
            for (const SectionDoc& one : sections()) look(one.name);
        return best.empty() ? "" : ", did you mean " + best + "?";
    }

    ValidationErrorCollector found_;
};

// The default of a key, read as TOML like any value.
Node default_of(const Key& key) {
    Node root = read_toml(std::string("x = ") + key.otherwise, "the table of keys");
    return std::get<Node::Table>(root.value).at("x");
}

const char* name_of(Type type) {
    switch (type) {
        case Type::text:
            return "string";
        case Type::word:
            return "word";
        case Type::path:
            return "path";
        case Type::address:
            return "address";
        case Type::addresses:
            return "list of addresses";
        case Type::texts:
            return "list of strings";
        case Type::whole:
            return "whole number";
        case Type::number:
            return "number";
        case Type::named_addresses:
            return "table of addresses";
    }
    return "?";
}

std::string range_of(const Key& key) {
    switch (key.type) {
        case Type::whole:
        case Type::number:
            return key.most >= 1e9 ? figure(key.least) + " and up"
                                   : figure(key.least) + " to " + figure(key.most);
        case Type::addresses:
        case Type::texts:
        case Type::named_addresses:
            return figure(key.least) + " to " + figure(key.most) + " entries";
        case Type::word: {
            std::string words;
            std::istringstream read(key.words);
            for (std::string word; read >> word;) words += (words.empty() ? "`" : ", `") + word + "`";
            return words;
        }
        default:
            return "";
    }
}

}  // namespace

void ValidationErrorCollector::add(SourceLocation at, const std::string& what) {
    lines_.emplace_back(std::pair(at.line, at.column),
                        fmt::format("{}:{}:{}: {}", file_, at.line, at.column, what));
}

void ValidationErrorCollector::throw_if_any() {
    if (lines_.empty()) return;
    std::stable_sort(lines_.begin(), lines_.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<std::string> texts;
    for (auto& [at, text] : lines_) texts.push_back(std::move(text));
    throw ValidationErrors(std::move(texts));
}

Settings check(Node root, const std::string& file) {
    Checker checker(file);
    checker.table(std::get<Node::Table>(root.value), "", {1, 1});
    checker.finish();
    Settings settings;
    settings.top_ = std::get<Node::Table>(std::move(root.value));
    settings.file_ = file;
    return settings;
}

const Node* Settings::find(const std::string& section, const std::string& name) const {
    const Node::Table* table = &top_;
    if (!section.empty()) {
        const auto inner = top_.find(section);
        if (inner == top_.end()) return nullptr;
        table = std::get_if<Node::Table>(&inner->second.value);
    }
    const auto found = table->find(name);
    return found == table->end() ? nullptr : &found->second;
}

std::string Settings::text(const std::string& section, const std::string& name) const {
    const Key& key = need_key(section, name);
    if (const Node* node = find(section, name)) return std::get<std::string>(node->value);
    return *key.otherwise ? std::get<std::string>(default_of(key).value) : "";
}

double Settings::number(const std::string& section, const std::string& name) const {
    const Key& key = need_key(section, name);
    const Node* found = find(section, name);
    const Node node = found ? *found : default_of(key);
    const auto whole = std::get_if<std::int64_t>(&node.value);
    return whole ? static_cast<double>(*whole) : std::get<double>(node.value);
}

std::int64_t Settings::whole(const std::string& section, const std::string& name) const {
    return static_cast<std::int64_t>(number(section, name));
}

std::vector<std::string> Settings::list(const std::string& section, const std::string& name) const {
    const Key& key = need_key(section, name);
    const Node* found = find(section, name);
    const Node node = found ? *found : default_of(key);
    std::vector<std::string> all;
    for (const Node& item : std::get<Node::List>(node.value))
        all.push_back(std::get<std::string>(item.value));
    return all;
}

std::map<std::string, std::string> Settings::named(const std::string& section,
                                                   const std::string& name) const {
    need_key(section, name);
    std::map<std::string, std::string> all;
    if (const Node* node = find(section, name))
        for (const auto& [key, item] : std::get<Node::Table>(node->value))
            all[key] = std::get<std::string>(item.value);
    return all;
}

std::string Settings::where(const std::string& section, const std::string& name) const {
    const Node* node = find(section, name);
    const SourceLocation at = node ? node->place : SourceLocation{1, 1};
    return fmt::format("{}:{}:{}: {}", file_, at.line, at.column, full_name(section, name));
}

std::string keys_as_markdown() {
    std::string page =
        "# The operator's file\n\n"
        "Written by `sumackeel keys` from the table in `src/config/keys.cpp`; a test keeps both alike. The "
        "file is "
        "TOML, read\nstrictly: what the table does not list is a fault, named with its line and column. "
        "`sumackeel "
        "check-config` lists all\nfaults of a file. The JSON form of earlier versions is still read, with a "
        "warning, "
        "and goes with the next version.\n";
    for (const SectionDoc& section : sections()) {
        page += *section.name ? fmt::format("\n## [{}]\n\n{}\n\n", section.name, section.doc)
                              : fmt::format("\n## {}\n\n", section.doc);
        page += "| key | type | range | default | what it is for |\n| --- | --- | --- | --- | --- |\n";
        for (const Key& key : keys())
            if (std::string_view(section.name) == key.section && *key.doc)
                page +=
                    fmt::format("| `{}` | {} | {} | {} | {} |\n", key.name, name_of(key.type), range_of(key),
                                key.required     ? "required"
                                : *key.otherwise ? fmt::format("`{}`", key.otherwise)
                                                 : "none",
                                key.doc);
    }
    return page;
}

}  // namespace sumackeel::config
