#include "consensus/raft_node.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <stdexcept>

#include "base/files.h"
#include "base/log.h"
#include "base/msgpack.h"
#include "consensus/raft_disk.h"
#include "consensus/raft_transport.h"

namespace sumackeel::consensus {

using base::Micros;
using rollout::CommandResult;

namespace {

constexpr unsigned kSnapshotAfter = 512, kTrailing = 128;  // entries; each is some KB at most
constexpr std::size_t kSegment = 1 << 20;
constexpr std::size_t kLongestFile = 256 << 20;  // a snapshot
// Danger: a voter that is taking a snapshot of its own turns one that comes away without a word, and the
// leader sends it nothing more until this is over. The library's 30 s leave that voter behind for as long.
constexpr unsigned kInstallWithinMs = 3'000;

constexpr const char* kVoted = "voted";  // in the folder of the peers: this one has had a log
constexpr const char* kForce = "force";  // in the log's folder: go on alone, as an operator wants it
// In the log's folder: "sumackeel-history 1 N". Logs that began by themselves are of history 0; each forced
// start begins a later one.
constexpr const char* kHistory = "history";
constexpr const char* kHistoryForm = "sumackeel-history 1 ";

// A snapshot: both states behind a mark. Without the mark: of the version before the registry, one state
// alone.
constexpr const char* kSnapshotMark = "sumackeel-agreed";
std::string pack_states(const rollout::State& state, const kv_store::State& registry) {
    base::MsgpackWriter out;
    return out.array(3).add(std::string(kSnapshotMark), state.encode(), registry.encode()).bytes();
}
void unpack_states(std::string_view bytes, rollout::State& state, kv_store::State& registry) {
    constexpr std::size_t kMostBytes = 256 << 20;
    const base::MsgpackDocument whole = base::parse_msgpack(bytes, kMostBytes, kMostBytes);
    base::MsgpackReader at = whole.reader(3);
    try {
        if (at.text(64) != kSnapshotMark) base::MsgpackReader::fail();
    } catch (const std::runtime_error&) {
        state = rollout::State::decode(bytes), registry = {};
        return;
    }
    const auto first = at.next<std::string>(), second = at.next<std::string>();
    rollout::State one = rollout::State::decode(first);
    registry = kv_store::State::decode(second);
    state = std::move(one);
}

// Danger: the library reads entries that come together at steps of eight bytes, and sends them without; a
// length between would have it read past the end. What is added is behind the MessagePack and never looked
// at.
raft_buffer buffer_of(const std::string& bytes) {
    const std::size_t padded = (bytes.size() + 7) / 8 * 8;
    raft_buffer buffer{raft_calloc(1, padded), padded};
    if (buffer.base) std::memcpy(buffer.base, bytes.data(), bytes.size());
    return buffer;
}

}  // namespace

struct RaftNode::Log {
    net::Loop& loop;
    const Hooks hooks;
    const std::string self, address;
    RaftTransport transport;
    RaftDisk disk;
    // What the library says of its own steps, at the debug level.
    raft_tracer tracer{nullptr, log::is_enabled(log::Level::debug),
                       [](raft_tracer*, const char* file, int line, const char* message) {
                           log::debug("raft: {}:{} {}", file, line, message);
                       }};
    raft_fsm fsm{};
    raft raft_{};
    rollout::State state;
    kv_store::State registry;
    CommandResult last;  // of the command applied just now, for who proposed it
    bool started = false, failed = false, closed = false, up = false;
    bool changing = false;  // who votes, under way
    raft_change change{};
    struct raft_transfer transfer {};
    std::function<void()> handed;  // told when that is over
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::optional<raft_index> met_at;  // the log's end when a leader was first known

    void give_up(int status) {
        if (std::exchange(failed, true)) return;
        log::error(
            "agreed: the log in {} can't be written ({}); this proxy votes no more until it is started anew "
            "or its files are read anew",
            hooks.setup.folder, raft_strerror(status));
        const std::weak_ptr<bool> alive = this->alive;
        loop.timers().schedule(loop.clock().now(), [this, alive] {
            if (alive.expired()) return;
            close();
            hooks.failed();
        });
    }

    struct Applying {
        struct raft_apply request {};
        ResultCallback done;
    };

