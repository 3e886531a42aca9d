// The store's JSON: records and snapshots, on disk and between members.
#pragma once

#include <json/json.h>

#include <string>

#include "store/log.h"

namespace sumackeel::store {

std::string to_line(const Json::Value& value);   // without the line's end
Json::Value from_line(const std::string& line);  // throws StoreError
Json::Value write_record(const Record& record);
Record read_record(const Json::Value& value);  // throws StoreError
Json::Value write_snapshot(const Snapshot& snapshot);
Snapshot read_snapshot(const Json::Value& value);                 // throws StoreError
std::int64_t whole(const Json::Value& object, const char* name);  // throws StoreError
std::string text(const Json::Value& object, const char* name);    // throws StoreError

}  // namespace sumackeel::store
