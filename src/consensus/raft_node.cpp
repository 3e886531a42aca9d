#include "consensus/raft_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/files.h"
#include "base/log.h"
#include "consensus/raft_directory.h"
#include "consensus/raft_disk.h"
#include "consensus/raft_state_machine.h"
#include "consensus/raft_transport.h"
#include "consensus/voter_reconciler.h"

namespace sumackeel::consensus {

using rollout::CommandResult;

namespace {

constexpr unsigned kSnapshotThresholdEntries = 512,
                   kSnapshotTrailingEntries = 128;  // of a few KB each at most
constexpr std::size_t kSegmentBytes = 1 << 20;
constexpr unsigned kConnectRetryMs = 200;
constexpr unsigned kMinHeartbeatMs = 20, kHeartbeatsPerElectionTimeout = 5;
// A voter that is taking its own snapshot ignores one that is sent to it, and the leader sends it nothing
// else until this timeout has passed. With the library's default of 30 s the voter would lag for that long.
constexpr unsigned kInstallSnapshotTimeoutMs = 3'000;

struct ApplyRequest {
    struct raft_apply request {};
    RaftNode::ResultCallback done;
};

struct BarrierRequest {
    struct raft_barrier request {};
    std::function<void(bool committed)> done;
};

}  // namespace

struct RaftNode::Impl {
    net::Loop& loop;
    const Hooks hooks;
    const std::string self, address;
    const RaftDirectory directory;
    RaftTransport transport;
    RaftDisk disk;
    raft_tracer tracer{nullptr, log::is_enabled(log::Level::debug),
                       [](raft_tracer*, const char* file, int line, const char* message) {
                           log::debug("raft: trace at={}:{} message={}", file, line, message);
                       }};
    RaftStateMachine machine;
    raft raft_instance{};
    VoterReconciler reconciler;
    bool started = false;
    bool failed = false;
    bool closed = false;
    bool library_open = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    raft_term observed_leader_term = 0;      // the last term in which is_caught_up_leader() saw it lead
    raft_index last_index_when_elected = 0;  // last log index seen in that term; may include later entries

    Impl(net::Loop& on_loop, const MessageCodec& codec, const std::string& name, Hooks given)
        : loop(on_loop),
          hooks(std::move(given)),
          self(name),
          address(hooks.setup.voters.at(self)),
          directory(hooks.setup.folder, hooks.marker_directory),
          transport(loop, codec, address, hooks.reachable_address, hooks.newer_history_found),
          disk(loop, AcknowledgementFile(hooks.marker_directory),
               [this](int status) { on_disk_failed(status); }),
          machine({hooks.state_changed, hooks.kv_store_changed}),
          reconciler(raft_instance, {self, hooks.setup, hooks.known_voters, hooks.is_alive}) {}
    ~Impl() { close_now(); }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    std::string open(LogStart start);
    std::string init_library();
    std::string write_first_entry();
    std::string write_forced_history();
    void on_disk_failed(int status);
    std::string error_text(int result, const char* action);
    void close();
    void close_now();

    bool votes() const { return started && !failed && !closed; }
    bool leads() { return votes() && raft_state(&raft_instance) == RAFT_LEADER; }
    std::string leader();
    bool is_caught_up_leader();