    Log(net::Loop& l, const MessageCodec& codec, std::string name, Hooks h)
        : loop(l),
          hooks(std::move(h)),
          self(std::move(name)),
          address(hooks.setup.voters.at(self)),
          transport(l, codec, address, hooks.reach, hooks.older),
          disk(l, [this](int status) { give_up(status); }) {}

    // Of the log in the folder; throws std::runtime_error where the file can't be read.
    static std::uint64_t history_in(const std::string& folder) {
        std::string text, fault;
        const auto how = base::read_regular_file(folder + '/' + kHistory, 64, text, fault);
        if (how == base::ReadStatus::missing) return 0;
        const std::string_view form(kHistoryForm);
        std::uint64_t history = 0;
        const char *begin = text.data() + form.size(), *end = text.data() + text.size() - 1;
        if (how != base::ReadStatus::ok || !text.starts_with(form) || !text.ends_with('\n') ||
            std::from_chars(begin, end, history).ptr != end)
            throw std::runtime_error(fmt::format("agreed: {}/{} can't be read: {}", folder, kHistory,
                                                 fault.empty() ? text : fault));
        return history;
    }
    static std::string put_history(const std::string& folder, std::uint64_t history) {
        return base::replace_file(folder, std::string(kHistory) + ".new", kHistory,
                                  fmt::format("{}{}\n", kHistoryForm, history));
    }

    // Whether this voter has a log, and whether it ever had one: what it voted for is in it.
    bool has_log() const {
        std::error_code ignored;
        return std::filesystem::exists(hooks.setup.folder + "/metadata1", ignored) ||
               std::filesystem::exists(hooks.setup.folder + "/metadata2", ignored);
    }
    bool lost_log() const {
        std::error_code ignored;
        return !has_log() && std::filesystem::exists(hooks.marks + '/' + kVoted, ignored);
    }

    // Takes the folder and starts. Empty: done; else what went wrong, and this is to be closed.
    std::string open(bool joins) {
        const std::string& folder = hooks.setup.folder;
        const bool lost = lost_log();
        auto lock = std::make_unique<base::DirectoryLock>(folder);
        if (!lock->error().empty()) return lock->error();
        if (const int made = disk.open(folder, transport.raw(), std::move(lock)); made != 0)
            return fault_of(made, "the folder");
        raft_uv_set_tracer(disk.io(), &tracer);
        raft_uv_set_segment_size(disk.io(), kSegment);
        raft_uv_set_connect_retry_delay(disk.io(), 200);
        fsm.version = 1;
        fsm.data = this;
        fsm.apply = [](raft_fsm* f, const raft_buffer* buf, void** result) {
            return static_cast<Log*>(f->data)->apply({static_cast<const char*>(buf->base), buf->len}, result);
        };
        fsm.snapshot = [](raft_fsm* f, raft_buffer* bufs[], unsigned* count) {
            *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
            if (!*bufs) return RAFT_NOMEM;
            (*bufs)[0] = buffer_of(static_cast<Log*>(f->data)->packed_states());
            *count = 1;
            return (*bufs)[0].base ? 0 : RAFT_NOMEM;
        };
        fsm.restore = [](raft_fsm* f, raft_buffer* buf) {
            auto* self = static_cast<Log*>(f->data);
            try {
                unpack_states({static_cast<const char*>(buf->base), buf->len}, self->state, self->registry);
            } catch (const std::exception& wrong) {
                log::error("agreed: a snapshot can't be read: {}", wrong.what());
                return RAFT_MALFORMED;
            }
            raft_free(buf->base);
            self->hooks.leaves();
            self->hooks.registered();
            return 0;
        };
        if (const int made = raft_init(&raft_, disk.io(), &fsm, id_of(self), address.c_str()); made != 0)
            return fault_of(made, "the log");
        raft_.data = this;
        raft_.tracer = &tracer;
        up = true;
        raft_set_pre_vote(&raft_, true);
        raft_set_election_timeout(&raft_, hooks.setup.election_ms);
        raft_set_heartbeat_timeout(&raft_, std::max(20U, hooks.setup.election_ms / 5));
        raft_set_install_snapshot_timeout(&raft_, kInstallWithinMs);
        raft_set_snapshot_threshold(&raft_, kSnapshotAfter);
        raft_set_snapshot_trailing(&raft_, kTrailing);
        if (!lost && !joins)
            if (std::string wrong = first_entry(); !wrong.empty()) return wrong;
        try {
            transport.set_history(history_in(folder));
        } catch (const std::exception& wrong) {
            return wrong.what();
        }
        if (const int ran = raft_start(&raft_); ran != 0) return fault_of(ran, "the start");
        started = true;
        return base::replace_file(hooks.marks, std::string(kVoted) + ".new", kVoted, "sumackeel-voted 1\n");
    }

