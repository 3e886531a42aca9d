#include "endpoint_snapshot/snapshot_writer.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "base/log.h"

namespace sumackeel::endpoint_snapshot {

namespace {

constexpr Micros kGather = 5'000;

}  // namespace

// All that the pool's thread touches. It outlives its keeper where the disk hangs.
struct SnapshotWriter::Job {
    uv_work_t work{};
    SnapshotWriter* keeper;  // null: it is gone
    SnapshotDirectory folder;
    endpoints::NameTables names;
    endpoints::Snapshot list;
    std::uint64_t generation, keep;
    std::string fault;
    std::size_t bytes = 0;

    // On a thread of the pool, called from C: nothing may be thrown past here.
    void run() noexcept try {
        const std::string packed = endpoints::encode(list, names);
        bytes = packed.size();
        fault = folder.write(packed, generation, keep);
    } catch (const std::exception& wrong) {
        fault = wrong.what();
    }
};

SnapshotWriter::SnapshotWriter(net::Loop& loop, std::string folder, endpoints::NameTables names,
                               WriteSchedule pace, TakeSnapshot take)
    : loop_(loop),
      folder_(std::move(folder)),
      names_(std::move(names)),
      pace_(pace),
      take_(std::move(take)) {}

SnapshotWriter::~SnapshotWriter() {
    if (next_start_) loop_.timers().cancel(*next_start_);
    if (job_) job_->keeper = nullptr;
}

void SnapshotWriter::start_after(std::uint64_t generation, std::uint64_t good) {
    next_ = generation + 1;
    good_ = good;
    metrics_.generation = generation;
    ready_ = true;
    look();
}

void SnapshotWriter::on_changed() {
    changed_ = true;
    look();
}

void SnapshotWriter::on_confirmed() {
    if (std::exchange(confirmed_, true)) return;
    look();
}

void SnapshotWriter::flush() {
    if (!ready_ || job_ || (!changed_ && !confirmed_) || failures_ > 0) return;
    if (next_start_) loop_.timers().cancel(*next_start_);
    next_start_.reset();
    start(loop_.clock().now());
}

void SnapshotWriter::look() {
    if (!ready_ || job_ || (!changed_ && !confirmed_)) return;
    const Micros now = loop_.clock().now();
    Micros wait = pace_.save_every;
    for (int i = 0; i < failures_ && wait < pace_.longest_wait; ++i) wait *= 2;
    wait = failures_ > 0 ? std::min(wait, pace_.longest_wait)
           : changed_    ? wait
                         : std::max(wait, pace_.refresh);
    // Never from within the call: what comes in one turn, such as a list and the word that it is sure, goes
    // into one write.
    const Micros at = std::max(started_ + wait, now + kGather);
    if (next_start_ && next_start_->due_at <= at) return;  // put off by each change it would never come
    if (next_start_) loop_.timers().cancel(*next_start_);
    next_start_ = loop_.timers().schedule(at, [this] {
        next_start_.reset();
        start(loop_.clock().now());
    });
}

void SnapshotWriter::start(Micros now) {
    changed_ = confirmed_ = false;
    started_ = now;
    auto job = std::make_unique<Job>(Job{.work = {},
                                         .keeper = this,
                                         .folder = folder_,
                                         .names = names_,
                                         .list = {},
                                         .generation = next_,
                                         .keep = good_,
                                         .fault = {}});
    const auto before = std::chrono::steady_clock::now();
    job->list = take_();
    const auto held =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - before)
            .count();
    metrics_.longest_snapshot = std::max<Micros>(metrics_.longest_snapshot, held);
    job->work.data = job.get();
    const int queued = uv_queue_work(
        loop_.raw(), &job->work, [](uv_work_t* work) { static_cast<Job*>(work->data)->run(); },
        [](uv_work_t* work, int) {
            const std::unique_ptr<Job> job(static_cast<Job*>(work->data));
            if (!job->keeper) return;
            job->keeper->job_ = nullptr;
            job->keeper->done(job->fault, job->generation, job->bytes);
        });
    if (queued != 0) return done(uv_strerror(queued), next_, 0);
    job_ = job.release();
}

void SnapshotWriter::done(const std::string& fault, std::uint64_t generation, std::size_t bytes) {
    if (fault.empty()) {
        if (failures_ > 0) log::info("saved list: written again after {} failures", failures_);
        failures_ = 0;
        good_ = generation;
        next_ = generation + 1;
        ++metrics_.written;
        metrics_.bytes += bytes;
        metrics_.generation = generation;
    } else {
        if (failures_++ == 0) log::warn("saved list: not written, goes on without: {}", fault);
        ++metrics_.failed;
        changed_ = true;  // what it held is still not on disk
    }
    metrics_.last_fault = fault;
    look();
}

struct SnapshotLoader::Shared {
    std::mutex mutex;
    std::condition_variable known;
    std::optional<LoadedSnapshot> found;
};

SnapshotLoader::SnapshotLoader(std::string folder, endpoints::NameTables names, std::string site,
                               base::UnixTime wall_now)
    : shared_(std::make_shared<Shared>()) {
    std::thread([shared = shared_, folder = SnapshotDirectory(std::move(folder)), names = std::move(names),
                 site = std::move(site), wall_now] {
        LoadedSnapshot found;
        try {
            found = folder.read(names, site, wall_now);
            found.lock = std::make_shared<base::DirectoryLock>(folder.path());
        } catch (const std::exception& wrong) {
            found.skipped.push_back(
                {folder.path(), {endpoints::SnapshotError::Code::unreadable, wrong.what()}});
        }
        const std::lock_guard held(shared->mutex);
        shared->found = std::move(found);
        shared->known.notify_all();
    }).detach();
}

std::optional<LoadedSnapshot> SnapshotLoader::take(std::chrono::milliseconds wait) {
    std::unique_lock held(shared_->mutex);
    shared_->known.wait_for(held, wait, [this] { return shared_->found.has_value(); });
    return std::exchange(shared_->found, std::nullopt);
}

}  // namespace sumackeel::endpoint_snapshot