    bool propose(const std::string& command, ResultCallback done);
    void confirm_leadership(std::function<void(bool confirmed)> done);
    void read(const std::string& key, ResultCallback done);
    void transfer_leadership(const std::string& to, ResultCallback done);
};

// --- The log: opening and closing ---

std::string RaftNode::Impl::open(LogStart start) {
    const bool lost = directory.has_lost_log();
    auto lock = std::make_unique<base::DirectoryLock>(directory.path());
    if (!lock->error().empty()) return lock->error();
    if (const int result = disk.open(directory.path(), transport.raw(), std::move(lock)); result != 0)
        return error_text(result, "opening the log directory");
    if (std::string error = init_library(); !error.empty()) return error;
    // A voter that has lost its log has forgotten its votes. Two such voters could form a majority of their
    // own besides the existing one. Without a first entry this voter waits until the leader sends it the log.
    if (!lost && start == LogStart::bootstrap)
        if (std::string error = write_first_entry(); !error.empty()) return error;
    try {
        const std::uint64_t history = directory.read_history();
        transport.set_history(history);
        disk.set_history(history);
    } catch (const std::exception& error) {
        return error.what();
    }
    if (const int result = raft_start(&raft_instance); result != 0)
        return error_text(result, "starting raft");
    started = true;
    if (std::string error = disk.record_loaded(); !error.empty()) return error;
    return directory.mark_log_started();
}

std::string RaftNode::Impl::init_library() {
    raft_uv_set_tracer(disk.io(), &tracer);
    raft_uv_set_segment_size(disk.io(), kSegmentBytes);
    raft_uv_set_connect_retry_delay(disk.io(), kConnectRetryMs);
    if (const int result =
            raft_init(&raft_instance, disk.io(), machine.fsm(), raft_id_of(self), address.c_str());
        result != 0)
        return error_text(result, "initializing raft");
    raft_instance.data = this;
    raft_instance.tracer = &tracer;
    library_open = true;
    const unsigned election_ms = hooks.setup.election_ms;
    raft_set_pre_vote(&raft_instance, true);
    raft_set_election_timeout(&raft_instance, election_ms);
    raft_set_heartbeat_timeout(&raft_instance,
                               std::max(kMinHeartbeatMs, election_ms / kHeartbeatsPerElectionTimeout));
    raft_set_install_snapshot_timeout(&raft_instance, kInstallSnapshotTimeoutMs);
    raft_set_snapshot_threshold(&raft_instance, kSnapshotThresholdEntries);
    raft_set_snapshot_trailing(&raft_instance, kSnapshotTrailingEntries);
    return {};
}

// Writes the voters as the first entry of a new log; if an operator forced the start, only this voter.
std::string RaftNode::Impl::write_first_entry() {
    const bool forced = directory.is_start_forced();
    raft_configuration configuration;
    raft_configuration_init(&configuration);
    for (const auto& [voter, voter_address] : hooks.setup.voters)
        if (!forced || voter == self)
            raft_configuration_add(&configuration, raft_id_of(voter), voter_address.c_str(), RAFT_VOTER);
    const int result = forced ? raft_recover(&raft_instance, &configuration)
                              : raft_bootstrap(&raft_instance, &configuration);
    raft_configuration_close(&configuration);
    const bool has_entries = !forced && result == RAFT_CANTBOOTSTRAP;
    if (result != 0 && !has_entries) return error_text(result, "writing the voter configuration");
    return forced ? write_forced_history() : std::string{};
}

// The new history is written before the marker is removed, so that this voter never communicates again with
// the voters that were left behind.
std::string RaftNode::Impl::write_forced_history() {
    const auto now = static_cast<std::uint64_t>(loop.clock().unix_now().micros);
    const std::uint64_t history = std::max(directory.read_history() + 1, now);
    if (std::string error = RaftDirectory::write_history(directory.path(), history); !error.empty())
        return error;
    const std::string archived = directory.archive_force_marker(loop.clock().now());
    log::error(
        "consensus: start forced by operator history={} marker={} reason=entries that only the other "
        "voters had are lost",
        history, archived);
    return {};
}

void RaftNode::Impl::on_disk_failed(int status) {
    if (std::exchange(failed, true)) return;
    log::error("consensus: log write failed folder={} reason={}; not voting until restart or reload",
               directory.path(), raft_strerror(status));
    const std::weak_ptr<bool> still_alive = alive;
    loop.timers().schedule(loop.clock().now(), [this, still_alive] {
        if (still_alive.expired()) return;
        close();
        hooks.failed();
    });
}

std::string RaftNode::Impl::error_text(int result, const char* action) {
    return fmt::format("consensus: {} failed in {}: {} ({})", action, directory.path(), raft_strerror(result),
                       library_open ? raft_errmsg(&raft_instance) : disk.io()->errmsg);
}

void RaftNode::Impl::close() {
    if (!library_open || std::exchange(closed, true)) return;
    raft_close(&raft_instance, [](raft* closed_raft) {
        auto* impl = static_cast<Impl*>(closed_raft->data);
        impl->library_open = false;
        impl->disk.release();  // another process may be waiting for the directory
    });
    disk.close();
}

void RaftNode::Impl::close_now() {
    alive.reset();
    close();
    while (library_open) uv_run(loop.raw(), UV_RUN_ONCE);
    closed = true;
    disk.release();
}

// --- Leadership ---

std::string RaftNode::Impl::leader() {
    raft_id id = 0;
    const char* leader_address = nullptr;
    if (votes()) raft_leader(&raft_instance, &id, &leader_address);
    return id == 0 ? std::string{} : reconciler.name_of(id);
}

// An elected leader has all committed entries in its log, but applies them only after an entry of its own
// term has been committed.
bool RaftNode::Impl::is_caught_up_leader() {
    if (!leads()) return false;
    if (observed_leader_term != raft_instance.current_term) {
        observed_leader_term = raft_instance.current_term;
        last_index_when_elected = raft_last_index(&raft_instance);
    }
    return raft_last_applied(&raft_instance) >= last_index_when_elected;
}

void RaftNode::Impl::transfer_leadership(const std::string& to, ResultCallback done) {
    if (to == self)
        return done(
            CommandResult{rollout::Outcome::granted, raft_instance.current_term, "leads already", {}});
    const auto names = reconciler.voters();
    if (std::find(names.begin(), names.end(), to) == names.end())
        return done(CommandResult{rollout::Outcome::rejected, 0, to + " does not vote", {}});
    if (reconciler.busy()) return done(std::nullopt);
    reconciler.transfer_leadership(raft_id_of(to), [this, to, done = std::move(done)] {
        if (leader() != to) return done(std::nullopt);  // not elected yet; the caller retries
        done(CommandResult{rollout::Outcome::granted, raft_instance.current_term, {}, {}});
    });
}

// --- Proposals and reads ---

bool RaftNode::Impl::propose(const std::string& command, ResultCallback done) {
    auto owner = std::make_unique<ApplyRequest>(ApplyRequest{{}, std::move(done)});
    owner->request.data = owner.get();
    const raft_buffer buffer = make_raft_buffer(command);
    const int rejected = raft_apply(
        &raft_instance, &owner->request, &buffer, 1,
        [](struct raft_apply* request, int status, void* result) {
            const std::unique_ptr<ApplyRequest> finished(static_cast<ApplyRequest*>(request->data));
            const auto* answer = static_cast<const CommandResult*>(result);
            finished->done(status == 0 && answer ? std::optional(*answer) : std::nullopt);
        });
    if (rejected != 0) {
        raft_free(buffer.base);
        return false;
    }
    static_cast<void>(owner.release());  // the library's until its callback
    return true;
}

void RaftNode::Impl::confirm_leadership(std::function<void(bool confirmed)> done) {
    auto owner = std::make_unique<BarrierRequest>(BarrierRequest{{}, std::move(done)});
    owner->request.data = owner.get();
    const int rejected =
        raft_barrier(&raft_instance, &owner->request, [](struct raft_barrier* request, int status) {
            const std::unique_ptr<BarrierRequest> finished(static_cast<BarrierRequest*>(request->data));
            finished->done(status == 0);
        });
    if (rejected != 0) return owner->done(false);
    static_cast<void>(owner.release());  // the library's until its callback
}

void RaftNode::Impl::read(const std::string& key, ResultCallback done) {
    confirm_leadership([this, key, done = std::move(done)](bool confirmed) {
        if (!confirmed) return done(std::nullopt);
        const kv_store::Entry* entry = machine.kv_store().find(key);
        if (!entry) return done(CommandResult{rollout::Outcome::none, 0, {}, {}});
        done(CommandResult{rollout::Outcome::granted, entry->version, entry->value, {}});
    });
}

// --- Public interface ---

RaftNode::RaftNode(net::Loop& loop, const MessageCodec& codec, const std::string& name, Hooks hooks)
    : impl_(std::make_unique<Impl>(loop, codec, name, std::move(hooks))) {}
RaftNode::~RaftNode() = default;

std::string RaftNode::open(LogStart start) {
    return impl_->open(start);
}
bool RaftNode::has_lost_log() const {
    return impl_->directory.has_lost_log();
}
bool RaftNode::is_log_unreadable() const {
    return impl_->disk.load_failed();
}
void RaftNode::stop() {
    impl_->failed = true;
    impl_->close();
}
bool RaftNode::stopped() const {
    return impl_->failed;
}
void RaftNode::close() {
    impl_->close();
}
bool RaftNode::closing() const {
    return impl_->library_open;
}
void RaftNode::close_now() {
    impl_->close_now();
}
bool RaftNode::is_disk_stuck() const {
    return impl_->disk.is_stuck();
}
bool RaftNode::is_voter() const {
    return impl_->votes();
}
bool RaftNode::is_leader() const {
    return impl_->leads();
}
std::string RaftNode::leader() const {
    return impl_->leader();
}
bool RaftNode::is_caught_up_leader() const {
    return impl_->is_caught_up_leader();
}
std::optional<std::uint64_t> RaftNode::last_stored() const {
    if (!impl_->votes() || impl_->disk.is_log_behind()) return std::nullopt;
    const raft_index stored = impl_->raft_instance.last_stored;
    return stored == 0 ? std::nullopt : std::optional<std::uint64_t>(stored);
}
std::uint64_t RaftNode::last_applied() const {
    return impl_->votes() ? raft_last_applied(&impl_->raft_instance) : 0;
}
std::vector<std::string> RaftNode::voters() const {
    return impl_->reconciler.voters();
}
std::uint64_t RaftNode::history() const {
    return impl_->transport.history();
}
const rollout::State& RaftNode::state() const {
    return impl_->machine.state();
}
const kv_store::State& RaftNode::kv_store() const {
    return impl_->machine.kv_store();
}
void RaftNode::reconcile_voters() {
    if (impl_->leads()) impl_->reconciler.reconcile();
}
bool RaftNode::propose(const std::string& command, ResultCallback done) {
    return impl_->propose(command, std::move(done));
}
void RaftNode::confirm_leadership(std::function<void(bool confirmed)> done) {
    impl_->confirm_leadership(std::move(done));
}
std::uint64_t RaftNode::term() const {
    return impl_->raft_instance.current_term;
}
void RaftNode::read(const std::string& key, ResultCallback done) {
    impl_->read(key, std::move(done));
}
void RaftNode::transfer_leadership(const std::string& to, ResultCallback done) {
    impl_->transfer_leadership(to, std::move(done));
}

}  // namespace sumackeel::consensus
