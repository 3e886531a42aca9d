// Signed tokens: JWS in compact form with the algorithm pinned by the key, and encrypted subjects.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/operator.h"

struct _cjose_jwk_int;

namespace sumackeel::signed_url_server {

// The claims that are looked at. Times are Unix seconds; absent ones are empty.
struct Claims {
    std::string issuer, subject, id, container;
    std::string kid;  // of the key that the signature holds under
    std::vector<std::string> audience, critical;
    std::optional<double> expires, not_before;
    std::optional<std::int64_t> version;
    bool has_address = false;  // cdniip
    bool renews = false;       // cdnistt other than 0
};

class Keys {
  public:
    explicit Keys(const std::vector<config::KeyFile>& files);  // throws ConfigError on an unusable key
    ~Keys();
    Keys(const Keys&) = delete;
    Keys& operator=(const Keys&) = delete;

    // The claims of a token whose signature holds under a key of this purpose; nothing for any other token.
    // `now` in Unix seconds decides which keys are in use.
    std::optional<Claims> verify(std::string_view token, config::Purpose purpose, double now) const;
    // The subject out of its JWE form; nothing where it can't be read.
    std::optional<std::string> decrypt(std::string_view token, double now) const;

    // For sign-url and the tests. Throw ConfigError where the key is not there or can't be used so.
    std::string sign(const std::string& kid, const std::string& payload) const;
    std::string encrypt(const std::string& kid, const std::string& text) const;

  private:
    struct Key {
        config::KeyFile file;
        _cjose_jwk_int* jwk = nullptr;
    };
    const Key* find(const std::string& kid, const std::string& alg, config::Purpose purpose,
                    double now) const;
    const Key& by_kid(const std::string& kid) const;

    std::vector<Key> keys_;
};

// Alike for equal lengths, whatever the bytes.
bool same_secret(std::string_view a, std::string_view b);

}  // namespace sumackeel::signed_url_server
