// Verifies signed URLs (RFC 9246) and the student token sent with them, before a request reaches the core.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "config/operator.h"
#include "signed_url_server/tokens.h"

namespace sumackeel::signed_url_server {

// A parsed request target: /CLASS/OBJECT/PART?set=17&need=412.5, with or without a signature.
struct Target {
    std::string path, query;  // without the URISigningPackage parameter
    std::string package;
    std::string service, object;
    int part = 0, group = -1;
    double size_kb = 0;
};

// False: not a valid target.
bool parse_target(std::string_view text, Target& target);

struct LinkCheck {
    int status = 0;  // 0: allowed; 401 or 403: denied
    std::string reason;
    std::string one_time_id;         // the id of a link for one use; empty: any number of uses
    double one_time_expires_at = 0;  // Unix seconds; the id need not be stored for longer
};

// Looks up what operators set at run time: revoked/JTI, key/KID (off), setting/leeway_s,
// setting/retry_after_s.
using LiveSettings = std::function<std::optional<std::string>(const std::string& key)>;

class LinkVerifier {
  public:
    explicit LinkVerifier(const config::SignedUrlServer& server_config, LiveSettings live = {})
        : config_(server_config), live_(std::move(live)), keys_(server_config.keys) {}

    // `bearer`: the student token. `has_side_effects`: the request changes state, so it needs a link for one
    // use.
    LinkCheck check(const Target& target, std::string_view bearer, bool has_side_effects, double now) const;

    // Signs a link for one student. `jti` empty: for any number of uses until it expires.
    std::string sign(const Target& target, const std::string& link_kid, const std::string& subject_kid,
                     const std::string& student, double expires, const std::string& jti) const;
    // Issues a student token, for trials and tests.
    std::string student_token(const std::string& kid, const std::string& student, double expires) const;

  private:
    std::string link_error(const Claims& link, const Target& target, double now) const;
    std::string uri(const Target& target) const;
    bool is_key_enabled(const std::optional<Claims>& claims) const;
    double leeway() const;
    bool is_current(const Claims& claims, double now) const;
    bool has_our_audience(const Claims& claims) const;

    const config::SignedUrlServer& config_;
    LiveSettings live_;
    Keys keys_;
};

}  // namespace sumackeel::signed_url_server
