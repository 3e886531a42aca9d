#include "config/operator.h"

#include <json/json.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/read.h"

namespace sumackeel::config {

using Json::Value;

namespace {

std::string file_text(const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) bad(path, "can't be read");
    return text.str();
}

// A JWK set whose members each carry kid, alg and, as "purpose", what they are for.
std::vector<KeyFile> read_keys(const std::string& path) {
    const Value root = parse(file_text(path), path);
    if (!root.isObject() || !root["keys"].isArray()) bad(path, "keys is missing or not a list");
    std::vector<KeyFile> keys;
    for (const Value& item : root["keys"]) {
        KeyFile key;
        key.kid = need<std::string>(item, "kid", path);
        key.alg = need<std::string>(item, "alg", path);
        key.purpose = take_word<Purpose>(
            item, "purpose", "", path,
            {{"link", Purpose::link}, {"student", Purpose::student}, {"subject", Purpose::subject}});
        take(item, "not_before", key.not_before, path);
        take(item, "not_after", key.not_after, path);
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        key.jwk = Json::writeString(builder, item);
        keys.push_back(std::move(key));
    }
    return keys;
}

SignedFront read_signed_front(const Value& item, const std::filesystem::path& folder) {
    const std::string where = "signed_front";
    SignedFront front;
    front.listen = need<std::string>(item, "listen", where);
    front.host = need<std::string>(item, "host", where);
    front.audience = need<std::string>(item, "audience", where);
    take(item, "scheme", front.scheme, where);
    take(item, "link_issuers", front.link_issuers, where);
    take(item, "token_issuers", front.token_issuers, where);
    take(item, "leeway_s", front.leeway_s, where);
    take(item, "connections", front.connections, where);
    take(item, "retry_after_s", front.retry_after_s, where);
    take(item, "one_time", front.one_time, where);
    if (front.leeway_s < 0 || front.leeway_s > 60) bad(where + ".leeway_s", "not from 0 to 60");
    if (front.connections < 1) bad(where + ".connections", "under 1");
    if (front.retry_after_s < 1) bad(where + ".retry_after_s", "under 1");
    if (!front.one_time.empty() && front.one_time != "local" && front.one_time != "redis")
        bad(where + ".one_time", "unknown word '" + front.one_time + "'");
    front.keys = read_keys((folder / need<std::string>(item, "keys", where)).string());
    return front;
}

Store read_store(const Value& item, const std::filesystem::path& folder) {
    const std::string where = "store";
    Store store;
    store.name = need<std::string>(item, "name", where);
    store.listen = need<std::string>(item, "listen", where);
    store.primary = need<std::string>(item, "primary", where);
    store.folder = (folder / need<std::string>(item, "folder", where)).string();
    if (!item["members"].isObject()) bad(where + ".members", "missing or not an object");
    for (const std::string& name : item["members"].getMemberNames())
        store.members.push_back({name, need<std::string>(item["members"], name.c_str(), where + ".members")});
    for (const std::string& name : {store.name, store.primary})
        if (!item["members"].isMember(name)) bad(where + ".members", "'" + name + "' is not among them");
    return store;
}

}  // namespace

Operator load_operator(const std::string& path) {
    const Value root = parse(file_text(path), path);
    if (!root.isObject()) bad(path, "not an object");
    Operator result;
    take(root, "redis", result.redis, path);
    if (!root["store"].isNull())
        result.store = read_store(root["store"], std::filesystem::path(path).parent_path());
    if (!root["signed_front"].isNull())
        result.signed_front =
            read_signed_front(root["signed_front"], std::filesystem::path(path).parent_path());
    if (result.signed_front && result.signed_front->one_time == "redis" && result.redis.empty())
        bad(path, "one_time is redis, and redis is missing");
    return result;
}

}  // namespace sumackeel::config
