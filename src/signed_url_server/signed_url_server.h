// The HTTP/1.1 server for signed URLs: verifies each request's link and token, and passes it to the core.
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
    // `one_time`: may be null; then requests with a link for one use are refused.
    SignedUrlServer(net::Loop& loop, core::Core& core, const config::Site& site,
                    const config::SignedUrlServer& server_config, core::OneTimeTokens* one_time,
                    std::uint64_t seed, LiveSettings live = {});

    int port() const { return connection_manager_.port(); }
    void stop_listening() { connection_manager_.stop_listening(false); }
    // Called when a drain starts or ends and at shutdown. `drain`: the drain in progress, or none.
    void set_draining(bool on, const admin::DrainSchedule& drain);
    void close_all_idle() { connection_manager_.close_all_idle(); }
    bool has_pending_input() const { return connection_manager_.has_pending_input(); }
    std::size_t connection_count() const { return connection_manager_.connection_count(); }
    // Called when a shutdown starts. `exit_at`: when the process exits.
    void shut_down(base::Micros exit_at) {
        shutting_down_ = true;
        connection_manager_.set_exit_deadline(exit_at);
    }
    // Replaces keys, issuers, names and limits for new requests; open requests are unaffected.
    void update_config(const config::SignedUrlServer& server_config);
    bool has_unsent_responses() const { return connection_manager_.write_memory() > 0; }
    const net::ConnectionManager& connection_manager() const { return connection_manager_; }  // for metrics

  private:
    struct Client;
    struct OpenRequest {
        std::uint64_t client = 0;
        std::string one_time_id;  // released if the request is rejected; empty: not a link for one use
    };
    struct HttpResponse {
        int status = 0;
        std::string headers, body;
    };

    void on_response(std::uint64_t cookie, core::Response response) override;
    void handle_request(Client& client);
    std::string decode_request(const Client& client, const Target& target, core::Request& request,
                               int& status) const;
    void submit(base::Handle entry, core::Request request);
    void on_token_use(base::Handle entry, core::Request request, core::TokenUse use);
    void send_problem(Client& client, int status, const std::string& detail);
    HttpResponse make_problem(int status, const std::string& detail) const;
    void write(Client& client, HttpResponse response, bool last);
    void send_response(Client& client, HttpResponse response);
    bool is_last(const Client& client) const;
    void set_drain_deadline(Client& client);
    void schedule_drain_deadlines();
    void for_each_busy_client(const std::function<void(Client&)>& handle);
    double now_s() const;
    int retry_after() const;

    net::Loop& loop_;
    core::Core& core_;
    const config::Site& site_;
    config::SignedUrlServer config_;
    LiveSettings live_;
    std::unique_ptr<LinkVerifier> verifier_;
    core::OneTimeTokens* one_time_;
    std::mt19937_64 ids_;
    base::SlotMap<OpenRequest> open_requests_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // checked by callbacks of one_time_
    bool shutting_down_ = false;
    net::ConnectionManager connection_manager_;
};

}  // namespace sumackeel::signed_url_server
