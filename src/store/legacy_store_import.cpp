#include "store/legacy_store_import.h"

#include <fmt/format.h>
#include <json/json.h>
#include <openssl/evp.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "config/config.h"

namespace sumackeel::store {

namespace {

constexpr std::size_t kChecksumLength = 16;

std::string checksum_of(const std::string& text) {
    unsigned char digest[EVP_MAX_MD_SIZE];
    EVP_Digest(text.data(), text.size(), digest, nullptr, EVP_sha256(), nullptr);
    std::string checksum;
    for (std::size_t i = 0; i < kChecksumLength / 2; ++i) checksum += fmt::format("{:02x}", digest[i]);
    return checksum;
}

// Parses a line (without its newline) of checksum, space and JSON object. No value if the checksum does not
// match.
std::optional<Json::Value> parse_checksummed_line(const std::string& line) {
    if (line.size() <= kChecksumLength + 1 || line[kChecksumLength] != ' ') return std::nullopt;
    const std::string text = line.substr(kChecksumLength + 1);
    if (checksum_of(text) != line.substr(0, kChecksumLength)) return std::nullopt;
    try {
        Json::Value value = config::parse(text, "store");
        if (value.isObject()) return value;
    } catch (const config::ConfigError&) {
    }
    return std::nullopt;
}

std::int64_t integer_field(const Json::Value& object, const char* name) {
    if (!object[name].isInt64()) throw StoreError(std::string(name) + " is no whole number");
    return object[name].asInt64();
}

std::string text_field(const Json::Value& object, const char* name) {
    if (!object.isObject() || !object[name].isString()) throw StoreError(std::string(name) + " is no text");
    return object[name].asString();
}

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

std::optional<Json::Value> read_checksummed_file(const std::string& path) {
    if (!std::filesystem::exists(path)) return std::nullopt;
    std::string line = read_file(path);
    if (!line.empty() && line.back() == '\n') line.pop_back();
    auto value = parse_checksummed_line(line);
    if (!value) throw StoreError(path + ": its checksum does not hold");
    return value;
}

}  // namespace

bool has_legacy_store(const std::string& folder) {
    return std::filesystem::exists(folder + "/log") || std::filesystem::exists(folder + "/snapshot");
}

LegacyStore read_legacy_store(const std::string& folder) {
    LegacyStore old;
    std::int64_t last = 0;
    if (const auto promise = read_checksummed_file(folder + "/promise"))
        old.leader = text_field(*promise, "leader");
    if (const auto snapshot = read_checksummed_file(folder + "/snapshot")) {
        last = integer_field(*snapshot, "seq");
        if (!(*snapshot)["keys"].isObject()) throw StoreError("keys is no object");
        for (const std::string& key : (*snapshot)["keys"].getMemberNames())
            old.values[key] = text_field((*snapshot)["keys"][key], "value");
    }
    const std::string content = read_file(folder + "/log");
    for (std::size_t position = 0; position < content.size();) {
        const auto end = content.find('\n', position);
        const auto record = end == std::string::npos
                                ? std::nullopt
                                : parse_checksummed_line(content.substr(position, end - position));
        if (!record) {
            // A bad record that is not the last one was once acknowledged; skipping it would lose it.
            if (end == std::string::npos || end + 1 == content.size()) break;
            throw StoreError(folder + "/log: a record's checksum does not hold");
        }
        position = end + 1;
        const std::int64_t sequence = integer_field(*record, "seq");
        if (sequence <= last && old.records == 0) continue;  // already part of the snapshot
        if (sequence != last + 1) throw StoreError(folder + "/log: a record is missing");
        last = sequence, ++old.records;
        old.values[text_field(*record, "key")] = text_field(*record, "value");
    }
    return old;
}

}  // namespace sumackeel::store
