#include "consensus/raft_disk.h"

#include <utility>

namespace sumackeel::consensus {

namespace {

// With a disk that hangs the library goes on trying to be elected; what it sends meanwhile is old by then.
constexpr std::size_t kMostHeld = 1'024;

}  // namespace

// Danger: the library (0.15) follows a pointer into nothing when an append of its own as leader fails on
// disk. So it is never told: the log is closed instead, and this member asks the others from then on.
struct RaftDisk::Append {
    raft_io_append request{};
    RaftDisk* disk = nullptr;
    raft_io_append* told = nullptr;
    raft_io_append_cb done = nullptr;
};

RaftDisk::State::~State() {
    if (io.impl) raft_uv_close(&io);
}

RaftDisk::RaftDisk(net::Loop& loop, std::function<void(int status)> failed)
    : loop_(loop), tell_failed_(std::move(failed)), state_(std::make_shared<State>()), writes_(loop) {
    state_->owner = this;
}

RaftDisk& RaftDisk::of(raft_io* io) {
    return *reinterpret_cast<State*>(io)->owner;
}

int RaftDisk::open(const std::string& folder, raft_uv_transport* transport,
                   std::unique_ptr<base::DirectoryLock> lock) {
    state_->lock = std::move(lock);
    const int made = raft_uv_init(io(), loop_.raw(), folder.c_str(), transport);
    if (made == 0) replace_calls();
    return made;
}

void RaftDisk::replace_calls() {
    raft_io& io = state_->io;
    real_ = io;
    io.set_term = [](raft_io* on, raft_term term) {
        of(on).unwritten_ = {.term = term, .vote = {}};
        of(on).write_ballot();
        return 0;
    };
    io.set_vote = [](raft_io* on, raft_id id) {
        of(on).unwritten_.vote = id;
        of(on).write_ballot();
        return 0;
    };
    io.send = [](raft_io* on, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
        return of(on).send(request, *message, done);
    };
    io.append = [](raft_io* on, raft_io_append* request, const raft_entry entries[], unsigned count,
                   raft_io_append_cb done) { return of(on).append(request, entries, count, done); };
    io.truncate = [](raft_io* on, raft_index index) { return of(on).truncate(index); };
    io.snapshot_put = [](raft_io* on, unsigned trailing, raft_io_snapshot_put* request,
                         const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
        return of(on).put_snapshot(trailing, request, snapshot, done);
    };
}

// Danger: the library's own calls run on another thread here. They touch nothing but the two files of the
// ballot and the library's copy of it, which is read at the start alone.
void RaftDisk::write_ballot() {
    if (writes_.busy() || unwritten_.empty() || failed_ || closed_) return;
    const auto status = std::make_shared<Status>(0);
    const auto set_term = real_.set_term;
    const auto set_vote = real_.set_vote;
    writes_.run(
        [state = state_, ballot = std::exchange(unwritten_, {}), status, set_term, set_vote] {
            if (ballot.term) *status = set_term(&state->io, *ballot.term);
            if (*status == 0 && ballot.vote) *status = set_vote(&state->io, *ballot.vote);
        },
        [this, status] { ballot_written(*status); });
}

void RaftDisk::ballot_written(Status status) {
    if (status != 0) return fail(status);
    write_ballot();
    release_held();
}

void RaftDisk::release_held() {
    while (!held_.empty() && !writes_.busy() && !failed_) {
        const Held one = std::move(held_.front());
        held_.pop_front();
        if (const Status status = one.carry_out(); status != 0) one.give_up(status);
    }
}

int RaftDisk::send(raft_io_send* request, const raft_message& message, raft_io_send_cb done) {
    if (!holds()) return real_.send(io(), request, &message, done);
    if (held_.size() >= kMostHeld) return RAFT_CANCELED;
    auto carry_out = [this, request, copy = message, done,
                      address = std::string(message.server_address)]() mutable {
        copy.server_address = address.c_str();
        return real_.send(io(), request, &copy, done);
    };
    held_.push_back({std::move(carry_out), [request, done](Status status) { done(request, status); }});
    return 0;
}

int RaftDisk::append(raft_io_append* request, const raft_entry* entries, unsigned count,
                     raft_io_append_cb done) {
    if (!holds()) return append_now(request, entries, count, done);
    held_.push_back(
        {[this, request, entries, count, done] { return append_now(request, entries, count, done); },
         [this, request, done](Status status) { closed_ ? done(request, status) : fail(status); }});
    return 0;
}

int RaftDisk::append_now(raft_io_append* request, const raft_entry* entries, unsigned count,
                         raft_io_append_cb done) {
    auto* append = new Append{{}, this, request, done};
    append->request.data = append;
    const Status status =
        real_.append(io(), &append->request, entries, count, [](raft_io_append* ended, int how) {
            const std::unique_ptr<Append> whole(static_cast<Append*>(ended->data));
            whole->disk->appended(*whole, how);
        });
    if (status != 0) {
        delete append;
    } else if (appends_++ == 0) {
        progressed_ = loop_.clock().now();
    }
    return status;
}

void RaftDisk::appended(const Append& append, Status status) {
    --appends_;
    progressed_ = loop_.clock().now();
    if (status == 0 || closed_) return append.done(append.told, status);
    fail(status);
}

int RaftDisk::truncate(raft_index index) {
    if (!holds()) return real_.truncate(io(), index);
    held_.push_back(
        {[this, index] { return real_.truncate(io(), index); }, [this](Status status) { fail(status); }});
    return 0;
}

int RaftDisk::put_snapshot(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot* snapshot,
                           raft_io_snapshot_put_cb done) {
    if (!holds()) return real_.snapshot_put(io(), trailing, request, snapshot, done);
    held_.push_back({[this, trailing, request, snapshot, done] {
                         return real_.snapshot_put(io(), trailing, request, snapshot, done);
                     },
                     [request, done](Status status) { done(request, status); }});
    return 0;
}

void RaftDisk::fail(Status status) {
    if (closed_ || std::exchange(failed_, true)) return;
    tell_failed_(status);
}

bool RaftDisk::is_stuck() const {
    const bool appends = appends_ > 0 && loop_.clock().now() - progressed_ > net::BackgroundTask::kStuckAfter;
    return appends || writes_.is_stuck();
}

void RaftDisk::close() {
    closed_ = true;
    for (const Held& one : std::exchange(held_, {})) one.give_up(RAFT_CANCELED);
}

void RaftDisk::release() {
    state_ = std::make_shared<State>();
    state_->owner = this;
}

}  // namespace sumackeel::consensus
