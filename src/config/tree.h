// A settings file as a tree that knows where each value stands, whichever form the file has.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace sumackeel::config {

struct SourceLocation {
    int line = 0, column = 0;  // from 1; 0: not known
};

struct Node {
    using Table = std::map<std::string, Node>;
    using List = std::vector<Node>;
    std::variant<std::monostate, bool, std::int64_t, double, std::string, List, Table> value;
    SourceLocation place;      // of the value
    SourceLocation key_place;  // of its name, in a table
};

// Throw ConfigError naming `file`, line and column. The top is always a table.
Node read_toml(const std::string& text, const std::string& file);
Node read_json(const std::string& text, const std::string& file);

const char* name_of_type(const Node& node);

}  // namespace sumackeel::config
