// The process's own memory, as the system counts it, and its return to the system.
#pragma once

#include <cstddef>
#include <string>

namespace sumackeel::base {

// Bytes of the process's pages in memory; 0 where they can't be read, or where a sanitizer's own memory makes
// them meaningless.
std::size_t resident_memory();

// A block of this size or more has pages of its own, which take memory once they are written.
constexpr std::size_t kOwnPagesBytes = 64 * 1024;

// Bytes that the text takes in memory.
inline std::size_t memory_of(const std::string& text) {
    return text.capacity() < kOwnPagesBytes ? text.capacity() : text.size();
}

// Empties the text and gives its memory back, which an assignment does not.
inline void release(std::string& text) {
    std::string().swap(text);
}

// Makes the allocator use one heap and return large blocks to the system when they are freed. Call it first
// in the program.
void limit_allocator_retention();

// Returns unused pages of the heap to the system.
void release_unused_memory();

}  // namespace sumackeel::base
