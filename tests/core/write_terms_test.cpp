// What holds when a request is written that waited since it was decided. Guards against copies older than a
// purge, and work at caches that drain, for requests whose connection came up late (review/8).
#include <gtest/gtest.h>

#include <vector>

#include "core_fixture.h"

using namespace sumackeel;

namespace {

// Keeps each attempt as one that waits for its connection.
struct WaitingUpstream : IdleUpstream {
    std::vector<core::AttemptRequest> waiting;
    std::uint64_t start(const core::AttemptRequest& attempt) override {
        waiting.push_back(attempt);
        return waiting.size();
    }
    bool not_started(base::Handle) const override { return true; }
};

struct WriteTermsTest : testing::Test, CoreFixture<WaitingUpstream, IgnoringSink> {
    core::WriteTerms terms() { return core.terms_at_write(upstream.waiting.back().attempt); }
    void tell(const std::string& name, routing::EndpointState state) {
        routing::EndpointUpdate update;
        update.kind = routing::EndpointUpdateKind::incremental;
        for (const config::LocatedEndpoint& located : config.known.front().endpoints) {
            if (located.endpoint.name != name) continue;
            update.endpoints.push_back(located.endpoint);
            update.endpoints.back().state = state;
        }
        core.notify(std::move(update));
        core.process_events();
    }
    void add_cache(const std::string& name) {
        routing::EndpointUpdate update;
        update.kind = routing::EndpointUpdateKind::incremental;
        update.endpoints = {config.known.front().endpoints.front().endpoint};
        update.endpoints.front().name = name;
        core.notify(std::move(update));
        core.process_events();
    }
    void purge(const std::string& object, int group, base::Micros age) {
        core.notify(routing::Purge{.purge_group = group, .age = age, .object = object});
        core.process_events();
    }
};

}  // namespace

TEST_F(WriteTermsTest, NothingChangedMeanwhileIsNoLimit) {
    submit();
    EXPECT_TRUE(terms().allowed);
    EXPECT_EQ(terms().max_age, upstream.waiting.back().max_age);
    purge("another object", 18, 0);
    EXPECT_EQ(terms().max_age, upstream.waiting.back().max_age);
}

TEST_F(WriteTermsTest, APurgeOfTheObjectOrItsGroupLimits) {
    submit();
    purge("7f3a9c21e0b4d655", 0, 400'000);
    EXPECT_GE(terms().max_age, 400'000);
    EXPECT_LT(terms().max_age, 5'000'000);
    purge({}, 0, 100'000);
    EXPECT_GE(terms().max_age, 100'000);
    EXPECT_LT(terms().max_age, 400'000);
}

TEST_F(WriteTermsTest, ALimitOfOtherPartsIsReadAgain) {
    submit();
    core.set_max_copy_age([] { return base::Micros{7'000}; });
    EXPECT_EQ(terms().max_age, 7'000);
}

TEST_F(WriteTermsTest, ADrainedOrRemovedCacheGetsNothing) {
    for (const auto state : {routing::EndpointState::draining, routing::EndpointState::removed}) {
        tell("s-a", routing::EndpointState::ready);
        submit();
        ASSERT_EQ(upstream.waiting.back().target, "s-a");
        tell("s-a", state);
        EXPECT_FALSE(terms().allowed);
        tell("s-a", routing::EndpointState::ready);
        EXPECT_TRUE(terms().allowed);
    }
}

TEST_F(WriteTermsTest, ADrainedSourceGetsNothing) {
    submit();
    ASSERT_EQ(upstream.waiting.back().source, "s-o");
    tell("s-o", routing::EndpointState::draining);
    EXPECT_FALSE(terms().allowed);
}

TEST_F(WriteTermsTest, AWithheldAttemptIsMadeElsewhere) {
    submit();
    const base::Handle withheld = upstream.waiting.back().attempt;
    add_cache("s-b");
    tell("s-a", routing::EndpointState::draining);
    core.on_attempt_finished(withheld, {.status = routing::AttemptStatus::withheld});
    core.process_events();
    ASSERT_EQ(upstream.waiting.size(), 2u);
    EXPECT_EQ(upstream.waiting.back().target, "s-b");
    EXPECT_FALSE(core.terms_at_write(withheld).allowed) << "it has ended";
}
