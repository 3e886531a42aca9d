#include "saved_list/folder.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <filesystem>

namespace sumackeel::saved_list {

using membership::Decoded;
using membership::Fault;
using membership::Micros;

namespace {

constexpr std::string_view kPrefix = "list-", kSuffix = ".sumlist";
constexpr const char* kUnfinished = "unfinished.tmp";
constexpr std::size_t kDigits = 16;

// A descriptor that closes itself.
class File {
  public:
    File(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
    ~File() {
        if (fd_ >= 0) ::close(fd_);
    }
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    int fd() const { return fd_; }
    bool open() const { return fd_ >= 0; }

  private:
    int fd_;
};

std::string failed(const char* what, const std::string& path) {
    return fmt::format("{} {}: {}", path, what, std::strerror(errno));
}

bool write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t written = ::write(fd, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

std::vector<std::uint64_t> generations_in(const std::string& path) {
    std::vector<std::uint64_t> all;
    std::error_code fault;
    for (std::filesystem::directory_iterator it(path, fault), end; !fault && it != end; it.increment(fault))
        if (const auto number = Folder::generation_of(it->path().filename().string())) all.push_back(number);
    std::sort(all.rbegin(), all.rend());
    return all;
}

}  // namespace

std::string Folder::name_of(std::uint64_t generation) {
    return fmt::format("{}{:0{}}{}", kPrefix, generation, kDigits, kSuffix);
}

std::uint64_t Folder::generation_of(const std::string& name) {
    if (name.size() != kPrefix.size() + kDigits + kSuffix.size() || !name.starts_with(kPrefix) ||
        !name.ends_with(kSuffix))
        return 0;
    std::uint64_t number = 0;
    const char *begin = name.data() + kPrefix.size(), *end = begin + kDigits;
    const auto read = std::from_chars(begin, end, number);
    return read.ec == std::errc{} && read.ptr == end ? number : 0;
}

std::optional<Fault> read_file(const std::string& path, std::string& bytes) {
    const File file(path, O_RDONLY | O_NONBLOCK);  // a pipe by that name must not hold us
    struct stat about {};
    if (!file.open() || ::fstat(file.fd(), &about) != 0)
        return Fault{Fault::Kind::unreadable, failed("can't be opened", path)};
    if (!S_ISREG(about.st_mode)) return Fault{Fault::Kind::not_a_list, path + " is no plain file"};
    const auto size = static_cast<std::size_t>(about.st_size);
    if (size > membership::kLongestSaved + membership::kSavedHeader)
        return Fault{Fault::Kind::not_a_list, fmt::format("{} has {} bytes, more than any list", path, size)};
    bytes.resize(size);
    std::size_t have = 0;
    while (have < size) {
        const ssize_t got = ::read(file.fd(), bytes.data() + have, size - have);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) return Fault{Fault::Kind::unreadable, failed("can't be read", path)};
        if (got == 0) break;
        have += static_cast<std::size_t>(got);
    }
    bytes.resize(have);
    return std::nullopt;
}

Found Folder::read(const membership::Names& names, const std::string& site, Micros wall_now) const {
    Found found;
    for (const std::uint64_t generation : generations_in(path_)) {
        const std::string file = path_ + '/' + name_of(generation);
        found.generation = std::max(found.generation, generation);
        std::string bytes;
        std::optional<Fault> fault = read_file(file, bytes);
        Decoded decoded;
        if (!fault) {
            decoded = membership::decode(bytes, names);
            fault = decoded.fault;
        }
        if (!fault) {
            fault = membership::judge(decoded.list, site, wall_now);
            if (fault && fault->kind == Fault::Kind::wrong_clock)
                found.warnings.push_back(std::move(decoded.list));
        }
        if (fault) {
            found.passed.push_back({file, *fault});
            continue;
        }
        found.list = std::move(decoded.list);
        found.file = file;
        found.good = generation;
        found.left_out = decoded.left_out;
        break;
    }
    return found;
}

// Danger: each step only adds until the new generation is on disk under its own name. Whatever the moment of
// a crash, the folder holds the old generations, or them and the new one; a file half written has no such
// name.
std::string Folder::write(const std::string& bytes, std::uint64_t generation, std::uint64_t keep) const {
    const std::string unfinished = path_ + '/' + kUnfinished, final = path_ + '/' + name_of(generation);
    std::error_code ignored;
    std::filesystem::create_directories(path_, ignored);
    {
        const File file(unfinished, O_WRONLY | O_CREAT | O_TRUNC);
        if (!file.open()) return failed("can't be made", unfinished);
        if (!write_all(file.fd(), bytes)) return failed("can't be written", unfinished);
        if (::fsync(file.fd()) != 0) return failed("can't be put on disk", unfinished);
    }
    if (::rename(unfinished.c_str(), final.c_str()) != 0) return failed("can't be renamed", unfinished);
    const File folder(path_, O_RDONLY | O_DIRECTORY);
    if (!folder.open() || ::fsync(folder.fd()) != 0) return failed("can't be put on disk", path_);
    for (const std::uint64_t old : generations_in(path_))
        if (old != generation && old != keep) ::unlink((path_ + '/' + name_of(old)).c_str());
    return {};
}

std::string newest_in(const std::string& path) {
    std::error_code fault;
    if (!std::filesystem::is_directory(path, fault)) return path;
    const auto generations = generations_in(path);
    return path + '/' + Folder::name_of(generations.empty() ? 0 : generations.front());
}

FolderLock::FolderLock(const std::string& folder) {
    std::error_code ignored;
    std::filesystem::create_directories(folder, ignored);
    const std::string path = folder + "/lock";
    fd_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (fd_ < 0)
        fault_ = failed("can't be opened", path);
    else if (::flock(fd_, LOCK_EX | LOCK_NB) != 0)
        fault_ = path + " is held by another program";
}

FolderLock::~FolderLock() {
    if (fd_ >= 0) ::close(fd_);
}

}  // namespace sumackeel::saved_list
