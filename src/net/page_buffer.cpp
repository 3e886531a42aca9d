#include "net/page_buffer.h"

#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <new>
#include <utility>
#include <vector>

namespace sumackeel::net {

namespace {

constexpr std::size_t kMappedBytes = 64 * 1024;  // of each buffer that fits
constexpr std::size_t kMaxKept = 8;              // buffers

void unmap(char* data) {
    munmap(data, kMappedBytes);
}

// Buffers that are used again, as writing to new pages takes longer than all else. Each thread has its own.
struct KeptBuffers {
    struct Buffer {
        char* data;
        std::size_t written;  // bytes of it that have pages
    };
    std::vector<Buffer> buffers;

    KeptBuffers() { buffers.reserve(kMaxKept); }
    KeptBuffers(const KeptBuffers&) = delete;
    KeptBuffers& operator=(const KeptBuffers&) = delete;
    ~KeptBuffers() {
        for (const Buffer& buffer : buffers) unmap(buffer.data);
    }
};

KeptBuffers& kept_buffers() {
    thread_local KeptBuffers kept;
    return kept;
}

}  // namespace

PageBuffer::PageBuffer(std::size_t capacity, Pages pages) : capacity_(capacity) {
    if (capacity > kMappedBytes) throw std::bad_alloc();
    auto& kept = kept_buffers().buffers;
    if (pages == Pages::used_before && !kept.empty()) {
        data_ = kept.back().data;
        written_ = kept.back().written;
        kept.pop_back();
        return;
    }
    void* mapped = mmap(nullptr, kMappedBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (mapped == MAP_FAILED) throw std::bad_alloc();
    data_ = static_cast<char*>(mapped);
}

PageBuffer::~PageBuffer() {
    if (!data_) return;
    auto& kept = kept_buffers().buffers;
    if (kept.size() < kMaxKept)
        kept.push_back({data_, written_});
    else
        unmap(data_);
}

PageBuffer::PageBuffer(PageBuffer&& other) noexcept
    : data_(std::exchange(other.data_, nullptr)),
      size_(std::exchange(other.size_, 0)),
      capacity_(std::exchange(other.capacity_, 0)),
      written_(std::exchange(other.written_, 0)) {}

PageBuffer& PageBuffer::operator=(PageBuffer&& other) noexcept {
    std::swap(data_, other.data_);
    std::swap(size_, other.size_);
    std::swap(capacity_, other.capacity_);
    std::swap(written_, other.written_);
    return *this;
}

std::size_t PageBuffer::append(std::string_view bytes) {
    const std::size_t count = std::min(bytes.size(), capacity_ - size_);
    std::copy_n(bytes.data(), count, data_ + size_);
    size_ += count;
    written_ = std::max(written_, size_);
    return count;
}

std::size_t PageBuffer::memory() const {
    const auto page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    return (written_ + page - 1) / page * page;
}

}  // namespace sumackeel::net
