#include "endpoint_snapshot/snapshot_writer.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "base/log.h"

namespace sumackeel::endpoint_snapshot {

namespace {

constexpr Micros kBatchDelay = 5'000;

}  // namespace

// All that the pool's thread accesses. It outlives the writer if the disk hangs.
struct SnapshotWriter::Job {
    uv_work_t work{};
    SnapshotWriter* writer;  // null: the writer was destroyed
    SnapshotDirectory folder;
    endpoints::NameTables names;
    endpoints::Snapshot snapshot;
    std::uint64_t generation, keep_generation;
    std::string fault;
    std::size_t bytes = 0;

    // Runs on a thread of the pool, called from C: no exception may leave it.
    void run() noexcept try {
        const std::string encoded = endpoints::encode(snapshot, names);
        bytes = encoded.size();
        fault = folder.write(encoded, generation, keep_generation);
    } catch (const std::exception& error) {
        fault = error.what();
    }
};

SnapshotWriter::SnapshotWriter(net::Loop& loop, std::string folder, endpoints::NameTables names,
                               WriteSchedule schedule, TakeSnapshot take)
    : loop_(loop),
      folder_(std::move(folder)),
      names_(std::move(names)),
      schedule_(schedule),
      take_snapshot_(std::move(take)) {}

SnapshotWriter::~SnapshotWriter() {
    if (write_timer_) loop_.timers().cancel(*write_timer_);
    if (job_) job_->writer = nullptr;
}

void SnapshotWriter::start_after(std::uint64_t generation, std::uint64_t good_generation) {
    next_generation_ = generation + 1;
    good_generation_ = good_generation;
    metrics_.generation = generation;
    ready_ = true;
    schedule_write();
}

void SnapshotWriter::on_changed() {
    changed_ = true;
    schedule_write();
}

void SnapshotWriter::on_confirmed() {
    if (std::exchange(confirmed_, true)) return;
    schedule_write();
}

void SnapshotWriter::flush() {
    if (!ready_ || job_ || (!changed_ && !confirmed_) || failures_ > 0) return;
    if (write_timer_) loop_.timers().cancel(*write_timer_);
    write_timer_.reset();
    start_write(loop_.clock().now());
}

void SnapshotWriter::schedule_write() {
    if (!ready_ || job_ || (!changed_ && !confirmed_)) return;
    const Micros now = loop_.clock().now();
    Micros wait = schedule_.save_every;
    for (int i = 0; i < failures_ && wait < schedule_.longest_wait; ++i) wait *= 2;
    wait = failures_ > 0 ? std::min(wait, schedule_.longest_wait)
           : changed_    ? wait
                         : std::max(wait, schedule_.refresh);
    // Delayed, so that several changes in one turn of the loop, such as a list and its confirmation, go into
    // one write.
    const Micros at = std::max(started_at_ + wait, now + kBatchDelay);
    if (write_timer_ && write_timer_->due_at <= at)
        return;  // not postponed: with steady changes it would never run
    if (write_timer_) loop_.timers().cancel(*write_timer_);
    write_timer_ = loop_.timers().schedule(at, [this] {
        write_timer_.reset();
        start_write(loop_.clock().now());
    });
}

void SnapshotWriter::start_write(Micros now) {
    changed_ = confirmed_ = false;
    started_at_ = now;
    auto job = std::make_unique<Job>(Job{.work = {},
                                         .writer = this,
                                         .folder = folder_,
                                         .names = names_,
                                         .snapshot = {},
                                         .generation = next_generation_,
                                         .keep_generation = good_generation_,
                                         .fault = {}});
    const auto before = std::chrono::steady_clock::now();
    job->snapshot = take_snapshot_();
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - before)
            .count();
    metrics_.longest_snapshot = std::max<Micros>(metrics_.longest_snapshot, elapsed);
    job->work.data = job.get();
    const int queued = uv_queue_work(
        loop_.raw(), &job->work, [](uv_work_t* work) { static_cast<Job*>(work->data)->run(); },
        [](uv_work_t* work, int) {
            const std::unique_ptr<Job> job(static_cast<Job*>(work->data));
            if (!job->writer) return;
            job->writer->job_ = nullptr;
            job->writer->on_write_done(job->fault, job->generation, job->bytes);
        });
    if (queued != 0) return on_write_done(uv_strerror(queued), next_generation_, 0);
    job_ = job.release();
}

void SnapshotWriter::on_write_done(const std::string& fault, std::uint64_t generation, std::size_t bytes) {
    if (fault.empty()) {
        if (failures_ > 0) log::info("endpoint_snapshot: writes_resumed failures={}", failures_);
        failures_ = 0;
        good_generation_ = generation;
        next_generation_ = generation + 1;
        ++metrics_.written;
        metrics_.bytes += bytes;
        metrics_.generation = generation;
    } else {
        if (failures_++ == 0) log::warn("endpoint_snapshot: write_failed reason={}", fault);
        ++metrics_.failed;
        changed_ = true;  // the contents of the failed write are not on disk yet
    }
    metrics_.last_fault = fault;
    schedule_write();
}

struct SnapshotLoader::Shared {
    std::mutex mutex;
    std::condition_variable ready;
    std::optional<LoadedSnapshot> result;
};

SnapshotLoader::SnapshotLoader(std::string folder, endpoints::NameTables names, std::string site,
                               base::UnixTime wall_now)
    : shared_(std::make_shared<Shared>()) {
    std::thread([shared = shared_, folder = SnapshotDirectory(std::move(folder)), names = std::move(names),
                 site = std::move(site), wall_now] {
        LoadedSnapshot result;
        try {
            result = folder.read(names, site, wall_now);
            result.lock = std::make_shared<base::DirectoryLock>(folder.path());
        } catch (const std::exception& error) {
            result.skipped.push_back(
                {folder.path(), {endpoints::SnapshotError::Code::unreadable, error.what()}});
        }
        const std::lock_guard held(shared->mutex);
        shared->result = std::move(result);
        shared->ready.notify_all();
    }).detach();
}

std::optional<LoadedSnapshot> SnapshotLoader::take(std::chrono::milliseconds wait) {
    std::unique_lock held(shared_->mutex);
    shared_->ready.wait_for(held, wait, [this] { return shared_->result.has_value(); });
    return std::exchange(shared_->result, std::nullopt);
}

}  // namespace sumackeel::endpoint_snapshot
