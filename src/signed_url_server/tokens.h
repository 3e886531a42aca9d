// Signed tokens and encrypted subjects: compact JWS and JWE, with the algorithm fixed by the key.
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

// The claims that are evaluated. Times are Unix seconds; absent claims are empty.
struct Claims {
    std::string issuer, subject, id, uri_container;
    std::string kid;  // of the key that verified the signature
    std::vector<std::string> audience, critical;
    std::optional<double> expires, not_before;
    std::optional<std::int64_t> version;
    bool has_client_ip = false;  // cdniip
    bool is_renewable = false;   // cdnistt other than 0
};

class Keys {
  public:
    explicit Keys(const std::vector<config::KeyFile>& files);  // throws ConfigError on an unusable key
    ~Keys();
    Keys(const Keys&) = delete;
    Keys& operator=(const Keys&) = delete;

    // The claims of a token with a valid signature by a key of this purpose; nothing for any other token.
    // Only keys valid at `now` (Unix seconds) are used.
    std::optional<Claims> verify(std::string_view token, config::Purpose purpose, double now) const;
    // Decrypts a subject in JWE form; nothing if that fails.
    std::optional<std::string> decrypt(std::string_view token, double now) const;

    // For sign-url and the tests. Both throw ConfigError if the key is missing or does not support the
    // operation.
    std::string sign(const std::string& kid, const std::string& payload) const;
    std::string encrypt(const std::string& kid, const std::string& text) const;

  private:
    struct Key {
        config::KeyFile file;
        _cjose_jwk_int* jwk = nullptr;
    };
    const Key* find_key(const std::string& kid, const std::string& alg, config::Purpose purpose,
                        double now) const;
    const Key& find_by_kid(const std::string& kid) const;

    std::vector<Key> keys_;
};

// Compares in a time that depends on the lengths only, not on the bytes.
bool equal_constant_time(std::string_view a, std::string_view b);

}  // namespace sumackeel::signed_url_server
