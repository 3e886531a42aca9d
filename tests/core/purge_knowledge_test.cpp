// Requests that are written after the purges known when they were decided may no longer be all: what they
// accept is limited then, however long they waited for their connection or for the process to continue.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core_fixture.h"
#include "upstream/cache_protocol.h"

using namespace sumackeel;

namespace {

constexpr base::Micros kValidFor = 250'000, kMaxAge = 250'000;

base::Micros manual_now = 0;

base::Clock::Reading read_manual_clock() {
    return {{manual_now}, manual_now};
}

// Encodes each attempt as it would be written at several times, before and after the known purges are no
// longer sufficient.
struct EncodingUpstream : IdleUpstream {
    core::Core* core = nullptr;
    base::Micros written_at = 0;
    std::vector<std::string> written;
    std::uint64_t start(const core::AttemptRequest& attempt) override {
        const upstream::RequestEncoder encoder(attempt);
        for (const base::Micros delay : {base::Micros{0}, kValidFor - 1, kValidFor, 4 * kValidFor}) {
            manual_now = written_at + delay;
            const core::WriteTerms terms = core->terms_at_write(attempt.attempt);
            EXPECT_TRUE(terms.allowed);
            written.push_back(encoder.encode_at(written_at + delay, terms.max_age, terms.body));
        }
        return written.size();
    }
};

struct PurgeKnowledgeTest : testing::Test, CoreFixture<EncodingUpstream, IgnoringSink> {
    PurgeKnowledgeTest() {
        upstream.core = &core;
        upstream.written_at = manual_now = clock.now();
        clock = base::Clock(read_manual_clock);
    }
    bool accepts_all(std::size_t index) const {
        return upstream.written.at(index).find(",accept=") == std::string::npos;
    }
    bool is_limited(std::size_t index) const {
        return upstream.written.at(index).find(",accept=250") != std::string::npos;
    }
};

}  // namespace

TEST_F(PurgeKnowledgeTest, LimitsARequestThatIsWrittenTooLate) {
    core.set_purge_knowledge([this] {
        return core::PurgeKnowledge{.valid_until = upstream.written_at + kValidFor,
                                    .max_copy_age_afterwards = kMaxAge};
    });
    submit();
    ASSERT_EQ(upstream.written.size(), 4U);
    EXPECT_TRUE(accepts_all(0));
    EXPECT_TRUE(accepts_all(1));
    EXPECT_TRUE(is_limited(2));
    EXPECT_TRUE(is_limited(3));
    EXPECT_EQ(core.metrics().attempts_purges_unconfirmed, 0U);
}

TEST_F(PurgeKnowledgeTest, LimitsAtOnceWhereNothingIsKnown) {
    core.set_purge_knowledge(
        [] { return core::PurgeKnowledge{.valid_until = 0, .max_copy_age_afterwards = kMaxAge}; });
    submit();
    for (std::size_t i = 0; i < upstream.written.size(); ++i) EXPECT_TRUE(is_limited(i));
    EXPECT_EQ(core.metrics().attempts_purges_unconfirmed, 1U);
}

TEST_F(PurgeKnowledgeTest, KeepsAStricterLimit) {
    core.set_max_copy_age([] { return base::Micros{7'000}; });
    core.set_purge_knowledge(
        [] { return core::PurgeKnowledge{.valid_until = 0, .max_copy_age_afterwards = kMaxAge}; });
    submit();
    ASSERT_FALSE(upstream.written.empty());
    for (const std::string& text : upstream.written)
        EXPECT_NE(text.find(",accept=7"), std::string::npos) << text;
}

TEST_F(PurgeKnowledgeTest, LimitsNothingWithoutAReplicatedState) {
    submit();
    ASSERT_EQ(upstream.written.size(), 4U);
    for (std::size_t i = 0; i < 4; ++i) EXPECT_TRUE(accepts_all(i));
}
