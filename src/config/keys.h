// The one table of the operator's keys: name, type, range, default and what it is for. It checks files, gives
// the defaults and writes docs/configuration.md.
#pragma once

#include <string>
#include <vector>

#include "config/config.h"
#include "config/tree.h"

namespace sumackeel::config {

enum class Type {
    text,       // a string, not empty
    word,       // one of the words that `words` lists
    path,       // a file or folder; taken from the operator's file's own folder unless it begins with /
    address,    // IPv4 address and port, "127.0.0.1:9090"
    addresses,  // a list of them
    texts,      // a list of strings
    whole,      // a whole number
    number,
    named_addresses  // a table of names with an address each
};

struct Key {
    const char* section;  // "" for the top
    const char* name;
    Type type;
    bool required;          // within its section
    double least, most;     // of numbers; of a list's length
    const char* otherwise;  // the default as written in TOML; "" where there is none
    const char* words;      // of Type::word, separated by blanks
    const char* doc;
};

struct SectionDoc {
    const char* name;
    const char* doc;
};

const std::vector<SectionDoc>& sections();
const std::vector<Key>& keys();

// A checked file: every value has its key's type and lies in its range.
class Settings {
  public:
    bool has(const std::string& section) const { return top_.contains(section); }
    // By section and key; the default where the file is silent. Asking for what the table does not list is a
    // fault of the program and throws std::logic_error.
    std::string text(const std::string& section, const std::string& name) const;
    double number(const std::string& section, const std::string& name) const;
    std::int64_t whole(const std::string& section, const std::string& name) const;
    std::vector<std::string> list(const std::string& section, const std::string& name) const;
    std::map<std::string, std::string> named(const std::string& section, const std::string& name) const;
    // "FILE:LINE:COLUMN: SECTION.NAME", for what is found wrong later.
    std::string where(const std::string& section, const std::string& name) const;

  private:
    friend Settings check(Node root, const std::string& file);
    const Node* find(const std::string& section, const std::string& name) const;

    Node::Table top_;
    std::string file_;
};

// All that is wrong with a file, a line each; what() is the first of them.
class ValidationErrors : public ConfigError {
  public:
    explicit ValidationErrors(std::vector<std::string> lines)
        : ConfigError(lines.size() == 1 ? lines.front()
                                        : lines.front() + " (and " + std::to_string(lines.size() - 1) +
                                              " more: see check-config)"),
          lines(std::move(lines)) {}
    std::vector<std::string> lines;
};

// Complaints as they are found, told in the order of the file.
class ValidationErrorCollector {
  public:
    explicit ValidationErrorCollector(std::string file) : file_(std::move(file)) {}
    void add(SourceLocation at, const std::string& what);
    void throw_if_any();  // throws Complaints unless there is none

  private:
    std::string file_;
    std::vector<std::pair<std::pair<int, int>, std::string>> lines_;
};

// Strict: unknown keys, wrong types, values out of range and missing ones are complained of. Throws
// Complaints.
Settings check(Node root, const std::string& file);

// The page that docs/configuration.md holds.
std::string keys_as_markdown();

}  // namespace sumackeel::config
