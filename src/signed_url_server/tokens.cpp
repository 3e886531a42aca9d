#include "signed_url_server/tokens.h"

#include <cjose/cjose.h>
#include <json/json.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace sumackeel::signed_url_server {

using config::ConfigError;
using config::Purpose;

namespace {

constexpr std::size_t kMaxTokenBytes = 8 * 1024;

// Asymmetric and HMAC signatures. "none" is not in the list, so it is never accepted.
const std::set<std::string> kSigningAlgorithms{"HS256", "HS384", "HS512", "RS256",
                                               "PS256", "ES256", "ES384", "ES512"};
const std::set<std::string> kKeyManagementAlgorithms{"dir", "A128KW", "A256KW", "RSA-OAEP"};
constexpr const char* kContentEncryption = "A256GCM";

struct JwsDeleter {
    void operator()(cjose_jws_t* jws) const { cjose_jws_release(jws); }
};
struct JweDeleter {
    void operator()(cjose_jwe_t* jwe) const { cjose_jwe_release(jwe); }
};
struct HeaderDeleter {
    void operator()(cjose_header_t* header) const { cjose_header_release(header); }
};
struct BytesDeleter {
    void operator()(void* bytes) const { cjose_get_dealloc()(bytes); }
};
using Jws = std::unique_ptr<cjose_jws_t, JwsDeleter>;
using Jwe = std::unique_ptr<cjose_jwe_t, JweDeleter>;
using Header = std::unique_ptr<cjose_header_t, HeaderDeleter>;

std::string header_value(cjose_header_t* header, const char* name) {
    cjose_err err;
    const char* value = header ? cjose_header_get(header, name, &err) : nullptr;
    return value ? value : "";
}

// A token with critical extensions has to be rejected, as none are supported.
bool has_critical_extensions(cjose_header_t* header) {
    cjose_err err;
    const std::unique_ptr<char, BytesDeleter> value(header ? cjose_header_get_raw(header, "crit", &err)
                                                           : nullptr);
    return value != nullptr;
}

bool is_compact(std::string_view token, int dots) {
    return token.size() <= kMaxTokenBytes && std::count(token.begin(), token.end(), '.') == dots;
}

std::optional<std::string> as_string(const Json::Value& value) {
    if (!value.isString()) return std::nullopt;
    return value.asString();
}

bool read_string(const Json::Value& object, const char* name, std::string& into) {
    if (!object.isMember(name)) return true;
    const auto text = as_string(object[name]);
    if (text) into = *text;
    return text.has_value();
}

bool read_strings(const Json::Value& object, const char* name, bool allow_single,
                  std::vector<std::string>& into) {
    if (!object.isMember(name)) return true;
    const Json::Value& value = object[name];
    if (value.isString() && allow_single) return into.push_back(value.asString()), true;
    if (!value.isArray() || value.empty()) return false;
    for (const Json::Value& item : value) {
        if (!item.isString()) return false;
        into.push_back(item.asString());
    }
    return true;
}

bool read_time(const Json::Value& object, const char* name, std::optional<double>& into) {
    if (!object.isMember(name)) return true;
    if (!object[name].isNumeric() || !std::isfinite(object[name].asDouble())) return false;
    into = object[name].asDouble();
    return true;
}

// Nothing if a claim has the wrong type: guessing its meaning could grant access.
std::optional<Claims> read_claims(const std::string& payload) {
    Json::Value root;
    try {
        root = config::parse(payload, "token");
    } catch (const ConfigError&) {
        return std::nullopt;
    }
    if (!root.isObject()) return std::nullopt;
    Claims claims;
    const bool valid = read_string(root, "iss", claims.issuer) && read_string(root, "sub", claims.subject) &&
                       read_string(root, "jti", claims.id) &&
                       read_string(root, "cdniuc", claims.uri_container) &&
                       read_strings(root, "aud", true, claims.audience) &&
                       read_strings(root, "cdnicrit", false, claims.critical) &&
                       read_time(root, "exp", claims.expires) && read_time(root, "nbf", claims.not_before);
    if (!valid) return std::nullopt;
    if (root.isMember("cdniv")) {
        if (!root["cdniv"].isInt()) return std::nullopt;
        claims.version = root["cdniv"].asInt();
    }
    claims.has_client_ip = root.isMember("cdniip");
    claims.is_renewable =
        root.isMember("cdnistt") && !(root["cdnistt"].isInt() && root["cdnistt"].asInt() == 0);
    return claims;
}

}  // namespace

