// The front for signed links: HTTP/1.1 requests, checked at the gate, to requests of the core.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "base/slot_map.h"
#include "config/config.h"
#include "config/operator.h"
#include "core/core.h"
#include "core/one_time_tokens.h"
#include "net/connection_manager.h"
#include "signed_url_server/signed_urls.h"

namespace sumackeel::signed_url_server {

class SignedUrlServer : core::ResponseSink {
  public:
    // `one_time` may be null: then nothing that holds for one use only is let in.
    SignedUrlServer(net::Loop& loop, core::Core& core, const config::Site& site,
                    const config::SignedUrlServer& setup, core::OneTimeTokens* one_time, std::uint64_t seed,
                    LiveSettings live = {});

    int port() const { return connection_manager_.port(); }
    void stop_listening() { connection_manager_.stop_listening(false); }
    // On a drain or at the end; `drain`: the one that is on, or none.
    void set_draining(bool on, const admin::DrainSchedule& drain);
    void close_all_idle() { connection_manager_.close_all_idle(); }
    bool has_pending_input() const { return connection_manager_.has_pending_input(); }
    std::size_t connection_count() const { return connection_manager_.connection_count(); }
    // The process is being shut down, and ends at `exit_at`.
    void shut_down(base::Micros exit_at) {
        leaving_ = true;
        connection_manager_.set_exit_deadline(exit_at);
    }
    // Keys, issuers, names and limits from now on; what was let in before goes on.
    void update_config(const config::SignedUrlServer& setup);
    bool has_unsent_responses() const { return connection_manager_.unsent_bytes() > 0; }
    const net::ConnectionManager& connection_manager() const { return connection_manager_; }  // for figures

  private:
    struct Client;
    struct Open {
        std::uint64_t client = 0;
        std::string once;  // to be given back if the request is refused
    };
    struct Answer {
        int status = 0;
        std::string headers, body;
    };

    void on_response(std::uint64_t cookie, core::Response reply) override;
    void asked(Client& client);
    std::string read_ask(const Client& client, const Target& target, core::Request& ask, int& status) const;
    void enter(base::Handle ours, core::Request ask);
    void once_known(base::Handle ours, core::Request ask, core::TokenUse use);
    void problem(Client& client, int status, const std::string& detail);
    Answer problem_of(int status, const std::string& detail) const;
    void write(Client& client, const Answer& answer, bool last);
    void reply(Client& client, const Answer& answer);
    bool is_last(const Client& client) const;
    void hurry(Client& client);
    double now_s() const;
    int retry_after() const;

    net::Loop& loop_;
    core::Core& core_;
    const config::Site& site_;
    config::SignedUrlServer setup_;
    LiveSettings live_;
    std::unique_ptr<LinkVerifier> gate_;
    core::OneTimeTokens* one_time_;
    std::mt19937_64 ids_;
    base::SlotMap<Open> open_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // outlived by answers on one-time use
    bool leaving_ = false;
    net::ConnectionManager connection_manager_;
};

}  // namespace sumackeel::signed_url_server
