// The front for signed links: HTTP/1.1 requests, checked at the gate, to requests of the core.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "base/slots.h"
#include "config/config.h"
#include "config/operator.h"
#include "core/core.h"
#include "core/one_time.h"
#include "front_signed/links.h"
#include "net/door.h"

namespace sumackeel::front_signed {

class Front : core::Asker {
  public:
    // `one_time` may be null: then nothing that holds for one use only is let in.
    Front(net::Loop& loop, core::Core& core, const config::Site& site, const config::SignedFront& setup,
          core::OneTime* one_time, std::uint64_t seed, Live live = {});

    int port() const { return door_.port(); }
    void stop_listening() { door_.stop_listening(false); }
    // On a drain or at the end; `drain`: the one that is on, or none.
    void send_away(bool on, const ops::Drain& drain);
    void part_with_all() { door_.part_with_all(); }
    bool coming() const { return door_.coming(); }
    std::size_t connections() const { return door_.connections(); }
    void leaving() { leaving_ = true; }
    // Keys, issuers, names and limits from now on; what was let in before goes on.
    void renew(const config::SignedFront& setup);
    bool unsent() const { return door_.unsent() > 0; }
    const net::Door& door() const { return door_; }  // for figures

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

    void answer(std::uint64_t cookie, core::Reply reply) override;
    void asked(Client& client);
    std::string read_ask(const Client& client, const Target& target, core::Ask& ask, int& status) const;
    void enter(base::Handle ours, core::Ask ask);
    void once_known(base::Handle ours, core::Ask ask, core::Use use);
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
    config::SignedFront setup_;
    Live live_;
    std::unique_ptr<Gate> gate_;
    core::OneTime* one_time_;
    std::mt19937_64 ids_;
    base::Slots<Open> open_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // outlived by answers on one-time use
    bool leaving_ = false;
    net::Door door_;
};

}  // namespace sumackeel::front_signed
