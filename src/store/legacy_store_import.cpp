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

constexpr std::size_t kSumLength = 16;

std::string sum_of(const std::string& text) {
    unsigned char digest[EVP_MAX_MD_SIZE];
    EVP_Digest(text.data(), text.size(), digest, nullptr, EVP_sha256(), nullptr);
    std::string sum;
    for (std::size_t i = 0; i < kSumLength / 2; ++i) sum += fmt::format("{:02x}", digest[i]);
    return sum;
}

// The object of a sealed line without its end; nothing if the seal does not hold.
std::optional<Json::Value> unsealed(const std::string& line) {
    if (line.size() <= kSumLength + 1 || line[kSumLength] != ' ') return std::nullopt;
    const std::string text = line.substr(kSumLength + 1);
    if (sum_of(text) != line.substr(0, kSumLength)) return std::nullopt;
    try {
        Json::Value value = config::parse(text, "store");
        if (value.isObject()) return value;
    } catch (const config::ConfigError&) {
    }
    return std::nullopt;
}

std::int64_t whole(const Json::Value& object, const char* name) {
    if (!object[name].isInt64()) throw StoreError(std::string(name) + " is no whole number");
    return object[name].asInt64();
}

std::string text(const Json::Value& object, const char* name) {
    if (!object.isObject() || !object[name].isString()) throw StoreError(std::string(name) + " is no text");
    return object[name].asString();
}

std::string all_of(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream all;
    all << file.rdbuf();
    return all.str();
}

std::optional<Json::Value> sealed_file(const std::string& path) {
    if (!std::filesystem::exists(path)) return std::nullopt;
    std::string line = all_of(path);
    if (!line.empty() && line.back() == '\n') line.pop_back();
    auto value = unsealed(line);
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
    if (const auto promise = sealed_file(folder + "/promise")) old.leader = text(*promise, "leader");
    if (const auto snapshot = sealed_file(folder + "/snapshot")) {
        last = whole(*snapshot, "seq");
        if (!(*snapshot)["keys"].isObject()) throw StoreError("keys is no object");
        for (const std::string& key : (*snapshot)["keys"].getMemberNames())
            old.values[key] = text((*snapshot)["keys"][key], "value");
    }
    const std::string all = all_of(folder + "/log");
    for (std::size_t at = 0; at < all.size();) {
        const auto end = all.find('\n', at);
        const auto record = end == std::string::npos ? std::nullopt : unsealed(all.substr(at, end - at));
        if (!record) {
            // Danger: a bad record in the middle was once acknowledged; to go on without it would lose it.
            if (end == std::string::npos || end + 1 == all.size()) break;
            throw StoreError(folder + "/log: a record's checksum does not hold");
        }
        at = end + 1;
        const std::int64_t seq = whole(*record, "seq");
        if (seq <= last && old.records == 0) continue;  // from before the snapshot
        if (seq != last + 1) throw StoreError(folder + "/log: a record is missing");
        last = seq, ++old.records;
        old.values[text(*record, "key")] = text(*record, "value");
    }
    return old;
}

}  // namespace sumackeel::store
