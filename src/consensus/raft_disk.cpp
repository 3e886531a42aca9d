#include "consensus/raft_disk.h"

#include <utility>

#include "base/log.h"
#include "consensus/raft_segment.h"
#include "consensus/slow_write.h"

namespace sumackeel::consensus {

namespace {

// With a hanging disk the library keeps trying to get elected. Beyond this limit its messages are dropped;
// they would be outdated by the time they could be sent.
constexpr std::size_t kMaxDeferredOperations = 1'024;

LogPosition last_of(const raft_snapshot* snapshot, raft_index first, const raft_entry* entries,
                    std::size_t count) {
    if (count > 0) return {entries[count - 1].term, first + count - 1};
    return snapshot ? LogPosition{snapshot->term, snapshot->index} : LogPosition{};
}

}  // namespace

// The library (0.15) dereferences a null pointer if the disk write of a leader's own append fails. The
// library is therefore never notified of such a failure: the log is closed instead, and this member polls the
// others from then on.
struct RaftDisk::Append {
    raft_io_append request{};
    RaftDisk* disk = nullptr;
    raft_io_append* library_request = nullptr;
    raft_io_append_cb done = nullptr;
    LogPosition end;  // the end of the log after this append
    net::Micros began_at = 0;
};

// The write of a snapshot that replaces the whole log.
struct RaftDisk::SnapshotPut {
    raft_io_snapshot_put request{};
    RaftDisk* disk = nullptr;
    raft_io_snapshot_put* library_request = nullptr;
    raft_io_snapshot_put_cb done = nullptr;
    LogPosition end;
};

RaftDisk::State::~State() {
    if (io.impl) raft_uv_close(&io);
}

RaftDisk::RaftDisk(net::Loop& loop, AcknowledgementFile acknowledgement_file,
                   std::function<void(int status)> on_failed)
    : loop_(loop),
      on_failed_(std::move(on_failed)),
      state_(std::make_shared<State>()),
      hard_state_writer_(loop),
      recorder_(loop, std::move(acknowledgement_file), [this] { fail(RAFT_IOERR); }) {
    state_->owner = this;
}

RaftDisk& RaftDisk::disk_of(raft_io* io) {
    return *reinterpret_cast<State*>(io)->owner;
}

int RaftDisk::open(const std::string& folder, raft_uv_transport* transport,
                   std::unique_ptr<base::DirectoryLock> lock) {
    state_->lock = std::move(lock);
    directory_ = folder;
    const int result = raft_uv_init(io(), loop_.raw(), folder.c_str(), transport);
    if (result == 0) replace_calls();
    return result;
}

void RaftDisk::replace_calls() {
    raft_io& io = state_->io;
    library_calls_ = io;
    io.load = [](raft_io* raw, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                 raft_entry* entries[], std::size_t* count) {
        return disk_of(raw).load(term, vote, snapshot, first, entries, count);
    };
    io.set_term = [](raft_io* raw, raft_term term) {
        disk_of(raw).unwritten_hard_state_ = {.term = term, .vote = {}};
        disk_of(raw).write_hard_state();
        return 0;
    };
    io.set_vote = [](raft_io* raw, raft_id id) {
        disk_of(raw).unwritten_hard_state_.vote = id;
        disk_of(raw).write_hard_state();
        return 0;
    };
    io.send = [](raft_io* raw, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
        return disk_of(raw).send(request, *message, done);
    };
    io.append = [](raft_io* raw, raft_io_append* request, const raft_entry entries[], unsigned count,
                   raft_io_append_cb done) { return disk_of(raw).append(request, entries, count, done); };
    io.truncate = [](raft_io* raw, raft_index index) { return disk_of(raw).truncate(index); };
    io.snapshot_put = [](raft_io* raw, unsigned trailing, raft_io_snapshot_put* request,
                         const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
        return disk_of(raw).put_snapshot(trailing, request, snapshot, done);
    };
}

int RaftDisk::load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                   raft_entry** entries, std::size_t* count) {
    if (const std::string reason = complete_segments(directory_); !reason.empty()) {
        log::error("consensus: segment unreadable reason={}", reason);
        load_failed_ = true;
        return RAFT_CORRUPT;
    }
    const Status status = library_calls_.load(io(), term, vote, snapshot, first, entries, count);
    load_failed_ = status != 0 && status != RAFT_NOMEM;
    if (status != 0) return status;
    const LogPosition last = last_of(*snapshot, *first, *entries, *count);
    last_index_ = last.index;
    recorder_.on_loaded(history_, last, state_);
    return status;
}

// Runs the library's own calls on another thread. This is safe only because they access nothing but the two
// files that hold term and vote, and the library's copy of them, which is only read at startup.
void RaftDisk::write_hard_state() {
    if (hard_state_writer_.busy() || unwritten_hard_state_.empty() || failed_ || closed_) return;
    const auto status = std::make_shared<Status>(0);
    const auto set_term = library_calls_.set_term;
    const auto set_vote = library_calls_.set_vote;
    hard_state_writer_.run(
        [state = state_, hard_state = std::exchange(unwritten_hard_state_, {}), status, set_term, set_vote] {
            if (hard_state.term) *status = set_term(&state->io, *hard_state.term);
            if (*status == 0 && hard_state.vote) *status = set_vote(&state->io, *hard_state.vote);
        },
        [this, status] { on_hard_state_written(*status); });
}

void RaftDisk::on_hard_state_written(Status status) {
    warn_if_slow("term and vote", hard_state_writer_.last_duration());
    if (status != 0) return fail(status);
    write_hard_state();
    run_deferred();
}

