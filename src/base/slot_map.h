// A table of slots with generations. A handle names a slot and the generation that it was given out in, so
// that a handle kept for too long finds nothing instead of another entry.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace sumackeel::base {

struct Handle {
    std::uint32_t slot = UINT32_MAX;
    std::uint32_t generation = 0;

    bool operator==(const Handle&) const = default;

    // As one number, for callers that keep a plain integer.
    std::uint64_t number() const { return (static_cast<std::uint64_t>(slot) << 32) | generation; }
    static Handle of(std::uint64_t number) {
        return {static_cast<std::uint32_t>(number >> 32), static_cast<std::uint32_t>(number)};
    }
};

template <typename T>
class SlotMap {
  public:
    Handle add(T value) {
        if (free_.empty()) {
            free_.push_back(static_cast<std::uint32_t>(slots_.size()));
            slots_.emplace_back().generation = first_generation_;
        }
        const std::uint32_t place = free_.back();
        free_.pop_back();
        slots_[place].value.emplace(std::move(value));
        ++used_;
        return {place, slots_[place].generation};
    }

    // The pointer is good until the next add().
    T* find(Handle handle) {
        if (handle.slot >= slots_.size()) return nullptr;
        Slot& slot = slots_[handle.slot];
        return slot.value && slot.generation == handle.generation ? &*slot.value : nullptr;
    }

    void remove(Handle handle) {
        if (!find(handle)) return;
        Slot& slot = slots_[handle.slot];
        slot.value.reset();
        ++slot.generation;
        free_.push_back(handle.slot);
        if (--used_ == 0 && slots_.size() > kMaxUnusedSlots) release_slots();
    }

    template <typename Each>
    void for_each(Each visit) const {
        for (std::uint32_t i = 0; i < slots_.size(); ++i)
            if (slots_[i].value) visit(Handle{i, slots_[i].generation}, *slots_[i].value);
    }

    std::size_t size() const { return used_; }

  private:
    static constexpr std::size_t kMaxUnusedSlots = 256;
    struct Slot {
        std::optional<T> value;
        std::uint32_t generation = 0;
    };
    // Handles given out before stay unknown: later slots begin behind all their generations.
    void release_slots() {
        for (const Slot& slot : slots_) first_generation_ = std::max(first_generation_, slot.generation);
        slots_ = std::vector<Slot>();
        free_ = std::vector<std::uint32_t>();
    }

    std::vector<Slot> slots_;
    std::uint32_t first_generation_ = 0;
    std::vector<std::uint32_t> free_;
    std::size_t used_ = 0;
};

}  // namespace sumackeel::base