    // Who votes, as the first entry of a new log; or where an operator forced it, this one alone. Danger: one
    // that has lost its log writes none. It has forgotten its vote, and two such could make a majority of
    // their own beside the one that is there; without an entry it waits to be filled.
    std::string first_entry() {
        const std::string force = hooks.setup.folder + '/' + kForce;
        std::error_code ignored;
        const bool forced = has_log() && std::filesystem::exists(force, ignored);
        raft_configuration voters;
        raft_configuration_init(&voters);
        for (const auto& [voter, address] : hooks.setup.voters)
            if (!forced || voter == self)
                raft_configuration_add(&voters, id_of(voter), address.c_str(), RAFT_VOTER);
        const int made = forced ? raft_recover(&raft_, &voters) : raft_bootstrap(&raft_, &voters);
        raft_configuration_close(&voters);
        if (made != 0 && (forced || made != RAFT_CANTBOOTSTRAP)) return fault_of(made, "who votes");
        if (!forced) return {};
        // Before the mark is taken off: what the log went on without is never spoken with again.
        const auto now = static_cast<std::uint64_t>(loop.clock().unix_now().micros);
        if (std::string wrong =
                put_history(hooks.setup.folder, std::max(history_in(hooks.setup.folder) + 1, now));
            !wrong.empty())
            return wrong;
        const std::string record = fmt::format("{}/{}d-{}", hooks.setup.folder, kForce, loop.clock().now());
        std::filesystem::rename(force, record, ignored);
        log::error("agreed: forced by an operator to go on alone; what only others had is lost; kept in {}",
                   record);
        return {};
    }

    static constexpr const char* kChange = "agreed: a change of those who vote";

    // `what` begins a change; only one is under way at a time.
    template <typename What>
    void begin_change(const std::string& words, What what) {
        change.data = this;
        const int asked = what(&change, [](raft_change* of, int status) {
            static_cast<Log*>(of->data)->changing = false;
            log::info("{}: {}", kChange, status == 0 ? "done" : raft_strerror(status));
        });
        changing = asked == 0;
        if (changing) log::info("agreed: {}", words);
    }

    // `to`: 0 for whoever is the furthest.
    void hand_over(raft_id to, std::function<void()> done) {
        transfer.data = this;
        handed = std::move(done);
        changing = raft_transfer(&raft_, &transfer, to, [](struct raft_transfer* of) {
                       auto* self = static_cast<Log*>(of->data);
                       self->changing = false;
                       if (const auto told = std::exchange(self->handed, nullptr)) told();
                   }) == 0;
        if (changing) return log::info("agreed: {} hands over", self);
        if (const auto told = std::exchange(handed, nullptr)) told();
    }

    // The log's voters made those of the operator's file, one at a time. Those to come first: one goes only
    // once all that replace it vote. Danger: a voter taken out while others are dead could leave too few to
    // agree on anything, the change itself included; so a majority of those that stay must be there.
    void tend() {
        if (!leads() || changing) return;
        const auto* servers = raft_.configuration.servers;
        const unsigned count = raft_.configuration.n;
        for (const auto& voter : hooks.setup.voters) {
            const std::string &name = voter.first, &address_of_it = voter.second;
            const auto* found = std::find_if(servers, servers + count,
                                             [&](const raft_server& one) { return one.id == id_of(name); });
            if (found != servers + count && found->role == RAFT_VOTER) continue;
            return begin_change(
                fmt::format("{} is to {}", name, found != servers + count ? "vote" : "be filled"),
                [&](raft_change* of, raft_change_cb done) {
                    return found != servers + count
                               ? raft_assign(&raft_, of, id_of(name), RAFT_VOTER, done)
                               : raft_add(&raft_, of, id_of(name), address_of_it.c_str(), done);
                });
        }
        for (const raft_server* one = servers; one != servers + count; ++one) {
            const std::string name = name_of(one->id);
            const auto wanted = hooks.setup.voters.find(name);
            if (wanted != hooks.setup.voters.end() && wanted->second == one->address) continue;
            unsigned stay = 0, there = 0;
            for (const raft_server* other = servers; other != servers + count; ++other) {
                if (other == one || other->role != RAFT_VOTER) continue;
                ++stay;
                there += hooks.there(name_of(other->id)) ? 1 : 0;
            }
            if (2 * there <= stay) continue;
            // A leader hands over first: the next one takes it out, and no grant waits for an election.
            if (one->id == raft_.id) return hand_over(0, nullptr);
            return begin_change(
                fmt::format("{} at {} votes no more", name.empty() ? "one that is not named" : name,
                            one->address),
                [&](raft_change* of, raft_change_cb done) { return raft_remove(&raft_, of, one->id, done); });
        }
    }

