#include "base/resident_memory.h"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace sumackeel::base {

namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr bool kMeasurable = false;
#else
constexpr bool kMeasurable = true;
#endif

constexpr int kHeapTopBytes = 256 * 1024;  // that stay unused at the heap's end

}  // namespace

std::size_t resident_memory() {
    if (!kMeasurable) return 0;
    const int file = ::open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
    if (file < 0) return 0;
    std::array<char, 128> text{};
    const ssize_t count = ::read(file, text.data(), text.size());
    ::close(file);
    if (count <= 0) return 0;
    // The second of its words: resident pages.
    std::string_view words(text.data(), static_cast<std::size_t>(count));
    words.remove_prefix(std::min(words.size(), words.find(' ') + 1));
    std::size_t pages = 0;
    const auto read = std::from_chars(words.data(), words.data() + words.size(), pages);
    return read.ec == std::errc{} ? pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

void limit_allocator_retention() {
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_MMAP_THRESHOLD, static_cast<int>(kOwnPagesBytes));
    mallopt(M_TRIM_THRESHOLD, kHeapTopBytes);
}

void release_unused_memory() {
    if (kMeasurable) malloc_trim(0);
}

}  // namespace sumackeel::base
