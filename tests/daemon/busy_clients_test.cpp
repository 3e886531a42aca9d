// Clients that never pause between their requests.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support.h"

using namespace story;

namespace {

// The platform's clients have 2 s for each request.
constexpr std::chrono::milliseconds kLongerThanARequestMayTake{2'600};

}  // namespace

// Guards against a time limit for one request that is applied to many: each of these is complete at once, but
// whenever the connection is looked at, the first bytes of the next one have arrived.
TEST_CASE_FIXTURE(Served<OneCache>,
                  "a client that is always half-way through its next request keeps its connection") {
    const auto end = std::chrono::steady_clock::now() + kLongerThanARequestMayTake;
    constexpr std::size_t kPartialBytes = 10;
    std::string rest;  // of the request that is half sent
    int seqid = 0;
    while (std::chrono::steady_clock::now() < end) {
        const std::string next = alive(++seqid);
        client.send(rest + next.substr(0, kPartialBytes));
        if (!rest.empty()) REQUIRE(read_reply(client).place == 0);
        rest = next.substr(kPartialBytes);
    }
    client.send(rest);
    CHECK(read_reply(client).place == 0);
    CHECK(client.quiet());
}
