// JSON as one line, as operators' calls and commands give it.
#pragma once

#include <json/json.h>

#include <string>

namespace sumackeel::base {

inline std::string to_json_line(const Json::Value& root) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root) + "\n";
}

}  // namespace sumackeel::base
