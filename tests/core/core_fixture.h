// A core before one pop cache and an origin, without a network.
#pragma once

#include <vector>

#include "../daemon/support.h"
#include "config/config.h"
#include "core/core.h"

namespace sumackeel {

// An upstream whose attempts never end.
struct IdleUpstream : core::Upstream {
    bool cancel(base::Handle) override { return true; }
    bool not_started(base::Handle) const override { return false; }
    void close_idle_connections(const std::string&) override {}
};

struct IgnoringSink : core::ResponseSink {
    void on_response(std::uint64_t, core::Response) override {}
};

struct RecordingSink : core::ResponseSink {
    std::vector<core::ResponseStatus> statuses;
    void on_response(std::uint64_t, core::Response response) override { statuses.push_back(response.status); }
};

template <typename Upstream, typename Sink>
struct CoreFixture {
    config::Config config = config::parse_config(story::config_text(
        {R"({"host":"s-a","dial":"127.0.0.1:1","site":"edge-1","class":"small","block":1,"health":"SERVING","share":8,"born_ms":0})",
         R"({"host":"s-o","dial":"127.0.0.1:2","site":"coast","class":"origin","block":3,"health":"SERVING","share":8,"born_ms":0})"}));
    base::Clock clock;
    base::TimerQueue deadlines;
    Upstream upstream;
    Sink sink;
    core::Core core{config.site.settings, 42, clock, deadlines};

    CoreFixture() {
        core.attach(upstream);
        routing::EndpointUpdate update;
        update.kind = routing::EndpointUpdateKind::full;
        for (const config::LocatedEndpoint& located : config.known.front().endpoints)
            update.endpoints.push_back(located.endpoint);
        core.notify(std::move(update));
        core.process_events();
    }
    void submit(double size_kb = 40) {
        core::Request request;
        request.class_index = 0;  // video: the client's timeout is 6 s
        request.id = "00000000000000c1";
        request.object = "7f3a9c21e0b4d655";
        request.time_left = 6'000'000;
        request.size_kb = size_kb;
        core.submit(std::move(request), sink, 1);
        core.process_events();
    }
};

}  // namespace sumackeel