void RaftDisk::run_deferred() {
    while (!deferred_.empty() && !hard_state_writer_.busy() && !failed_) {
        const DeferredOperation operation = std::move(deferred_.front());
        deferred_.pop_front();
        if (const Status status = operation.run(); status != 0) operation.fail(status);
    }
}

int RaftDisk::send(raft_io_send* request, const raft_message& message, raft_io_send_cb done) {
    if (!must_defer()) return send_now(request, message, done);
    if (deferred_.size() >= kMaxDeferredOperations) return RAFT_CANCELED;
    auto operation = [this, request, copy = message, done,
                      address = std::string(message.server_address)]() mutable {
        copy.server_address = address.c_str();
        return send_now(request, copy, done);
    };
    deferred_.push_back({std::move(operation), [request, done](Status status) { done(request, status); }});
    return 0;
}

// While this voter lacks entries that it acknowledged, its vote must not elect a candidate that lacks them
// too, and it must not get elected itself.
int RaftDisk::send_now(raft_io_send* request, const raft_message& message, raft_io_send_cb done) {
    if (!recorder_.is_behind()) return library_calls_.send(io(), request, &message, done);
    if (message.type == RAFT_IO_REQUEST_VOTE) return RAFT_CANCELED;
    raft_message sent = message;
    if (sent.type == RAFT_IO_REQUEST_VOTE_RESULT) sent.request_vote_result.vote_granted = false;
    return library_calls_.send(io(), request, &sent, done);
}

int RaftDisk::append(raft_io_append* request, const raft_entry* entries, unsigned count,
                     raft_io_append_cb done) {
    if (!must_defer()) return append_now(request, entries, count, done);
    deferred_.push_back(
        {[this, request, entries, count, done] { return append_now(request, entries, count, done); },
         [this, request, done](Status status) { closed_ ? done(request, status) : fail(status); }});
    return 0;
}

int RaftDisk::append_now(raft_io_append* request, const raft_entry* entries, unsigned count,
                         raft_io_append_cb done) {
    const LogPosition end{entries[count - 1].term, last_index_ + count};
    auto* append = new Append{{}, this, request, done, end, loop_.clock().now()};
    append->request.data = append;
    const Status status = library_calls_.append(
        io(), &append->request, entries, count, [](raft_io_append* request_done, int result) {
            const std::unique_ptr<Append> finished(static_cast<Append*>(request_done->data));
            finished->disk->on_appended(*finished, result);
        });
    if (status != 0) {
        delete append;
        return status;
    }
    last_index_ = end.index;
    if (appends_in_flight_++ == 0) last_progress_at_ = loop_.clock().now();
    return status;
}

void RaftDisk::on_appended(const Append& append, Status status) {
    --appends_in_flight_;
    last_progress_at_ = loop_.clock().now();
    warn_if_slow("entries", last_progress_at_ - append.began_at);
    if (closed_) return append.done(append.library_request, status);
    if (status != 0) return fail(status);
    recorder_.add({append.end, [request = append.library_request, done = append.done](Status result) {
                       done(request, result);
                   }});
}

int RaftDisk::truncate(raft_index index) {
    if (!must_defer()) return truncate_now(index);
    deferred_.push_back(
        {[this, index] { return truncate_now(index); }, [this](Status status) { fail(status); }});
    return 0;
}

int RaftDisk::truncate_now(raft_index index) {
    const Status status = library_calls_.truncate(io(), index);
    if (status == 0) last_index_ = index - 1;
    return status;
}

int RaftDisk::put_snapshot(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot* snapshot,
                           raft_io_snapshot_put_cb done) {
    if (!must_defer()) return put_snapshot_now(trailing, request, snapshot, done);
    deferred_.push_back({[this, trailing, request, snapshot, done] {
                             return put_snapshot_now(trailing, request, snapshot, done);
                         },
                         [request, done](Status status) { done(request, status); }});
    return 0;
}

// A snapshot without trailing entries was sent by the leader and replaces the log; otherwise it is a snapshot
// of this voter's own state.
int RaftDisk::put_snapshot_now(unsigned trailing, raft_io_snapshot_put* request,
                               const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
    if (trailing > 0) return library_calls_.snapshot_put(io(), trailing, request, snapshot, done);
    auto* put = new SnapshotPut{{}, this, request, done, {snapshot->term, snapshot->index}};
    put->request.data = put;
    const Status status = library_calls_.snapshot_put(
        io(), trailing, &put->request, snapshot, [](raft_io_snapshot_put* request_done, int result) {
            const std::unique_ptr<SnapshotPut> finished(static_cast<SnapshotPut*>(request_done->data));
            auto report = [request = finished->library_request, call = finished->done](Status reported) {
                call(request, reported);
            };
            RaftDisk& disk = *finished->disk;
            if (result != 0 || disk.closed_) return report(result);
            disk.recorder_.add({finished->end, report});
        });
    if (status != 0) {
        delete put;
        return status;
    }
    last_index_ = snapshot->index;
    return status;
}

void RaftDisk::fail(Status status) {
    if (closed_ || std::exchange(failed_, true)) return;
    on_failed_(status);
}

bool RaftDisk::is_stuck() const {
    const bool appends =
        appends_in_flight_ > 0 && loop_.clock().now() - last_progress_at_ > net::BackgroundTask::kStuckAfter;
    return appends || hard_state_writer_.is_stuck() || recorder_.is_stuck();
}

void RaftDisk::close() {
    closed_ = true;
    recorder_.cancel(RAFT_CANCELED);
    for (const DeferredOperation& operation : std::exchange(deferred_, {})) operation.fail(RAFT_CANCELED);
}

void RaftDisk::release() {
    state_ = std::make_shared<State>();
    state_->owner = this;
}

}  // namespace sumackeel::consensus
