// The bytes that one event loop's components hold for clients, caches and other proxies, by holder, against
// one limit. Components ask it before they take something on; what they do without room stands in
// docs/design/memory.md. Pure: it knows no clock and no system call.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>

namespace sumackeel::base {

enum class MemoryHolder : std::size_t {
    connections,         // sockets and their state
    partial_requests,    // parts of requests that are not complete
    open_requests,       // with their bodies
    expected_responses,  // room kept for the responses to open requests
    unsent_requests,     // written, but not accepted by a cache's socket
    arriving_responses,  // parts of responses from caches
    unsent_responses,    // written, but not accepted by a client's socket
    other                // store, cluster and discovery
};
constexpr std::size_t kMemoryHolderCount = 8;
const char* name_of(MemoryHolder holder);  // in metrics and log lines

class MemoryAccount {
  public:
    // Bytes, all holders together. Until it is set, nothing is limited.
    void set_limit(std::size_t limit) { limit_ = limit; }
    std::size_t limit() const { return limit_; }
    void add(MemoryHolder holder, std::ptrdiff_t change) {
        by_holder_[static_cast<std::size_t>(holder)] += static_cast<std::size_t>(change);
        used_ += static_cast<std::size_t>(change);
        peak_ = std::max(peak_, used_);
    }
    std::size_t used() const { return used_; }
    std::size_t used(MemoryHolder holder) const { return by_holder_[static_cast<std::size_t>(holder)]; }
    std::size_t peak() const { return peak_; }
    std::size_t available() const { return limit_ - std::min(limit_, used_); }

    // Whether a request that takes `cost` bytes until it is answered may be taken from a client for which
    // `held` bytes are held already. The closer the limit, the less one client may hold; the last part of
    // the room is for small requests of clients that hold nothing.
    bool admits(std::size_t cost, std::size_t held) const {
        const std::size_t room = available();
        if (cost <= kSmallRequest && held == 0) return cost <= room;
        if (cost + limit_ / kSmallRequestShare > room) return false;
        return held == 0 || held + cost <= room / kClientShare;
    }
    // Whether parts of requests may take more memory.
    bool has_room_for_partial_requests() const {
        return used(MemoryHolder::partial_requests) < limit_ / kPartialRequestShare &&
               available() > limit_ / kSmallRequestShare;
    }
    // Whether a response of `size` bytes may be received.
    bool has_room_for_response(std::size_t size) const {
        const std::size_t kept_for_small = size > kSmallRequest ? limit_ / kSmallRequestShare : 0;
        return size + kept_for_small <= available();
    }
    // Those that hold memory without making progress have to give way.
    bool is_short() const { return available() <= limit_ / kShortShare; }

    static constexpr std::size_t kSmallRequest = 8 * 1024;  // bytes

  private:
    // Each is one part in so many.
    static constexpr std::size_t kSmallRequestShare = 8;
    static constexpr std::size_t kClientShare = 4;
    static constexpr std::size_t kPartialRequestShare = 3;
    static constexpr std::size_t kShortShare = 4;

    std::size_t limit_ = std::numeric_limits<std::size_t>::max();
    std::size_t used_ = 0;
    std::size_t peak_ = 0;
    std::array<std::size_t, kMemoryHolderCount> by_holder_{};
};

// Bytes in the account for as long as it exists. Without an account it counts nothing.
class MemoryCharge {
  public:
    MemoryCharge() = default;
    MemoryCharge(MemoryAccount& account, MemoryHolder holder, std::size_t bytes = 0)
        : account_(&account), holder_(holder) {
        set(bytes);
    }
    MemoryCharge(MemoryCharge&& other) noexcept
        : account_(other.account_), holder_(other.holder_), bytes_(std::exchange(other.bytes_, 0)) {}
    MemoryCharge& operator=(MemoryCharge&& other) noexcept {
        if (this == &other) return *this;
        set(0);
        account_ = other.account_;
        holder_ = other.holder_;
        bytes_ = std::exchange(other.bytes_, 0);
        return *this;
    }
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;
    ~MemoryCharge() { set(0); }

    void set(std::size_t bytes) {
        if (!account_ || bytes == bytes_) return;
        account_->add(holder_, static_cast<std::ptrdiff_t>(bytes) - static_cast<std::ptrdiff_t>(bytes_));
        bytes_ = bytes;
    }
    std::size_t bytes() const { return bytes_; }

  private:
    MemoryAccount* account_ = nullptr;
    MemoryHolder holder_ = MemoryHolder::other;
    std::size_t bytes_ = 0;
};

}  // namespace sumackeel::base
