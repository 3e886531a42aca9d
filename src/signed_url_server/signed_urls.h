// Signed links (RFC 9246) and the student's token that goes with them: checked once, before the core.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "config/operator.h"
#include "signed_url_server/tokens.h"

namespace sumackeel::signed_url_server {

// A request's target, taken apart: /CLASS/OBJECT/PART?set=17&need=412.5, signed or not yet.
struct Target {
    std::string path, query;  // without the signing package
    std::string package;
    std::string service, object;
    int part = 0, group = -1;
    double size_kb = 0;
};

// False: not a target of this service.
bool parse_target(std::string_view text, Target& target);

struct LinkCheck {
    int status = 0;  // 0: let in; 401 or 403: not
    std::string reason;
    std::string one_time_id;         // to be used once at most under this name; empty: as often as wanted
    double one_time_expires_at = 0;  // the name need not be kept longer, Unix seconds
};

// What operators have set meanwhile: revoked/JTI, key/KID (off), setting/leeway_s, setting/retry_after_s.
using LiveSettings = std::function<std::optional<std::string>(const std::string& key)>;

class LinkVerifier {
  public:
    explicit LinkVerifier(const config::SignedUrlServer& front, LiveSettings live = {})
        : front_(front), live_(std::move(live)), keys_(front.keys) {}

    // `bearer` is the student's token. `effect`: the request has an effect, so its link is for one use.
    LinkCheck check(const Target& target, std::string_view bearer, bool effect, double now) const;

    // The signed form of a link for one student. `jti` empty: for any number of uses until it expires.
    std::string sign(const Target& target, const std::string& link_kid, const std::string& subject_kid,
                     const std::string& student, double expires, const std::string& jti) const;
    // A student's own token, for trying things out.
    std::string student_token(const std::string& kid, const std::string& student, double expires) const;

  private:
    std::string why_not_link(const Claims& link, const Target& target, double now) const;
    std::string uri(const Target& target) const;
    bool in_force(const std::optional<Claims>& claims) const;
    double leeway() const;
    bool in_time(const Claims& claims, double now) const;
    bool for_us(const Claims& claims) const;

    const config::SignedUrlServer& front_;
    LiveSettings live_;
    Keys keys_;
};

}  // namespace sumackeel::signed_url_server
