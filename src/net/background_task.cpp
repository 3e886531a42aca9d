#include "net/background_task.h"

#include <memory>
#include <utility>

#include "net/guarded_call.h"

namespace sumackeel::net {

struct BackgroundTask::Job {
    uv_work_t work{};
    BackgroundTask* owner;  // null: destroyed
    std::function<void()> task;
    std::function<void()> done;
};

BackgroundTask::~BackgroundTask() {
    if (job_) job_->owner = nullptr;
}

void BackgroundTask::run(std::function<void()> work, std::function<void()> done) {
    started_at_ = loop_.clock().now();
    job_ = new Job{{}, this, std::move(work), std::move(done)};
    job_->work.data = job_;
    uv_queue_work(
        loop_.raw(), &job_->work,
        [](uv_work_t* work) { guarded_call("background task", static_cast<Job*>(work->data)->task); },
        [](uv_work_t* work, int) {
            const std::unique_ptr<Job> job(static_cast<Job*>(work->data));
            if (!job->owner) return;
            job->owner->last_duration_ = job->owner->running_for();
            job->owner->job_ = nullptr;
            guarded_call("background task", job->done);
        });
}

}  // namespace sumackeel::net
