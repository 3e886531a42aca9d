#include "saved_list/keeper.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "base/log.h"

namespace sumackeel::saved_list {

namespace {

constexpr Micros kGather = 5'000;

}  // namespace

// All that the pool's thread touches. It outlives its keeper where the disk hangs.
struct Keeper::Job {
    uv_work_t work{};
    Keeper* keeper;  // null: it is gone
    Folder folder;
    membership::Names names;
    membership::Snapshot list;
    std::uint64_t generation, keep;
    std::string fault;
    std::size_t bytes = 0;

    // On a thread of the pool, called from C: nothing may be thrown past here.
    void run() noexcept try {
        const std::string packed = membership::encode(list, names);
        bytes = packed.size();
        fault = folder.write(packed, generation, keep);
    } catch (const std::exception& wrong) {
        fault = wrong.what();
    }
};

Keeper::Keeper(net::Loop& loop, std::string folder, membership::Names names, Pace pace, Take take)
    : loop_(loop),
      folder_(std::move(folder)),
      names_(std::move(names)),
      pace_(pace),
      take_(std::move(take)) {}

Keeper::~Keeper() {
    if (next_start_) loop_.deadlines().drop(*next_start_);
    if (job_) job_->keeper = nullptr;
}

void Keeper::begin_behind(std::uint64_t generation, std::uint64_t good) {
    next_ = generation + 1;
    good_ = good;
    figures_.generation = generation;
    ready_ = true;
    look();
}

void Keeper::changed() {
    changed_ = true;
    look();
}

void Keeper::confirmed() {
    if (std::exchange(confirmed_, true)) return;
    look();
}

void Keeper::flush() {
    if (!ready_ || job_ || (!changed_ && !confirmed_) || failures_ > 0) return;
    if (next_start_) loop_.deadlines().drop(*next_start_);
    next_start_.reset();
    start(loop_.clock().now());
}

void Keeper::look() {
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
    if (next_start_ && next_start_->first <= at) return;  // put off by each change it would never come
    if (next_start_) loop_.deadlines().drop(*next_start_);
    next_start_ = loop_.deadlines().set(at, [this] {
        next_start_.reset();
        start(loop_.clock().now());
    });
}

void Keeper::start(Micros now) {
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
    figures_.longest_snapshot = std::max<Micros>(figures_.longest_snapshot, held);
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

void Keeper::done(const std::string& fault, std::uint64_t generation, std::size_t bytes) {
    if (fault.empty()) {
        if (failures_ > 0) log::info("saved list: written again after {} failures", failures_);
        failures_ = 0;
        good_ = generation;
        next_ = generation + 1;
        ++figures_.written;
        figures_.bytes += bytes;
        figures_.generation = generation;
    } else {
        if (failures_++ == 0) log::warn("saved list: not written, goes on without: {}", fault);
        ++figures_.failed;
        changed_ = true;  // what it held is still not on disk
    }
    figures_.last_fault = fault;
    look();
}

struct Loading::Shared {
    std::mutex mutex;
    std::condition_variable known;
    std::optional<Found> found;
};

Loading::Loading(std::string folder, membership::Names names, std::string site, base::UnixTime wall_now)
    : shared_(std::make_shared<Shared>()) {
    std::thread([shared = shared_, folder = Folder(std::move(folder)), names = std::move(names),
                 site = std::move(site), wall_now] {
        Found found;
        try {
            found = folder.read(names, site, wall_now);
            found.lock = std::make_shared<base::FolderLock>(folder.path());
        } catch (const std::exception& wrong) {
            found.passed.push_back({folder.path(), {membership::Fault::Kind::unreadable, wrong.what()}});
        }
        const std::lock_guard held(shared->mutex);
        shared->found = std::move(found);
        shared->known.notify_all();
    }).detach();
}

std::optional<Found> Loading::take(std::chrono::milliseconds wait) {
    std::unique_lock held(shared_->mutex);
    shared_->known.wait_for(held, wait, [this] { return shared_->found.has_value(); });
    return std::exchange(shared_->found, std::nullopt);
}

}  // namespace sumackeel::saved_list
