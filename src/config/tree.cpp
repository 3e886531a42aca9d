#include "config/tree.h"

#include <fmt/format.h>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>

#include "config/read.h"

namespace sumackeel::config {

namespace {

SourceLocation place_of(const toml::source_position& at) {
    return {static_cast<int>(at.line), static_cast<int>(at.column)};
}

Node node_of(const toml::node& from, const std::string& file) {
    Node node;
    node.place = place_of(from.source().begin);
    switch (from.type()) {
        case toml::node_type::table: {
            Node::Table table;
            for (const auto& [key, value] : *from.as_table()) {
                Node& into = table[std::string(key.str())];
                into = node_of(value, file);
                into.key_place = place_of(key.source().begin);
            }
            node.value = std::move(table);
            break;
        }
        case toml::node_type::array: {
            Node::List list;
            for (const toml::node& item : *from.as_array()) list.push_back(node_of(item, file));
            node.value = std::move(list);
            break;
        }
        case toml::node_type::string:
            node.value = from.as_string()->get();
            break;
        case toml::node_type::integer:
            node.value = from.as_integer()->get();
            break;
        case toml::node_type::floating_point:
            node.value = from.as_floating_point()->get();
            break;
        case toml::node_type::boolean:
            node.value = from.as_boolean()->get();
            break;
        default:
            bad(fmt::format("{}:{}:{}", file, node.place.line, node.place.column),
                "dates and times are no settings");
    }
    return node;
}

SourceLocation place_in(const std::string& text, std::ptrdiff_t offset) {
    const auto end = text.begin() + std::clamp<std::ptrdiff_t>(offset, 0, std::ssize(text));
    const auto last = std::find(std::make_reverse_iterator(end), text.rend(), '\n').base();
    return {1 + static_cast<int>(std::count(text.begin(), end, '\n')), 1 + static_cast<int>(end - last)};
}

Node node_of(const Json::Value& from, const std::string& text) {
    Node node;
    node.place = node.key_place = place_in(text, from.getOffsetStart());
    if (from.isBool()) {
        node.value = from.asBool();
    } else if (from.isString()) {
        node.value = from.asString();
    } else if (from.isInt64()) {
        node.value = static_cast<std::int64_t>(from.asInt64());
    } else if (from.isNumeric()) {
        node.value = from.asDouble();
    } else if (from.isArray()) {
        Node::List list;
        for (const Json::Value& item : from) list.push_back(node_of(item, text));
        node.value = std::move(list);
    } else if (from.isObject()) {
        Node::Table table;
        for (const std::string& key : from.getMemberNames()) table[key] = node_of(from[key], text);
        node.value = std::move(table);
    }
    return node;
}

}  // namespace

const char* name_of_type(const Node& node) {
    constexpr const char* kNames[] = {"nothing",  "true or false", "a whole number", "a number",
                                      "a string", "a list",        "a table"};
    return kNames[node.value.index()];
}

Node read_toml(const std::string& text, const std::string& file) {
    try {
        return node_of(toml::parse(text, file), file);
    } catch (const toml::parse_error& wrong) {
        const SourceLocation at = place_of(wrong.source().begin);
        std::string what(wrong.description());
        std::replace(what.begin(), what.end(), '\n', ' ');
        bad(fmt::format("{}:{}:{}", file, at.line, at.column), what);
    }
}

Node read_json(const std::string& text, const std::string& file) {
    const Json::Value root = parse(text, file);
    if (!root.isObject()) bad(file + ":1:1", "not an object");
    return node_of(root, text);
}

}  // namespace sumackeel::config
