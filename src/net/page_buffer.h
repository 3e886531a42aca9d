// A buffer with pages of its own: they take memory only once they are written, and leave no gaps in the heap.
// A few are kept for later buffers, the others go back to the system.
#pragma once

#include <cstddef>
#include <string_view>

namespace sumackeel::net {

class PageBuffer {
  public:
    // used_before: all pages may take memory from the start, which is worth it where most are written soon.
    enum class Pages { fresh, used_before };

    PageBuffer() = default;
    // For `capacity` bytes, 64 KiB at the most. Throws std::bad_alloc beyond, or where there is no memory.
    explicit PageBuffer(std::size_t capacity, Pages pages = Pages::fresh);
    ~PageBuffer();
    PageBuffer(PageBuffer&& other) noexcept;
    PageBuffer& operator=(PageBuffer&& other) noexcept;
    PageBuffer(const PageBuffer&) = delete;
    PageBuffer& operator=(const PageBuffer&) = delete;

    // Appends as many of `bytes` as fit, and returns their number.
    std::size_t append(std::string_view bytes);
    std::string_view view() const { return {data_, size_}; }
    std::size_t size() const { return size_; }
    bool is_full() const { return size_ == capacity_; }
    std::size_t memory() const;  // bytes of the pages that were written

  private:
    char* data_ = nullptr;
    std::size_t size_ = 0;
    std::size_t capacity_ = 0;
    std::size_t written_ = 0;  // bytes that have pages, also by an earlier use of them
};

}  // namespace sumackeel::net
