#include "cluster_transport/start_number.h"

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>
#include <cstdio>

#include "base/files.h"
#include "base/log.h"
#include "base/run_with_timeout.h"
#include "base/system_error.h"

namespace sumackeel::cluster_transport {

namespace {

constexpr const char* kFileName = "start";
constexpr const char* kLockName = "start.lock";
constexpr std::size_t kMaxFileBytes = 256;

// "sumackeel-start 1 NUMBER CHECKSUM\n", with the checksum of the text before the last space.
std::string text_of(std::uint64_t number) {
    const std::string content = fmt::format("sumackeel-start 1 {}", number);
    return fmt::format("{} {:016x}\n", content, XXH3_64bits(content.data(), content.size()));
}

struct ClaimResult {
    std::uint64_t number = 0;
    std::string read_fault;   // empty: none
    std::string write_fault;  // empty: none
};

ClaimResult read_and_store_next(const StartNumber& stored) {
    ClaimResult result;
    std::unique_ptr<base::DirectoryLock> held;
    result.write_fault = base::retry_directory_at_startup([&] {
        held = stored.lock();
        return held->error();
    });
    if (!result.write_fault.empty()) return result;
    result.number = stored.read(result.read_fault) + 1;
    result.write_fault = base::retry_directory_at_startup([&] { return stored.write(result.number); });
    return result;
}

}  // namespace

std::uint64_t StartNumber::read(std::string& fault) const {
    const std::string path = folder_ + '/' + kFileName;
    std::string bytes;
    base::ReadStatus status{};
    base::retry_directory_at_startup([&] {
        status = base::read_regular_file(path, kMaxFileBytes, bytes, fault);
        return status == base::ReadStatus::unreadable ? fault : std::string{};
    });
    if (status == base::ReadStatus::missing) fault.clear();
    if (status != base::ReadStatus::ok) return 0;
    constexpr std::string_view kPrefix = "sumackeel-start 1 ";
    std::uint64_t number = 0;
    if (bytes.starts_with(kPrefix)) {
        const char* from = bytes.data() + kPrefix.size();
        if (std::from_chars(from, bytes.data() + bytes.size(), number).ec == std::errc{} &&
            bytes == text_of(number))
            return number;
    }
    fault = path + " is damaged, set aside as " + path + ".bad";
    std::rename(path.c_str(), (path + ".bad").c_str());
    return 0;
}

std::string StartNumber::write(std::uint64_t number) const {
    return base::replace_file(folder_, "start.tmp", kFileName, text_of(number));
}

std::unique_ptr<base::DirectoryLock> StartNumber::lock() const {
    return std::make_unique<base::DirectoryLock>(folder_, kLockName);
}

std::string StartNumber::raise_to(std::uint64_t number) const {
    const auto held = lock();
    if (!held->error().empty()) return held->error();
    std::string ignored;
    return read(ignored) >= number ? std::string{} : write(number);
}

std::uint64_t claim_start_number(const StartNumber& stored) {
    const auto result = base::run_with_timeout(2 * base::kDirectoryResponseTimeout,
                                               [stored] { return read_and_store_next(stored); });
    if (!result)
        throw StartNumberError(StartNumberError::Code::directory_hangs,
                               "peers: the start number can't be kept: its folder does not answer");
    if (!result->read_fault.empty())
        log::error("cluster_transport: start_number_unreadable reason={}", result->read_fault);
    if (!result->write_fault.empty())
        throw StartNumberError(StartNumberError::Code::write_failed,
                               "peers: the start number can't be kept: " + result->write_fault);
    return result->number;
}

}  // namespace sumackeel::cluster_transport
