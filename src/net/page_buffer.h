// A buffer with pages of its own: they take memory only once they are written, and go back to the system with
// it, whatever else the heap holds.
#pragma once

#include <cstddef>
#include <string_view>

namespace sumackeel::net {

class PageBuffer {
  public:
    PageBuffer() = default;
    // For `capacity` bytes. Throws std::bad_alloc where the system has no memory.
    explicit PageBuffer(std::size_t capacity);
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
};

}  // namespace sumackeel::net