    std::string fault_of(int result, const char* what) {
        return fmt::format("agreed: {} in {}: {} ({})", what, hooks.setup.folder, raft_strerror(result),
                           up ? raft_errmsg(&raft_) : disk.io()->errmsg);
    }

    // Begins to close; what the library still has to end, it ends on the loop.
    void close() {
        if (!up || std::exchange(closed, true)) return;
        raft_close(&raft_, [](raft* r) {
            auto* self = static_cast<Log*>(r->data);
            self->up = false;
            self->disk.release();  // whoever waits for the folder may have it now
        });
        disk.close();
    }
    // Not from within a call of the loop.
    void shut() {
        alive.reset();
        close();
        while (up) uv_run(loop.raw(), UV_RUN_ONCE);
        closed = true;
        disk.release();
    }
    ~Log() { shut(); }

    std::string packed_states() const { return pack_states(state, registry); }

    static raft_id id_of(const std::string& name) {
        return std::max<raft_id>(1, raft_digest(name.c_str(), 0));
    }

    int apply(std::string_view command, void** result) {
        const std::uint64_t before = state.revision(), registered = registry.revision();
        *result = nullptr;
        try {
            if (kv_store::is_command(command)) {
                kv_store::ApplyResult answer = kv_store::apply(registry, command);
                last = CommandResult{answer.applied ? rollout::Outcome::granted : rollout::Outcome::rejected,
                                     answer.revision,
                                     std::move(answer.reason),
                                     {}};
                *result = &last;
                if (registry.revision() != registered) hooks.registered();
                return 0;
            }
            last = rollout::apply(state, command);
            *result = &last;
        } catch (const std::exception& wrong) {
            // The same on each member: it changes nothing anywhere.
            log::error("agreed: {}", wrong.what());
        }
        if (state.revision() != before) hooks.leaves();
        return 0;
    }

    // Who votes, as this one knows it; an empty name: one that no file here has named.
    std::vector<std::string> voters() const {
        std::vector<std::string> names;
        for (unsigned i = 0; i < raft_.configuration.n; ++i)
            if (raft_.configuration.servers[i].role == RAFT_VOTER)
                names.push_back(name_of(raft_.configuration.servers[i].id));
        std::sort(names.begin(), names.end());
        return names;
    }
    std::string name_of(raft_id id) const {
        for (const auto& [name, at] : hooks.ever)
            if (id_of(name) == id) return name;
        return {};
    }
    bool votes() const { return started && !failed && !closed; }
    // What was in the log when a leader was met is applied: a start that has only met one has an empty state
    // yet.
    bool caught_up() {
        if (!met_at && !leader().empty()) met_at = raft_last_index(&raft_);
        return met_at && raft_last_applied(&raft_) >= std::min(*met_at, raft_last_index(&raft_));
    }
    bool leads() { return votes() && raft_state(&raft_) == RAFT_LEADER; }

    std::string leader() {
        raft_id id = 0;
        const char* address = nullptr;
        if (votes()) raft_leader(&raft_, &id, &address);
        return id == 0 ? std::string{} : name_of(id);
    }

    struct Reading {
        struct raft_barrier request {};
        Log& voter;
        std::string key;
        ResultCallback done;
    };
    // Behind all that was agreed on before it was asked for.
    void read(const std::string& key, ResultCallback done) {
        auto* reading = new Reading{{}, *this, key, std::move(done)};
        reading->request.data = reading;
        const int failed =
            raft_barrier(&raft_, &reading->request, [](struct raft_barrier* request, int status) {
                const std::unique_ptr<Reading> whole(static_cast<Reading*>(request->data));
                if (status != 0) return whole->done(std::nullopt);
                const kv_store::Entry* found = whole->voter.registry.find(whole->key);
                whole->done(found ? CommandResult{rollout::Outcome::granted, found->version, found->value, {}}
                                  : CommandResult{rollout::Outcome::none, 0, {}, {}});
            });
        if (failed == 0) return;
        const std::unique_ptr<Reading> whole(reading);
        whole->done(std::nullopt);
    }

