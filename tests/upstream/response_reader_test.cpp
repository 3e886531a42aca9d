// Bodies of responses that have no room, or that nobody waits for. Guards against responses that take memory
// that the process does not have.
#include <gtest/gtest.h>

#include "upstream/cache_protocol.h"

namespace sumackeel::upstream {

TEST(ResponseReader, BodyWithoutRoomIsReadOnceThereIsRoom) {
    bool has_room = false;
    ResponseReader reader([&](const std::string&, std::size_t size) {
        EXPECT_EQ(size, 4U);
        return has_room ? BodyHandling::store : BodyHandling::await_room;
    });
    CacheResponse response;
    reader.append("a DONE - 4\r\nbo");
    EXPECT_FALSE(reader.next(response));
    EXPECT_TRUE(reader.awaits_room());
    has_room = true;
    EXPECT_FALSE(reader.next(response));
    EXPECT_FALSE(reader.awaits_room());
    reader.append("dy\r\nb DONE - 4\r\nmore\r\n");
    ASSERT_TRUE(reader.next(response));
    EXPECT_EQ(response.result.body, "body");
    ASSERT_TRUE(reader.next(response));
    EXPECT_EQ(response.result.body, "more");
    EXPECT_FALSE(reader.has_partial_response());
}

TEST(ResponseReader, BodyThatNobodyWaitsForTakesNoMemory) {
    constexpr std::size_t kSize = 200'000;
    ResponseReader reader;
    CacheResponse response;
    reader.append("a DONE - " + std::to_string(kSize) + "\r\n");
    EXPECT_FALSE(reader.next(response));
    EXPECT_GE(reader.memory(), kSize);
    reader.discard("a");
    EXPECT_LT(reader.memory(), kSize / 10);
    for (std::size_t sent = 0; sent < kSize; sent += 1000) reader.append(std::string(1000, 'x'));
    reader.append("\r\nb DONE - 2\r\nok\r\n");
    ASSERT_TRUE(reader.next(response));
    EXPECT_TRUE(response.result.body.empty());
    ASSERT_TRUE(reader.next(response));
    EXPECT_EQ(response.result.body, "ok");
}

}  // namespace sumackeel::upstream
