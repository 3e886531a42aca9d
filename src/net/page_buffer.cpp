#include "net/page_buffer.h"

#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <new>
#include <utility>

namespace sumackeel::net {

PageBuffer::PageBuffer(std::size_t capacity) : capacity_(capacity) {
    if (capacity == 0) return;
    void* pages = mmap(nullptr, capacity, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (pages == MAP_FAILED) throw std::bad_alloc();
    data_ = static_cast<char*>(pages);
}

PageBuffer::~PageBuffer() {
    if (data_) munmap(data_, capacity_);
}

PageBuffer::PageBuffer(PageBuffer&& other) noexcept
    : data_(std::exchange(other.data_, nullptr)),
      size_(std::exchange(other.size_, 0)),
      capacity_(std::exchange(other.capacity_, 0)) {}

PageBuffer& PageBuffer::operator=(PageBuffer&& other) noexcept {
    std::swap(data_, other.data_);
    std::swap(size_, other.size_);
    std::swap(capacity_, other.capacity_);
    return *this;
}

std::size_t PageBuffer::append(std::string_view bytes) {
    const std::size_t count = std::min(bytes.size(), capacity_ - size_);
    std::copy_n(bytes.data(), count, data_ + size_);
    size_ += count;
    return count;
}

std::size_t PageBuffer::memory() const {
    const auto page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    return (size_ + page - 1) / page * page;
}

}  // namespace sumackeel::net
