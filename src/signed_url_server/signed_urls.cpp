#include "signed_url_server/signed_urls.h"

#include <json/json.h>
#include <openssl/evp.h>
#include <regex.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace sumackeel::signed_url_server {

using config::Purpose;

namespace {

constexpr std::string_view kPackageParameter = "URISigningPackage";
constexpr std::size_t kMaxContainerBytes = 512;
constexpr std::int64_t kVersion = 1;

bool contains(const std::vector<std::string>& list, const std::string& item) {
    return std::find(list.begin(), list.end(), item) != list.end();
}

// Without escapes and dot segments a target has only one spelling, which is the one that was signed.
bool is_plain_segment(std::string_view text) {
    return !text.empty() && text.size() <= 64 && text != "." && text != ".." &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return c < 0x80 && (std::isalnum(c) || c == '-' || c == '_' || c == '.');
           });
}

template <typename T>
bool read_number(std::string_view text, T& into) {
    const auto read = std::from_chars(text.data(), text.data() + text.size(), into);
    return read.ec == std::errc{} && read.ptr == text.data() + text.size();
}

std::string base64url(const unsigned char* bytes, std::size_t length) {
    static constexpr char kBase64UrlAlphabet[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    std::string text;
    for (std::size_t i = 0; i < length; i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, length - i);
        for (std::size_t j = 0; j < 3; ++j) group = group << 8 | (j < count ? bytes[i + j] : 0);
        for (std::size_t j = 0; j <= count; ++j) text += kBase64UrlAlphabet[group >> (18 - 6 * j) & 63];
    }
    return text;
}

// The hash of a URI in the segment form of RFC 6920.
std::string hash_segment(const std::string& uri) {
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    EVP_Digest(uri.data(), uri.size(), digest, &length, EVP_sha256(), nullptr);
    return "sha-256;" + base64url(digest, length);
}

// The pattern has to match the whole URI: a match of a part would allow other paths.
bool matches_whole(const std::string& pattern, const std::string& uri) {
    if (pattern.size() > kMaxContainerBytes) return false;
    regex_t regex;
    if (regcomp(&regex, pattern.c_str(), REG_EXTENDED) != 0) return false;
    regmatch_t match{};
    const bool found = regexec(&regex, uri.c_str(), 1, &match, 0) == 0;
    regfree(&regex);
    return found && match.rm_so == 0 && match.rm_eo == static_cast<regoff_t>(uri.size());
}

std::string to_text(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

}  // namespace

bool parse_target(std::string_view text, Target& target) {
    const auto query_start = std::min(text.find('?'), text.size());
    std::string_view path = text.substr(0, query_start),
                     query = text.substr(std::min(query_start + 1, text.size()));
    target.path = path;
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view parameter = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = std::min(parameter.find('='), parameter.size());
        const std::string_view name = parameter.substr(0, equals),
                               value = parameter.substr(std::min(equals + 1, parameter.size()));
        if (name == kPackageParameter) {
            if (!target.package.empty()) return false;  // a second one would be ambiguous
            target.package = value;
            continue;
        }
        const bool valid = name == "set" ? target.group < 0 && read_number(value, target.group) &&
                                               target.group >= 0 && target.group <= 255
                           : name == "need" ? read_number(value, target.size_kb) && target.size_kb >= 0 &&
                                                  std::isfinite(target.size_kb)
                                            : false;
        if (!valid) return false;
        target.query += (target.query.empty() ? "" : "&") + std::string(parameter);
    }
    if (path.empty() || path.front() != '/') return false;
    path.remove_prefix(1);
    std::vector<std::string_view> segments;
    for (;;) {
        const auto end = std::min(path.find('/'), path.size());
        segments.push_back(path.substr(0, end));
        if (end == path.size()) break;
        path.remove_prefix(end + 1);
    }
    if (segments.size() < 2 || segments.size() > 3 || !is_plain_segment(segments[0]) ||
        !is_plain_segment(segments[1]))
        return false;
    target.service = segments[0];
    target.object = segments[1];
    return segments.size() == 2 || (read_number(segments[2], target.part) && target.part >= 0);
}

std::string LinkVerifier::uri(const Target& target) const {
    return config_.scheme + "://" + config_.host + target.path +
           (target.query.empty() ? "" : "?" + target.query);
}

