#include "store/log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "store/text.h"

namespace sumackeel::store {

namespace {

constexpr std::size_t kFoldAfter = 1000;  // committed records that are kept beside the snapshot
constexpr std::size_t kSumLength = 16;

std::string sum_of(const std::string& text) {
    unsigned char digest[EVP_MAX_MD_SIZE];
    EVP_Digest(text.data(), text.size(), digest, nullptr, EVP_sha256(), nullptr);
    std::string sum;
    for (std::size_t i = 0; i < kSumLength / 2; ++i) sum += fmt::format("{:02x}", digest[i]);
    return sum;
}

std::string sealed(const std::string& text) {
    return sum_of(text) + ' ' + text + '\n';
}

// The text of a sealed line without its end; nothing if the seal does not hold.
std::optional<std::string> unsealed(const std::string& line) {
    if (line.size() <= kSumLength + 1 || line[kSumLength] != ' ') return std::nullopt;
    std::string text = line.substr(kSumLength + 1);
    if (sum_of(text) != line.substr(0, kSumLength)) return std::nullopt;
    return text;
}

class File {
  public:
    File(const std::string& path, int flags) : fd_(open(path.c_str(), flags | O_CLOEXEC, 0600)) {
        if (fd_ < 0) throw StoreError(path + ": can't be opened");
    }
    ~File() { close(fd_); }
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    void write_through(const std::string& text) {
        for (std::size_t at = 0; at < text.size();) {
            const ssize_t count = ::write(fd_, text.data() + at, text.size() - at);
            if (count <= 0) throw StoreError("the store's disk takes no more");
            at += static_cast<std::size_t>(count);
        }
        if (fsync(fd_) != 0) throw StoreError("the store's disk does not hold what it took");
    }
    void sync() { fsync(fd_); }

  private:
    int fd_;
};

// Whole or not at all, also if the machine stops in between.
void replace(const std::string& folder, const std::string& path, const std::string& text) {
    const std::string fresh = path + ".new";
    File(fresh, O_WRONLY | O_CREAT | O_TRUNC).write_through(text);
    std::filesystem::rename(fresh, path);
    File(folder, O_RDONLY | O_DIRECTORY).sync();
}

std::string all_of(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<Json::Value> sealed_file(const std::string& path) {
    if (!std::filesystem::exists(path)) return std::nullopt;
    std::string line = all_of(path);
    if (!line.empty() && line.back() == '\n') line.pop_back();
    const auto text = unsealed(line);
    if (!text) throw StoreError(path + ": its checksum does not hold");
    return from_line(*text);
}

}  // namespace

Log::Log(std::string folder) : folder_(std::move(folder)) {
    std::filesystem::create_directories(folder_);
    if (const auto value = sealed_file(path("promise"))) {
        promised_ = whole(*value, "epoch");
        leader_ = text(*value, "leader");
    }
    if (const auto value = sealed_file(path("snapshot"))) snapshot_ = read_snapshot(*value);
    state_ = snapshot_.state;
    committed_ = snapshot_.place.seq;
    read_log();
}

void Log::read_log() {
    const std::string all = all_of(path("log"));
    std::size_t at = 0;
    bool stale = false;  // left from before a snapshot that was taken over
    while (at < all.size()) {
        const auto end = all.find('\n', at);
        const auto text = end == std::string::npos ? std::nullopt : unsealed(all.substr(at, end - at));
        if (!text) {
            // Danger: a bad record in the middle was once acknowledged; to go on without it would lose it.
            const bool torn = end == std::string::npos || end + 1 == all.size();
            if (!torn) throw StoreError(path("log") + ": a record's checksum does not hold");
            std::filesystem::resize_file(path("log"), at);
            break;
        }
        const Record record = read_record(from_line(*text));
        at = end + 1;
        if (record.seq <= snapshot_.place.seq) {
            stale = true;
            continue;
        }
        if (record.seq != last().seq + 1) throw StoreError(path("log") + ": a record is missing");
        records_.push_back(record);
    }
    if (stale) rewrite_log();
}

Place Log::last() const {
    if (records_.empty()) return snapshot_.place;
    return {records_.back().epoch, records_.back().seq};
}

std::optional<std::int64_t> Log::epoch_at(std::int64_t seq) const {
    if (seq == snapshot_.place.seq) return snapshot_.place.epoch;
    if (seq < snapshot_.place.seq || seq > last().seq) return std::nullopt;
    return records_[static_cast<std::size_t>(seq - snapshot_.place.seq - 1)].epoch;
}

std::int64_t Log::newest_version(const std::string& key) const {
    const auto late =
        std::find_if(records_.rbegin(), records_.rend(), [&](const Record& r) { return r.key == key; });
    if (late != records_.rend()) return late->version;
    const auto found = state_.find(key);
    return found == state_.end() ? 0 : found->second.version;
}

void Log::append(const Record& record) {
    if (record.seq != last().seq + 1) throw StoreError("a record out of order");
    File(path("log"), O_WRONLY | O_CREAT | O_APPEND).write_through(sealed(to_line(write_record(record))));
    records_.push_back(record);
}

void Log::install(const Snapshot& snapshot) {
    replace(folder_, path("snapshot"), sealed(to_line(write_snapshot(snapshot))));
    snapshot_ = snapshot;
    state_ = snapshot.state;
    committed_ = snapshot.place.seq;
    records_.clear();
    rewrite_log();
}

void Log::promise(std::int64_t epoch, const std::string& leader) {
    if (epoch == promised_ && leader == leader_) return;
    Json::Value value;
    value["epoch"] = Json::Int64{epoch};
    value["leader"] = leader;
    replace(folder_, path("promise"), sealed(to_line(value)));
    promised_ = epoch;
    leader_ = leader;
}

void Log::commit(std::int64_t seq) {
    for (const Record& record : records_) {
        if (record.seq <= committed_) continue;
        if (record.seq > seq) break;
        state_[record.key] = {record.version, record.value};
        committed_ = record.seq;
    }
    if (static_cast<std::size_t>(committed_ - snapshot_.place.seq) >= kFoldAfter) fold();
}

// The committed records become the snapshot.
void Log::fold() {
    const Snapshot next{{*epoch_at(committed_), committed_}, state_};
    replace(folder_, path("snapshot"), sealed(to_line(write_snapshot(next))));
    std::erase_if(records_, [&](const Record& record) { return record.seq <= committed_; });
    snapshot_ = next;
    rewrite_log();
}

void Log::rewrite_log() {
    std::string all;
    for (const Record& record : records_) all += sealed(to_line(write_record(record)));
    replace(folder_, path("log"), all);
}

}  // namespace sumackeel::store
