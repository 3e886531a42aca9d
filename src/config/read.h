// Reading single values out of JSON with plain words on what is wrong. Used below src/config only.
#pragma once

#include <json/json.h>

#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"

namespace sumackeel::config {

[[noreturn]] inline void bad(const std::string& where, const std::string& what) {
    throw ConfigError(where + ": " + what);
}

inline void read_as(const Json::Value& value, bool& into, const std::string& where) {
    if (!value.isBool()) bad(where, "not true or false");
    into = value.asBool();
}
inline void read_as(const Json::Value& value, double& into, const std::string& where) {
    if (!value.isNumeric() || !std::isfinite(value.asDouble())) bad(where, "not a number");
    into = value.asDouble();
}
inline void read_as(const Json::Value& value, std::int64_t& into, const std::string& where) {
    if (value.isInt64())
        into = value.asInt64();
    else if (value.isDouble() && std::abs(value.asDouble()) < 9e18)
        into = std::llround(value.asDouble());
    else
        bad(where, "not a whole number");
}
inline void read_as(const Json::Value& value, int& into, const std::string& where) {
    if (!value.isInt()) bad(where, "not a whole number");
    into = value.asInt();
}
inline void read_as(const Json::Value& value, std::string& into, const std::string& where) {
    if (!value.isString()) bad(where, "not text");
    into = value.asString();
}
template <typename T>
void read_as(const Json::Value& value, std::vector<T>& into, const std::string& where) {
    if (!value.isArray()) bad(where, "not a list");
    into.clear();
    for (const Json::Value& item : value) {
        T one{};
        read_as(item, one, where);
        into.push_back(one);
    }
}

// A value that may be absent; unknown ones are never looked at.
template <typename T>
void take(const Json::Value& object, const char* key, T& into, const std::string& where) {
    if (!object.isObject()) bad(where, "not an object");
    const Json::Value& value = object[key];
    if (!value.isNull()) read_as(value, into, where + '.' + key);
}

template <typename T>
T need(const Json::Value& object, const char* key, const std::string& where) {
    if (!object.isObject() || object[key].isNull()) bad(where, std::string(key) + " is missing");
    T value{};
    take(object, key, value, where);
    return value;
}

template <typename T>
T take_word(const Json::Value& object, const char* key, const std::string& otherwise,
            const std::string& where, std::initializer_list<std::pair<const char*, T>> words) {
    std::string text = otherwise;
    take(object, key, text, where);
    for (const auto& [word, value] : words)
        if (text == word) return value;
    bad(where + '.' + key, "unknown word '" + text + "'");
}

}  // namespace sumackeel::config