bool equal_constant_time(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

Keys::Keys(const std::vector<config::KeyFile>& files) {
    for (const config::KeyFile& file : files) {
        const auto& allowed =
            file.purpose == Purpose::subject ? kKeyManagementAlgorithms : kSigningAlgorithms;
        const bool duplicate =
            std::any_of(keys_.begin(), keys_.end(), [&](const Key& key) { return key.file.kid == file.kid; });
        cjose_err err;
        cjose_jwk_t* jwk = nullptr;
        if (!file.kid.empty() && !duplicate && allowed.contains(file.alg))
            jwk = cjose_jwk_import(file.jwk.data(), file.jwk.size(), &err);
        // Danger: with a public key used as an HMAC secret, anybody could sign.
        const bool is_symmetric = file.alg.starts_with("HS") || file.alg == "dir" || file.alg.ends_with("KW");
        const bool type_matches = jwk && (cjose_jwk_get_kty(jwk, &err) == CJOSE_JWK_KTY_OCT) == is_symmetric;
        const bool short_secret =
            type_matches && file.alg.starts_with("HS") && cjose_jwk_get_keysize(jwk, &err) < 256;
        if (type_matches && !short_secret) {
            keys_.push_back({file, jwk});
            continue;
        }
        if (jwk) cjose_jwk_release(jwk);
        for (Key& key : keys_) cjose_jwk_release(key.jwk);
        throw ConfigError("key '" + file.kid + "': not usable with " +
                          (file.alg.empty() ? "no alg" : file.alg));
    }
}

Keys::~Keys() {
    for (Key& key : keys_) cjose_jwk_release(key.jwk);
}

// The algorithm is fixed by the key; a token that names another one is rejected.
const Keys::Key* Keys::find_key(const std::string& kid, const std::string& alg, Purpose purpose,
                                double now) const {
    for (const Key& key : keys_) {
        if (key.file.kid != kid || key.file.alg != alg || key.file.purpose != purpose) continue;
        if (key.file.not_before > 0 && now < static_cast<double>(key.file.not_before)) continue;
        if (key.file.not_after > 0 && now >= static_cast<double>(key.file.not_after)) continue;
        return &key;
    }
    return nullptr;
}

const Keys::Key& Keys::find_by_kid(const std::string& kid) const {
    for (const Key& key : keys_)
        if (key.file.kid == kid) return key;
    throw ConfigError("no key '" + kid + "'");
}

std::optional<Claims> Keys::verify(std::string_view token, Purpose purpose, double now) const {
    if (!is_compact(token, 2)) return std::nullopt;
    cjose_err err;
    const Jws jws(cjose_jws_import(token.data(), token.size(), &err));
    if (!jws) return std::nullopt;
    cjose_header_t* header = cjose_jws_get_protected(jws.get());
    if (has_critical_extensions(header)) return std::nullopt;
    const Key* key =
        find_key(header_value(header, CJOSE_HDR_KID), header_value(header, CJOSE_HDR_ALG), purpose, now);
    if (!key || !cjose_jws_verify(jws.get(), key->jwk, &err)) return std::nullopt;
    std::uint8_t* plaintext = nullptr;
    std::size_t length = 0;
    if (!cjose_jws_get_plaintext(jws.get(), &plaintext, &length, &err)) return std::nullopt;
    auto claims = read_claims(std::string(reinterpret_cast<const char*>(plaintext), length));
    if (claims) claims->kid = key->file.kid;
    return claims;
}

std::optional<std::string> Keys::decrypt(std::string_view token, double now) const {
    if (!is_compact(token, 4)) return std::nullopt;
    cjose_err err;
    const Jwe jwe(cjose_jwe_import(token.data(), token.size(), &err));
    if (!jwe) return std::nullopt;
    cjose_header_t* header = cjose_jwe_get_protected(jwe.get());
    if (has_critical_extensions(header) || header_value(header, CJOSE_HDR_ENC) != kContentEncryption)
        return std::nullopt;
    const Key* key = find_key(header_value(header, CJOSE_HDR_KID), header_value(header, CJOSE_HDR_ALG),
                              Purpose::subject, now);
    if (!key) return std::nullopt;
    std::size_t length = 0;
    const std::unique_ptr<std::uint8_t, BytesDeleter> plaintext(
        cjose_jwe_decrypt(jwe.get(), key->jwk, &length, &err));
    if (!plaintext) return std::nullopt;
    return std::string(reinterpret_cast<const char*>(plaintext.get()), length);
}

std::string Keys::sign(const std::string& kid, const std::string& payload) const {
    const Key& key = find_by_kid(kid);
    cjose_err err;
    const Header header(cjose_header_new(&err));
    const bool header_complete = header &&
                                 cjose_header_set(header.get(), CJOSE_HDR_ALG, key.file.alg.c_str(), &err) &&
                                 cjose_header_set(header.get(), CJOSE_HDR_KID, kid.c_str(), &err);
    const char* text = nullptr;
    const Jws jws(header_complete ? cjose_jws_sign(key.jwk, header.get(),
                                                   reinterpret_cast<const std::uint8_t*>(payload.data()),
                                                   payload.size(), &err)
                                  : nullptr);
    if (!jws || !cjose_jws_export(jws.get(), &text, &err)) throw ConfigError("key '" + kid + "' can't sign");
    return text;
}

std::string Keys::encrypt(const std::string& kid, const std::string& plaintext) const {
    const Key& key = find_by_kid(kid);
    cjose_err err;
    const Header header(cjose_header_new(&err));
    const bool header_complete = header &&
                                 cjose_header_set(header.get(), CJOSE_HDR_ALG, key.file.alg.c_str(), &err) &&
                                 cjose_header_set(header.get(), CJOSE_HDR_ENC, kContentEncryption, &err) &&
                                 cjose_header_set(header.get(), CJOSE_HDR_KID, kid.c_str(), &err);
    const Jwe jwe(header_complete ? cjose_jwe_encrypt(key.jwk, header.get(),
                                                      reinterpret_cast<const std::uint8_t*>(plaintext.data()),
                                                      plaintext.size(), &err)
                                  : nullptr);
    const std::unique_ptr<char, BytesDeleter> text(jwe ? cjose_jwe_export(jwe.get(), &err) : nullptr);
    if (!text) throw ConfigError("key '" + kid + "' can't encrypt");
    return text.get();
}

}  // namespace sumackeel::signed_url_server
