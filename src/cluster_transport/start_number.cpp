#include "cluster_transport/start_number.h"

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>
#include <cstdio>

#include "base/files.h"
#include "base/system_error.h"

namespace sumackeel::cluster_transport {

namespace {

constexpr const char* kName = "start";
constexpr std::size_t kLongest = 256;

// "sumackeel-start 1 NUMBER CHECKSUM\n", the checksum over what stands before its blank.
std::string text_of(std::uint64_t number) {
    const std::string said = fmt::format("sumackeel-start 1 {}", number);
    return fmt::format("{} {:016x}\n", said, XXH3_64bits(said.data(), said.size()));
}

}  // namespace

std::uint64_t StartNumber::read(std::string& fault) const {
    const std::string path = folder_ + '/' + kName;
    std::string bytes;
    base::ReadStatus reading{};
    base::retry_directory_at_startup([&] {
        reading = base::read_regular_file(path, kLongest, bytes, fault);
        return reading == base::ReadStatus::unreadable ? fault : std::string{};
    });
    switch (reading) {
        case base::ReadStatus::ok:
            break;
        case base::ReadStatus::missing:
            fault.clear();
            return 0;
        default:
            return 0;
    }
    constexpr std::string_view kHead = "sumackeel-start 1 ";
    std::uint64_t number = 0;
    if (bytes.starts_with(kHead)) {
        const char* from = bytes.data() + kHead.size();
        if (std::from_chars(from, bytes.data() + bytes.size(), number).ec == std::errc{} &&
            bytes == text_of(number))
            return number;
    }
    fault = path + " is damaged, set aside as " + path + ".bad";
    std::rename(path.c_str(), (path + ".bad").c_str());
    return 0;
}

std::string StartNumber::write(std::uint64_t number) const {
    return base::replace_file(folder_, "start.tmp", kName, text_of(number));
}

}  // namespace sumackeel::cluster_transport