// A live setting overrides the operator's file, within the same bounds.
double LinkVerifier::leeway() const {
    const auto live = live_ ? live_("setting/leeway_s") : std::nullopt;
    double seconds = 0;
    return live && read_number(*live, seconds) && seconds >= 0 && seconds <= 60 ? seconds : config_.leeway_s;
}

bool LinkVerifier::is_key_enabled(const std::optional<Claims>& claims) const {
    return claims && !(live_ && live_("key/" + claims->kid) == "off");
}

bool LinkVerifier::is_current(const Claims& claims, double now) const {
    return claims.expires && now < *claims.expires + leeway() &&
           (!claims.not_before || now >= *claims.not_before - leeway());
}

bool LinkVerifier::has_our_audience(const Claims& claims) const {
    return contains(claims.audience, config_.audience);
}

std::string LinkVerifier::link_error(const Claims& link, const Target& target, double now) const {
    if (link.version.value_or(kVersion) != kVersion) return "the link is of another version";
    static const std::vector<std::string> supported{"iss", "sub", "aud",    "exp",
                                                    "nbf", "jti", "cdniuc", "cdniv"};
    for (const std::string& claim : link.critical)
        if (!contains(supported, claim)) return "the link demands what is not supported";
    if (link.has_client_ip || link.is_renewable) return "the link demands what is not supported";
    if (!contains(config_.link_issuers, link.issuer)) return "the link is from an unknown issuer";
    if (!has_our_audience(link)) return "the link is for another service";
    if (!is_current(link, now)) return "the link has expired or is not yet good";
    const std::string full_uri = uri(target);
    const bool matches_uri =
        link.uri_container.starts_with("hash:")    ? link.uri_container.substr(5) == hash_segment(full_uri)
        : link.uri_container.starts_with("regex:") ? matches_whole(link.uri_container.substr(6), full_uri)
                                                   : false;
    return matches_uri ? "" : "the link is for another path";
}

LinkCheck LinkVerifier::check(const Target& target, std::string_view bearer, bool has_side_effects,
                              double now) const {
    const auto student = keys_.verify(bearer, Purpose::student, now);
    if (!is_key_enabled(student) || student->subject.empty() ||
        !contains(config_.token_issuers, student->issuer) || !has_our_audience(*student) ||
        !is_current(*student, now))
        return {401, bearer.empty() ? "a student's token is needed" : "the token does not hold", {}, 0};
    const auto link = keys_.verify(target.package, Purpose::link, now);
    if (!is_key_enabled(link))
        return {403, target.package.empty() ? "a signed link is needed" : "the link does not hold", {}, 0};
    if (const std::string error = link_error(*link, target, now); !error.empty()) return {403, error, {}, 0};
    const auto subject = keys_.decrypt(link->subject, now);
    if (!subject || !equal_constant_time(*subject, student->subject))
        return {403, "the link is another student's", {}, 0};
    if (live_ && !link->id.empty() && live_("revoked/" + link->id))
        return {403, "the link was revoked", {}, 0};
    if (has_side_effects && link->id.empty()) return {403, "this needs a link for one use", {}, 0};
    LinkCheck result;
    if (!link->id.empty()) {
        result.one_time_id = link->issuer + '\n' + link->id;
        result.one_time_expires_at = *link->expires + leeway();
    }
    return result;
}

std::string LinkVerifier::sign(const Target& target, const std::string& link_kid,
                               const std::string& subject_kid, const std::string& student, double expires,
                               const std::string& jti) const {
    Json::Value claims(Json::objectValue);
    claims["iss"] = config_.link_issuers.empty() ? "" : config_.link_issuers.front();
    claims["aud"] = config_.audience;
    claims["sub"] = keys_.encrypt(subject_kid, student);
    claims["exp"] = expires;
    claims["cdniv"] = Json::Int64{kVersion};
    claims["cdniuc"] = "hash:" + hash_segment(uri(target));
    if (!jti.empty()) claims["jti"] = jti;
    return uri(target) + (target.query.empty() ? "?" : "&") + std::string(kPackageParameter) + '=' +
           keys_.sign(link_kid, to_text(claims));
}

std::string LinkVerifier::student_token(const std::string& kid, const std::string& student,
                                        double expires) const {
    Json::Value claims(Json::objectValue);
    claims["iss"] = config_.token_issuers.empty() ? "" : config_.token_issuers.front();
    claims["aud"] = config_.audience;
    claims["sub"] = student;
    claims["exp"] = expires;
    return keys_.sign(kid, to_text(claims));
}

}  // namespace sumackeel::signed_url_server
