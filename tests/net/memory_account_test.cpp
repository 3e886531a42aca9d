// Who may take memory as it gets short, and buffers with pages of their own. Guards against one client, or
// a hundred of one habit, taking all room.
#include "base/memory_account.h"

#include <gtest/gtest.h>

#include "net/page_buffer.h"

namespace sumackeel::net {

using base::MemoryAccount;
using base::MemoryCharge;
using base::MemoryHolder;

constexpr std::size_t kLimit = 1 << 20, kSmall = 3'000;

TEST(MemoryAccount, LastRoomIsForSmallRequestsOfClientsThatHoldNothing) {
    MemoryAccount account;
    account.set_limit(kLimit);
    EXPECT_TRUE(account.admits(kLimit / 8, 0));
    EXPECT_TRUE(account.admits(kSmall, kLimit / 8));
    EXPECT_FALSE(account.admits(kSmall, kLimit / 4)) << "a client holds a quarter of the room at the most";
    const MemoryCharge held(account, MemoryHolder::open_requests, kLimit - kLimit / 8);
    EXPECT_TRUE(account.admits(kSmall, 0));
    EXPECT_FALSE(account.admits(kSmall, 1));
    EXPECT_FALSE(account.admits(MemoryAccount::kSmallRequest + 1, 0));
    EXPECT_FALSE(account.has_room_for_partial_requests());
    EXPECT_TRUE(account.is_short());
}

TEST(MemoryAccount, ChargesAreGivenBackOnce) {
    MemoryAccount account;
    MemoryCharge first(account, MemoryHolder::other, kSmall);
    MemoryCharge second = std::move(first);
    second = MemoryCharge(account, MemoryHolder::connections, 1);
    EXPECT_EQ(account.used(), 1U);
    EXPECT_EQ(account.peak(), kSmall + 1);
    second.set(0);
    EXPECT_EQ(account.used(), 0U);
}

TEST(PageBuffer, TakesTheMemoryOfWrittenPagesOnly) {
    PageBuffer buffer(50'000);
    EXPECT_EQ(buffer.memory(), 0U);
    EXPECT_EQ(buffer.append("start"), 5U);
    EXPECT_LT(buffer.memory(), 50'000U / 2);
    EXPECT_EQ(buffer.append(std::string(60'000, 'x')), 50'000U - 5);
    EXPECT_TRUE(buffer.is_full());
    const PageBuffer moved = std::move(buffer);
    EXPECT_TRUE(moved.view().starts_with("startx"));
}

}  // namespace sumackeel::net
