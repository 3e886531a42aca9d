#include "store/text.h"

#include "config/config.h"

namespace sumackeel::store {

std::string to_line(const Json::Value& value) {
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder b;
        b["indentation"] = "";
        return b;
    }();
    return Json::writeString(builder, value);
}

Json::Value from_line(const std::string& line) {
    try {
        Json::Value value = config::parse(line, "store");
        if (value.isObject()) return value;
    } catch (const config::ConfigError&) {
    }
    throw StoreError("a line of the store is no object");
}

std::int64_t whole(const Json::Value& object, const char* name) {
    if (!object.isObject() || !object[name].isInt64())
        throw StoreError(std::string(name) + " is no whole number");
    return object[name].asInt64();
}

std::string text(const Json::Value& object, const char* name) {
    if (!object.isObject() || !object[name].isString()) throw StoreError(std::string(name) + " is no text");
    return object[name].asString();
}

Json::Value write_record(const Record& record) {
    Json::Value value;
    value["seq"] = Json::Int64{record.seq};
    value["epoch"] = Json::Int64{record.epoch};
    value["version"] = Json::Int64{record.version};
    value["key"] = record.key;
    value["value"] = record.value;
    return value;
}

Record read_record(const Json::Value& value) {
    return {whole(value, "seq"), whole(value, "epoch"), whole(value, "version"), text(value, "key"),
            text(value, "value")};
}

Json::Value write_snapshot(const Snapshot& snapshot) {
    Json::Value value;
    value["seq"] = Json::Int64{snapshot.place.seq};
    value["epoch"] = Json::Int64{snapshot.place.epoch};
    value["keys"] = Json::Value(Json::objectValue);
    for (const auto& [key, entry] : snapshot.state) {
        value["keys"][key]["version"] = Json::Int64{entry.version};
        value["keys"][key]["value"] = entry.value;
    }
    return value;
}

Snapshot read_snapshot(const Json::Value& value) {
    Snapshot snapshot{{whole(value, "epoch"), whole(value, "seq")}, {}};
    if (!value["keys"].isObject()) throw StoreError("keys is no object");
    for (const std::string& key : value["keys"].getMemberNames())
        snapshot.state[key] = {whole(value["keys"][key], "version"), text(value["keys"][key], "value")};
    return snapshot;
}

}  // namespace sumackeel::store
