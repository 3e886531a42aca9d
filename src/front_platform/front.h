// The front for the platform's clients: Thrift calls to requests of the core, replies to answers.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/core.h"
#include "core/slots.h"
#include "front_platform/thrift.h"
#include "net/stream.h"

namespace sumackeel::front_platform {

// What one front may hold; beyond it refuses.
struct Limits {
    int connections = 340;
    std::size_t unsent_bytes = 64 << 20;  // answers that clients have not read yet, in all
};

class Front : core::Asker {
  public:
    Front(net::Loop& loop, core::Core& core, const config::Site& site, const std::string& listen,
          Limits limits);
    ~Front() override;

    int port() const { return listener_.port(); }
    void stop_listening() { listener_.close(); }
    void set_limits(const Limits& limits) { limits_ = limits, budget_.set_most(limits.connections); }
    bool unsent() const;

  private:
    struct Client;

    void accept(uv_stream_t* listener);
    void answer(std::uint64_t cookie, core::Reply reply) override;
    void call(Client& client, Call call);
    bool read_ask(Call& call, core::Ask& ask) const;
    void lost(Client& client);

    net::Loop& loop_;
    core::Core& core_;
    const config::Site& site_;
    Limits limits_;
    net::Budget budget_;
    std::map<std::uint64_t, std::unique_ptr<Client>> clients_;
    std::vector<std::unique_ptr<Client>> dead_;
    std::uint64_t next_client_ = 1;
    struct Open {
        std::uint64_t client = 0;
        std::int32_t seqid = 0;
    };
    core::Slots<Open> open_;
    net::Listener listener_;
};

}  // namespace sumackeel::front_platform