    void give_lead(const std::string& to, ResultCallback done) {
        if (to == self)
            return done(CommandResult{rollout::Outcome::granted, raft_.current_term, "leads already", {}});
        const auto all = voters();
        if (std::find(all.begin(), all.end(), to) == all.end())
            return done(CommandResult{rollout::Outcome::rejected, 0, to + " does not vote", {}});
        if (changing) return done(std::nullopt);
        hand_over(id_of(to), [this, to, done = std::move(done)] {
            // Known once the other has won: until then it is asked again.
            done(leader() == to
                     ? std::optional(CommandResult{rollout::Outcome::granted, raft_.current_term, {}, {}})
                     : std::nullopt);
        });
    }

    void propose(const std::string& command, ResultCallback done) {
        auto* applying = new Applying{{}, std::move(done)};
        applying->request.data = applying;
        const raft_buffer buffer = buffer_of(command);
        const int failed = raft_apply(
            &raft_, &applying->request, &buffer, 1, [](struct raft_apply* request, int status, void* result) {
                const std::unique_ptr<Applying> whole(static_cast<Applying*>(request->data));
                const auto* answer = static_cast<const CommandResult*>(result);
                whole->done(status == 0 && answer ? std::optional(*answer) : std::nullopt);
            });
        if (failed == 0) return;
        raft_free(buffer.base);
        const std::unique_ptr<Applying> whole(applying);
        whole->done(std::nullopt);
    }
};

RaftNode::RaftNode(net::Loop& loop, const MessageCodec& codec, const std::string& name, Hooks hooks)
    : log_(std::make_unique<Log>(loop, codec, name, std::move(hooks))) {}
RaftNode::~RaftNode() = default;

std::string RaftNode::open(bool joins) {
    return log_->open(joins);
}
std::string RaftNode::check_directory(const std::string& folder) {
    const base::DirectoryLock lock(folder);
    if (!lock.error().empty()) return lock.error();
    std::error_code fault;
    for (std::filesystem::directory_iterator it(folder, fault), end; !fault && it != end;
         it.increment(fault)) {
        std::string bytes;
        if (it->is_regular_file(fault)) base::read_entire_file(it->path().string(), kLongestFile, bytes);
    }
    return fault ? fault.message() : std::string{};
}
bool RaftNode::has_lost_log() const {
    return log_->lost_log();
}
void RaftNode::stop() {
    log_->failed = true;
    log_->close();
}
bool RaftNode::stopped() const {
    return log_->failed;
}
void RaftNode::close() {
    log_->close();
}
bool RaftNode::closing() const {
    return log_->up;
}
void RaftNode::close_now() {
    log_->shut();
}
bool RaftNode::is_disk_stuck() const {
    return log_->disk.is_stuck();
}
bool RaftNode::is_voter() const {
    return log_->votes();
}
bool RaftNode::is_leader() const {
    return log_->leads();
}
std::string RaftNode::leader() const {
    return log_->leader();
}
bool RaftNode::caught_up() const {
    return log_->caught_up();
}
std::vector<std::string> RaftNode::voters() const {
    return log_->voters();
}
std::uint64_t RaftNode::history() const {
    return log_->transport.history();
}
std::string RaftNode::write_history(const std::string& folder, std::uint64_t history) {
    return Log::put_history(folder, history);
}
const rollout::State& RaftNode::state() const {
    return log_->state;
}
const kv_store::State& RaftNode::kv_store() const {
    return log_->registry;
}
void RaftNode::reconcile_voters() {
    log_->tend();
}
void RaftNode::propose(const std::string& command, ResultCallback told) {
    log_->propose(command, std::move(told));
}
void RaftNode::read(const std::string& key, ResultCallback told) {
    log_->read(key, std::move(told));
}
void RaftNode::transfer_leadership(const std::string& to, ResultCallback told) {
    log_->give_lead(to, std::move(told));
}

}  // namespace sumackeel::consensus
