#include "peers/agreed.h"

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <sstream>
#include <stdexcept>

#include "base/files.h"
#include "base/json_line.h"
#include "base/log.h"
#include "base/packed.h"
#include "peers/raft_transport.h"

namespace sumackeel::peers {

using base::Micros;
using rollout::Answer;
using rollout::Kind;

namespace {

// Calls of operators are answered within 1 s; what is not agreed on by then is answered with no.
constexpr Micros kPatience = 850'000;
constexpr Micros kOneTry = 350'000;   // one voter, of several
constexpr Micros kTryAgain = 60'000;  // while there is no leader
// Of those that do not vote: bans reach them within 1 s. Stretched where they are many, up to the longest.
constexpr Micros kPollEvery = 250'000, kPollEach = 2'000, kPollLongest = 900'000;
constexpr Micros kTendEvery = 1'000'000;  // who votes, against the operator's file
constexpr Micros kAlone = 3'000'000;      // one that votes and knows no leader asks the others
constexpr Micros kVoteLater = 200'000;    // while the process before this one has the folder
constexpr unsigned kSnapshotAfter = 512, kTrailing = 128;  // entries; each is some KB at most
constexpr std::size_t kSegment = 1 << 20;
// Danger: a voter that is taking a snapshot of its own turns one that comes away without a word, and the
// leader sends it nothing more until this is over. The library's 30 s leave that voter behind for as long.
constexpr unsigned kInstallWithinMs = 3'000;

constexpr const char* kVoted = "voted";  // in the folder of the peers: this one has had a log
constexpr const char* kForce = "force";  // in the log's folder: go on alone, as an operator wants it
// In the log's folder: "sumackeel-history 1 N". Logs that began by themselves are of history 0; each forced
// start begins a later one.
constexpr const char* kHistory = "history";
constexpr const char* kHistoryForm = "sumackeel-history 1 ";
constexpr const char* kWishVerb = "wish";
constexpr const char* kStateVerb = "state";

// What somebody wants of the leader.
enum class What : std::uint8_t { leave, back, turn, order, change, read, lead };
constexpr std::size_t kMostBody = 1 << 20;

// Of a voter to one that asked: whether it could, who leads, and what came of it.
struct Said {
    bool done = false;
    std::string leader, body;
    std::uint64_t history = 0;  // of the voter's log
    std::string registry = {};  // of a state that was asked for: what is new there
};

std::string encode(const Said& said) {
    base::Packed out;
    return out.array(5).add(said.done, said.leader, said.body, said.history, said.registry).bytes();
}

Said said_in(const std::string& body) {
    const base::Unpacked whole = base::unpacked(body, 16, kLongestCall);
    base::Fields at = whole.fields(3);
    Said said;
    said.done = at.next<bool>(), said.leader = at.text(rollout::kLongestName);
    said.body = at.text(kLongestCall);
    if (at.left() < 2) return said;  // of the version before the registry
    said.history = at.next<std::uint64_t>(), said.registry = at.text(kLongestCall);
    return said;
}

// Which state somebody has: "REVISION REGISTRY HISTORY"; the first alone of the version before the registry.
struct Has {
    std::uint64_t revision = 0, registry = 0, history = 0;
};
Has has_in(const std::string& body) {
    Has has;
    std::istringstream in(body);
    if (!(in >> has.revision)) throw std::runtime_error("no revision");
    in >> has.registry >> has.history;
    return has;
}

// A snapshot: both states behind a mark. Without the mark: of the version before the registry, one state
// alone.
constexpr const char* kSnapshotMark = "sumackeel-agreed";
std::string pack_states(const rollout::State& state, const registry::State& registry) {
    base::Packed out;
    return out.array(3).add(std::string(kSnapshotMark), state.encode(), registry.encode()).bytes();
}
void unpack_states(std::string_view bytes, rollout::State& state, registry::State& registry) {
    constexpr std::size_t kMostBytes = 256 << 20;
    const base::Unpacked whole = base::unpacked(bytes, kMostBytes, kMostBytes);
    base::Fields at = whole.fields(3);
    try {
        if (at.text(64) != kSnapshotMark) base::Fields::broken();
    } catch (const std::runtime_error&) {
        state = rollout::State::decode(bytes), registry = {};
        return;
    }
    const auto first = at.next<std::string>(), second = at.next<std::string>();
    rollout::State one = rollout::State::decode(first);
    registry = registry::State::decode(second);
    state = std::move(one);
}

rollout::Rules rules_of(const config::LeaveRules& rules) {
    return {rules.school_out, rules.school_share, rules.fleet_out, rules.between};
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

struct Agreed::Wanted {
    What what = What::leave;
    bool forced = false;
    Kind kind = Kind::proxy;
    std::string member, by;
    std::string body;         // an order, as the log holds it
    rollout::Runs runs = {};  // of a proxy that asks for itself

    std::string encode() const {
        base::Packed out;
        return out.array(8)
            .add(static_cast<int>(what), forced, static_cast<int>(kind), member, by, body, runs.start,
                 runs.version)
            .bytes();
    }
    static Wanted read(const std::string& bytes) {
        const base::Unpacked whole = base::unpacked(bytes, 16, kMostBody);
        base::Fields at = whole.fields(8);
        Wanted wanted;
        wanted.what = at.word(What::lead), wanted.forced = at.next<bool>();
        wanted.kind = at.word(Kind::pop_cache);
        wanted.member = at.text(rollout::kLongestName), wanted.by = at.text(rollout::kLongestName);
        wanted.body = at.text(kMostBody);
        wanted.runs.start = at.next<std::uint64_t>();
        wanted.runs.version = at.text(rollout::kLongestName);
        return wanted;
    }
};

struct Agreed::Wish {
    Wanted wanted;
    Told told;
    Micros until = 0;
    bool settled = false;
};

// One of those that vote: the library's log, disk and elections, and the state that it drives.
struct Agreed::Voter {
    Agreed& owner;
    const std::string self, address;
    std::unique_ptr<base::FolderLock> lock;
    RaftTransport transport;
    raft_io io{};
    // What the library says of its own steps, at the debug level.
    raft_tracer tracer{nullptr, log::wanted(log::Level::debug),
                       [](raft_tracer*, const char* file, int line, const char* message) {
                           log::debug("raft: {}:{} {}", file, line, message);
                       }};
    raft_fsm fsm{};
    raft raft_{};
    rollout::State state;
    registry::State registry;
    Answer last;  // of the command applied just now, for who proposed it
    bool started = false, failed = false, closed = false, up = false;
    bool changing = false;  // who votes, under way
    raft_change change{};
    struct raft_transfer transfer {};
    std::function<void()> handed;      // told when that is over
    std::optional<raft_index> met_at;  // the log's end when a leader was first known

    // Danger: the library (0.15) follows a pointer into nothing when an append of its own as leader fails on
    // disk. So it is never told: the log is closed instead, and this member asks the others from then on.
    struct Appending {
        raft_io_append request{};
        raft_io_append* told = nullptr;
        raft_io_append_cb cb = nullptr;
        Voter* voter = nullptr;
    };
    decltype(raft_io::append) real_append = nullptr;

    void guard_appends() {
        real_append = io.append;
        io.append = [](raft_io* on, raft_io_append* request, const raft_entry entries[], unsigned count,
                       raft_io_append_cb cb) {
            auto* self = static_cast<Voter*>(static_cast<raft*>(on->data)->data);
            auto* appending = new Appending{{}, request, cb, self};
            appending->request.data = appending;
            const int result = self->real_append(
                on, &appending->request, entries, count, [](raft_io_append* done, int status) {
                    const std::unique_ptr<Appending> whole(static_cast<Appending*>(done->data));
                    if (status == 0 || whole->voter->closed) return whole->cb(whole->told, status);
                    whole->voter->give_up(status);
                });
            if (result != 0) delete appending;
            return result;
        };
    }

    void give_up(int status) {
        if (std::exchange(failed, true)) return;
        log::error(
            "agreed: the log in {} can't be written ({}); this proxy votes no more until it is started anew "
            "or its files are read anew",
            owner.setup_.folder, raft_strerror(status));
        const std::weak_ptr<bool> alive = owner.alive_;
        owner.loop_.deadlines().set(owner.loop_.clock().now(), [this, alive] {
            if (alive.expired()) return;
            close();
            owner.stop_voting();
        });
    }

    struct Applying {
        struct raft_apply request {};
        std::function<void(std::optional<Answer>)> done;
    };

    Voter(Agreed& o, const std::string& name)
        : owner(o),
          self(name),
          address(o.setup_.voters.at(name)),
          transport(
              o.loop_, o.peers_.codec(), address,
              [this](const std::string& told) { return owner.peers_.reached_at(told); },
              [this](std::uint64_t history) { owner.yield(history); }) {}

    // Of the log in the folder; throws std::runtime_error where the file can't be read.
    static std::uint64_t history_in(const std::string& folder) {
        std::string text, fault;
        const auto how = base::read_plain(folder + '/' + kHistory, 64, text, fault);
        if (how == base::Reading::missing) return 0;
        const std::string_view form(kHistoryForm);
        std::uint64_t history = 0;
        const char *begin = text.data() + form.size(), *end = text.data() + text.size() - 1;
        if (how != base::Reading::done || !text.starts_with(form) || !text.ends_with('\n') ||
            std::from_chars(begin, end, history).ptr != end)
            throw std::runtime_error(fmt::format("agreed: {}/{} can't be read: {}", folder, kHistory,
                                                 fault.empty() ? text : fault));
        return history;
    }
    static std::string put_history(const std::string& folder, std::uint64_t history) {
        return base::put_in_place(folder, std::string(kHistory) + ".new", kHistory,
                                  fmt::format("{}{}\n", kHistoryForm, history));
    }

    // Whether this voter has a log, and whether it ever had one: what it voted for is in it.
    bool has_log() const {
        std::error_code ignored;
        return std::filesystem::exists(owner.setup_.folder + "/metadata1", ignored) ||
               std::filesystem::exists(owner.setup_.folder + "/metadata2", ignored);
    }
    bool lost_log() const {
        std::error_code ignored;
        return !has_log() && std::filesystem::exists(owner.peers_.setup().folder + '/' + kVoted, ignored);
    }

    // Takes the folder and starts. Empty: done; else what went wrong, and this is to be closed.
    std::string open() {
        const std::string& folder = owner.setup_.folder;
        const bool lost = lost_log();
        lock = std::make_unique<base::FolderLock>(folder);
        if (!lock->fault().empty()) return lock->fault();
        if (const int made = raft_uv_init(&io, owner.loop_.raw(), folder.c_str(), transport.raw()); made != 0)
            return fault_of(made, "the folder");
        raft_uv_set_tracer(&io, &tracer);
        raft_uv_set_segment_size(&io, kSegment);
        raft_uv_set_connect_retry_delay(&io, 200);
        fsm.version = 1;
        fsm.data = this;
        fsm.apply = [](raft_fsm* f, const raft_buffer* buf, void** result) {
            return static_cast<Voter*>(f->data)->apply({static_cast<const char*>(buf->base), buf->len},
                                                       result);
        };
        fsm.snapshot = [](raft_fsm* f, raft_buffer* bufs[], unsigned* count) {
            *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
            if (!*bufs) return RAFT_NOMEM;
            (*bufs)[0] = buffer_of(static_cast<Voter*>(f->data)->packed_states());
            *count = 1;
            return (*bufs)[0].base ? 0 : RAFT_NOMEM;
        };
        fsm.restore = [](raft_fsm* f, raft_buffer* buf) {
            auto* self = static_cast<Voter*>(f->data);
            try {
                unpack_states({static_cast<const char*>(buf->base), buf->len}, self->state, self->registry);
            } catch (const std::exception& wrong) {
                log::error("agreed: a snapshot can't be read: {}", wrong.what());
                return RAFT_MALFORMED;
            }
            raft_free(buf->base);
            self->owner.changed_(self->state);
            if (self->owner.registered_) self->owner.registered_();
            return 0;
        };
        if (const int made = raft_init(&raft_, &io, &fsm, id_of(self), address.c_str()); made != 0)
            return fault_of(made, "the log");
        raft_.data = this;
        raft_.tracer = &tracer;
        guard_appends();
        up = true;
        raft_set_pre_vote(&raft_, true);
        raft_set_election_timeout(&raft_, owner.setup_.election_ms);
        raft_set_heartbeat_timeout(&raft_, std::max(20U, owner.setup_.election_ms / 5));
        raft_set_install_snapshot_timeout(&raft_, kInstallWithinMs);
        raft_set_snapshot_threshold(&raft_, kSnapshotAfter);
        raft_set_snapshot_trailing(&raft_, kTrailing);
        if (!lost && !owner.joins_)
            if (std::string wrong = first_entry(); !wrong.empty()) return wrong;
        try {
            transport.set_history(history_in(folder));
        } catch (const std::exception& wrong) {
            return wrong.what();
        }
        if (const int ran = raft_start(&raft_); ran != 0) return fault_of(ran, "the start");
        started = true;
        return base::put_in_place(owner.peers_.setup().folder, std::string(kVoted) + ".new", kVoted,
                                  "sumackeel-voted 1\n");
    }

    // Who votes, as the first entry of a new log; or where an operator forced it, this one alone. Danger: one
    // that has lost its log writes none. It has forgotten its vote, and two such could make a majority of
    // their own beside the one that is there; without an entry it waits to be filled.
    std::string first_entry() {
        const std::string force = owner.setup_.folder + '/' + kForce;
        std::error_code ignored;
        const bool forced = has_log() && std::filesystem::exists(force, ignored);
        raft_configuration voters;
        raft_configuration_init(&voters);
        for (const auto& [voter, address] : owner.setup_.voters)
            if (!forced || voter == self)
                raft_configuration_add(&voters, id_of(voter), address.c_str(), RAFT_VOTER);
        const int made = forced ? raft_recover(&raft_, &voters) : raft_bootstrap(&raft_, &voters);
        raft_configuration_close(&voters);
        if (made != 0 && (forced || made != RAFT_CANTBOOTSTRAP)) return fault_of(made, "who votes");
        if (!forced) return {};
        // Before the mark is taken off: what the log went on without is never spoken with again.
        const auto now = static_cast<std::uint64_t>(owner.loop_.clock().now());
        if (std::string wrong =
                put_history(owner.setup_.folder, std::max(history_in(owner.setup_.folder) + 1, now));
            !wrong.empty())
            return wrong;
        const std::string record =
            fmt::format("{}/{}d-{}", owner.setup_.folder, kForce, owner.loop_.clock().now());
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
            static_cast<Voter*>(of->data)->changing = false;
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
                       auto* self = static_cast<Voter*>(of->data);
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
        for (const auto& [name, address_of_it] : owner.setup_.voters) {
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
            const auto wanted = owner.setup_.voters.find(name);
            if (wanted != owner.setup_.voters.end() && wanted->second == one->address) continue;
            unsigned stay = 0, there = 0;
            for (const raft_server* other = servers; other != servers + count; ++other) {
                if (other == one || other->role != RAFT_VOTER) continue;
                ++stay;
                there += owner.there(name_of(other->id)) ? 1 : 0;
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
        return fmt::format("agreed: {} in {}: {} ({})", what, owner.setup_.folder, raft_strerror(result),
                           up ? raft_errmsg(&raft_) : io.errmsg);
    }

    // Begins to close; what the library still has to end, it ends on the loop.
    void close() {
        if (!up || std::exchange(closed, true)) return;
        raft_close(&raft_, [](raft* r) {
            auto* self = static_cast<Voter*>(r->data);
            raft_uv_close(&self->io);
            self->up = false;
            self->lock.reset();  // whoever waits for the folder may have it now
        });
    }
    // Not from within a call of the loop.
    void shut() {
        close();
        while (up) uv_run(owner.loop_.raw(), UV_RUN_ONCE);
        if (!closed && io.impl) raft_uv_close(&io);  // made, but never taken into use
        closed = true;
        lock.reset();
    }
    ~Voter() { shut(); }

    std::string packed_states() const { return pack_states(state, registry); }

    static raft_id id_of(const std::string& name) {
        return std::max<raft_id>(1, raft_digest(name.c_str(), 0));
    }

    int apply(std::string_view command, void** result) {
        const std::uint64_t before = state.revision(), registered = registry.revision();
        *result = nullptr;
        try {
            if (registry::is_command(command)) {
                registry::Answer answer = registry::apply(registry, command);
                last = Answer{answer.done ? rollout::How::granted : rollout::How::refused,
                              answer.revision,
                              std::move(answer.reason),
                              {}};
                *result = &last;
                if (registry.revision() != registered && owner.registered_) owner.registered_();
                return 0;
            }
            last = rollout::apply(state, command);
            *result = &last;
        } catch (const std::exception& wrong) {
            // The same on each member: it changes nothing anywhere.
            log::error("agreed: {}", wrong.what());
        }
        if (state.revision() != before && state.revision() > owner.heard_.revision()) owner.changed_(state);
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
        for (const auto& [name, at] : owner.voters_ever_)
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

    // What is wanted as a command, with all that it is judged by.
    std::string command_of(const Wanted& wanted) {
        const Micros now = owner.loop_.clock().now();
        if (wanted.what == What::back)
            return rollout::encode(rollout::Back{wanted.kind, wanted.member, wanted.by, now, wanted.runs});
        if (wanted.what == What::order) {
            rollout::Order order = rollout::order_in(wanted.body);
            order.now = now, order.there.clear();
            for (const rollout::Seen& seen : owner.world_(Kind::proxy))
                if (!seen.out) order.there.push_back(seen.name);
            return rollout::encode(order);
        }
        return rollout::encode(owner.ask_of(wanted));
    }

    struct Reading {
        struct raft_barrier request {};
        Voter& voter;
        std::string key;
        std::function<void(std::optional<Answer>)> done;
    };
    // Behind all that was agreed on before it was asked for.
    void read(const std::string& key, std::function<void(std::optional<Answer>)> done) {
        auto* reading = new Reading{{}, *this, key, std::move(done)};
        reading->request.data = reading;
        const int failed =
            raft_barrier(&raft_, &reading->request, [](struct raft_barrier* request, int status) {
                const std::unique_ptr<Reading> whole(static_cast<Reading*>(request->data));
                if (status != 0) return whole->done(std::nullopt);
                const registry::Entry* found = whole->voter.registry.find(whole->key);
                whole->done(found ? Answer{rollout::How::granted, found->version, found->value, {}}
                                  : Answer{rollout::How::nothing, 0, {}, {}});
            });
        if (failed == 0) return;
        const std::unique_ptr<Reading> whole(reading);
        whole->done(std::nullopt);
    }

    void give_lead(const std::string& to, std::function<void(std::optional<Answer>)> done) {
        if (to == self) return done(Answer{rollout::How::granted, raft_.current_term, "leads already", {}});
        const auto all = voters();
        if (std::find(all.begin(), all.end(), to) == all.end())
            return done(Answer{rollout::How::refused, 0, to + " does not vote", {}});
        if (changing) return done(std::nullopt);
        hand_over(id_of(to), [this, to, done = std::move(done)] {
            // Known once the other has won: until then it is asked again.
            done(leader() == to ? std::optional(Answer{rollout::How::granted, raft_.current_term, {}, {}})
                                : std::nullopt);
        });
    }

    void propose(const Wanted& wanted, std::function<void(std::optional<Answer>)> done) {
        if (wanted.what == What::read) return read(wanted.member, std::move(done));
        if (wanted.what == What::lead) return give_lead(wanted.member, std::move(done));
        if (wanted.what == What::change)
            return propose(registry::stamped(wanted.body, owner.loop_.clock().now()), std::move(done));
        // Without a release there is no turn; asked as a plain leave it would be granted.
        if (wanted.what == What::turn && !state.releases().active())
            return done(Answer{rollout::How::nothing, 0, "no release is under way", {}});
        // A no needs no place in the log: said too late it holds nobody out, and callers ask again many
        // times.
        if (wanted.what == What::leave || wanted.what == What::turn)
            if (const Answer now = state.judge(owner.ask_of(wanted)); now.how != rollout::How::granted)
                return done(now);
        propose(command_of(wanted), std::move(done));
    }

    void propose(const std::string& command, std::function<void(std::optional<Answer>)> done) {
        auto* applying = new Applying{{}, std::move(done)};
        applying->request.data = applying;
        const raft_buffer buffer = buffer_of(command);
        const int failed = raft_apply(
            &raft_, &applying->request, &buffer, 1, [](struct raft_apply* request, int status, void* result) {
                const std::unique_ptr<Applying> whole(static_cast<Applying*>(request->data));
                const auto* answer = static_cast<const Answer*>(result);
                whole->done(status == 0 && answer ? std::optional(*answer) : std::nullopt);
            });
        if (failed == 0) return;
        raft_free(buffer.base);
        const std::unique_ptr<Applying> whole(applying);
        whole->done(std::nullopt);
    }
};

Agreed::Agreed(net::Loop& loop, Peers& peers, const config::Agreed& setup, bool wait_for_folder, World world,
               Changed changed)
    : loop_(loop), peers_(peers), setup_(setup), world_(std::move(world)), changed_(std::move(changed)) {
    const std::string& name = peers_.group().self().name;
    for (const char* verb : {kWishVerb, kStateVerb})
        peers_.on_call(verb, [this](const std::string& from, const std::string& of, const std::string& body,
                                    const Peers::Say& say) { take(from, of, body, say); });
    voters_ever_ = setup_.voters;
    if (setup_.voters.contains(name)) {
        voter_ = std::make_unique<Voter>(*this, name);
        // Danger: two processes at one log would ruin it. The one before this one gives the folder back when
        // it is told to end; until then this one asks the others. One that lost its log waits until the
        // others have a leader.
        if (voter_->lost_log())
            log::error(
                "agreed: {} voted before and its log in {} is gone; it waits for a leader of the others",
                name, setup_.folder);
        if (wait_for_folder || voter_->lost_log()) {
            vote_later();
        } else if (const std::string wrong = voter_->open(); !wrong.empty()) {
            voter_->shut();
            throw std::runtime_error(wrong);
        }
    }
    if (voter_) tend();
    log::info("agreed: {} {}", name, votes() ? "votes" : "asks those that vote");
    if (!votes()) poll();
}

void Agreed::renew(const config::Agreed& setup) {
    const std::string& name = peers_.group().self().name;
    setup_.voters = setup.voters, setup_.proxies = setup.proxies, setup_.pop_caches = setup.pop_caches;

    voters_ever_.insert(setup.voters.begin(), setup.voters.end());
    if (!setup_.voters.contains(name) || yielding_ || (voter_ && !voter_->failed)) return;
    if (voter_ && voter_->up)
        return log::warn("agreed: the log is still closing; have the file read once more");
    // Named as a voter while it runs, or one whose log failed. There is an agreed log, so it begins none: the
    // leader fills it.
    joins_ = true;
    voter_ = std::make_unique<Voter>(*this, name);
    if (!tend_) tend();
    vote_later();
}

void Agreed::tend() {
    voter_->tend();
    if (const auto due = voter_->registry.due(); due && leads() && *due <= loop_.clock().now())
        voter_->propose(registry::encode(registry::Tick{loop_.clock().now()}), [](const auto&) {});
    look_alone();
    tend_ = loop_.deadlines().set(loop_.clock().now() + kTendEvery, [this] { tend(); });
}

// One that votes and has known no leader for a while was cut off, or is voted out: a log says nothing to
// those that it no longer names. It asks the others as one that does not vote. Named by the file no more, and
// told of a leader by another, it is out and gives its log up.
void Agreed::look_alone() {
    const Micros now = loop_.clock().now();
    if (!votes() || !voter_->leader().empty()) {
        led_at_ = now;
        if (votes() && poll_) loop_.deadlines().drop(*poll_), poll_.reset();
        return;
    }
    if (led_at_ == 0) led_at_ = now;
    if (now - led_at_ < kAlone) return;
    if (!poll_) leader_.clear(), known_ = false, poll();  // from now on what it is told counts
    const std::string& name = peers_.group().self().name;
    if (leader_.empty() || leader_ == name || setup_.voters.contains(name)) return;
    log::info("agreed: {} votes no more, {} leads", name, leader_);
    voter_->failed = true;
    voter_->close();
    keep_own();
}

// Another voter's log was forced to go on without ours: what ours holds is void. Told from within the
// transport.
void Agreed::yield(std::uint64_t history) {
    if (std::exchange(yielding_, true)) return;
    log::error("agreed: the log in {} is of an older history than that of another voter; it is set aside",
               setup_.folder);
    const std::weak_ptr<bool> alive = alive_;
    loop_.deadlines().set(loop_.clock().now(), [this, alive, history] {
        if (alive.expired()) return;
        voter_->failed = true;
        voter_->close();
        heard_ = {}, heard_registry_ = {}, known_ = false, leader_.clear();  // so is what was known by it
        heard_history_ = history;
        poll();
        set_aside(history);
    });
}

// Once the log is closed: its files out of the way, kept for whoever wants to look, and a place for the
// other.
void Agreed::set_aside(std::uint64_t history) {
    const std::weak_ptr<bool> alive = alive_;
    if (voter_->up) {
        loop_.deadlines().set(loop_.clock().now() + kVoteLater, [this, alive, history] {
            if (!alive.expired()) set_aside(history);
        });
        return;
    }
    const std::string aside = fmt::format("{}/aside-{}", setup_.folder, loop_.clock().now());
    std::error_code fault;
    std::filesystem::create_directories(aside, fault);
    std::vector<std::filesystem::path> files;
    for (std::filesystem::directory_iterator it(setup_.folder, fault), end; !fault && it != end;
         it.increment(fault))
        if (it->is_regular_file() && it->path().filename() != "lock") files.push_back(it->path());
    for (const auto& file : files)
        if (!fault) std::filesystem::rename(file, std::filesystem::path(aside) / file.filename(), fault);
    std::string wrong = fault ? fault.message() : Voter::put_history(setup_.folder, history);
    if (!wrong.empty())
        return log::error("agreed: the old log in {} can't be set aside, {}; this proxy does not vote",
                          setup_.folder, wrong);
    log::warn("agreed: the old log is in {}", aside);
    yielding_ = false, joins_ = true;
    voter_ = std::make_unique<Voter>(*this, peers_.group().self().name);
    vote_later();
}

// Whether a voter is there, as the group has it.
bool Agreed::there(const std::string& voter) const {
    if (voter == peers_.group().self().name) return true;
    const auto& seen = peers_.group().seen();
    return std::any_of(seen.begin(), seen.end(), [&](const group::Seen& one) {
        return one.word.name == voter && one.state == group::State::alive;
    });
}

void Agreed::vote_later() {
    const std::weak_ptr<bool> alive = alive_;
    loop_.deadlines().set(loop_.clock().now() + kVoteLater, [this, alive] {
        if (alive.expired()) return;
        if (!base::FolderLock(setup_.folder).fault().empty()) return vote_later();
        if ((voter_->lost_log() || joins_) && (!known_ || leader_.empty())) return vote_later();
        if (const std::string wrong = voter_->open(); !wrong.empty()) {
            log::error("{}; this proxy does not vote", wrong);
            voter_->failed = true;
            return voter_->close();
        }
        if (poll_) loop_.deadlines().drop(*poll_), poll_.reset();
        known_ = false;
        log::info("agreed: {} votes now", peers_.group().self().name);
    });
}

Agreed::~Agreed() {
    shut();
}

void Agreed::close() {
    if (voter_) voter_->close();
}

void Agreed::shut() {
    alive_.reset();
    for (const char* verb : {kWishVerb, kStateVerb}) peers_.no_calls(verb);
    for (auto* timer : {&poll_, &tend_})
        if (*timer) loop_.deadlines().drop(**timer), timer->reset();
    if (voter_) voter_->shut();
}

void Agreed::keep_own() {
    if (voter_->state.revision() > heard_.revision()) heard_ = voter_->state;
    if (voter_->registry.revision() > heard_registry_.revision()) heard_registry_ = voter_->registry;
    heard_history_ = std::max(heard_history_, voter_->transport.history());
}

// From now on this one asks the others, beginning with what it knows.
void Agreed::stop_voting() {
    keep_own();
    known_ = true;
    poll();
}

bool Agreed::votes() const {
    return voter_ && voter_->votes();
}
// What was heard while a voter was alone may be newer than its own.
const rollout::State& Agreed::state() const {
    return votes() && voter_->state.revision() >= heard_.revision() ? voter_->state : heard_;
}
const registry::State& Agreed::registry() const {
    return votes() && voter_->registry.revision() >= heard_registry_.revision() ? voter_->registry
                                                                                : heard_registry_;
}

std::optional<Micros> Agreed::sure_age() const {
    if (votes() && !voter_->leader().empty() && voter_->caught_up()) return 0;
    if (heard_at_) return loop_.clock().now() - *heard_at_;
    return std::nullopt;
}

std::string Agreed::leader() const {
    if (!votes()) return leader_;
    const std::string led = voter_->leader();
    return led.empty() && poll_ ? leader_ : led;
}
bool Agreed::known() const {
    return votes() && !voter_->leader().empty() ? voter_->caught_up() : known_;
}

bool Agreed::leads() const {
    return voter_ && voter_->leads();
}

rollout::Ask Agreed::ask_of(const Wanted& wanted) const {
    rollout::Ask ask{
        wanted.kind,         wanted.member,
        wanted.by,           wanted.forced,
        loop_.clock().now(), rules_of(wanted.kind == Kind::proxy ? setup_.proxies : setup_.pop_caches),
        world_(wanted.kind)};
    if (wanted.kind != Kind::proxy) return ask;
    ask.runs = runs_of(peers_.word_of(wanted.member));
    if (wanted.runs.start >= ask.runs.start) ask.runs = wanted.runs;
    const rollout::Release* release = state().releases().active();
    if (wanted.what == What::turn && release)
        ask.release = release->number, ask.by = "release " + release->plan.name;
    return ask;
}

std::optional<Answer> Agreed::explain(const std::string& member) const {
    for (const Kind kind : {Kind::proxy, Kind::pop_cache}) {
        const rollout::Ask ask = ask_of({What::leave, false, kind, member, {}, {}, {}});
        const bool known = std::any_of(ask.world.begin(), ask.world.end(),
                                       [&](const rollout::Seen& seen) { return seen.name == member; });
        if (known || state().find(kind, member)) return state().judge(ask);
    }
    return std::nullopt;
}

rollout::Runs Agreed::runs_of(const group::Word& word) const {
    rollout::Runs runs{word.stamp.start, word.version};
    const rollout::Release* release = state().releases().active();
    if (!release) return runs;
    const auto told = release->told.find(word.name);
    return told != release->told.end() && told->second.start > runs.start ? told->second : runs;
}

void Agreed::want(Wanted wanted, Told told) {
    const group::Word& self = peers_.group().self();
    if (wanted.kind == Kind::proxy && wanted.member == self.name)
        wanted.runs = {self.stamp.start, self.version};
    pursue(std::make_shared<Wish>(
        Wish{std::move(wanted), std::move(told), loop_.clock().now() + kPatience, false}));
}

void Agreed::ask(Kind kind, const std::string& member, const std::string& by, bool forced, Told told) {
    want({What::leave, forced, kind, member, by, {}, {}}, std::move(told));
}

void Agreed::back(Kind kind, const std::string& member, const std::string& by, Told told) {
    want({What::back, false, kind, member, by, {}, {}}, std::move(told));
}

void Agreed::turn(const std::string& member, bool forced, Told told) {
    want({What::turn, forced, Kind::proxy, member, {}, {}}, std::move(told));
}

void Agreed::order(const rollout::Order& order, Told told) {
    want({What::order, false, Kind::proxy, {}, order.by, rollout::encode(order), {}}, std::move(told));
}

void Agreed::change(const registry::Change& change, Told told) {
    if (std::string wrong = registry::unfit(change); !wrong.empty())
        return told(Answer{rollout::How::refused, 0, std::move(wrong), {}});
    want({What::change, false, Kind::pop_cache, {}, change.by, registry::encode(change), {}},
         std::move(told));
}

void Agreed::purge(const registry::Purge& purge, Told told) {
    want({What::change, false, Kind::pop_cache, {}, purge.by, registry::encode(purge), {}}, std::move(told));
}

void Agreed::read(const std::string& key, Told told) {
    want({What::read, false, Kind::pop_cache, key, {}, {}, {}}, std::move(told));
}

void Agreed::lead(Told told) {
    const std::string& self = peers_.group().self().name;
    if (!votes()) return told(Answer{rollout::How::refused, 0, self + " does not vote", {}});
    want({What::lead, false, Kind::pop_cache, self, self, {}, {}}, std::move(told));
}

void Agreed::step(rollout::Step step, Told told) {
    if (!leads()) return told(std::nullopt);
    step.now = loop_.clock().now();
    voter_->propose(rollout::encode(step), std::move(told));
}

void Agreed::settle(const std::shared_ptr<Wish>& wish, std::optional<Answer> answer) {
    if (!std::exchange(wish->settled, true)) wish->told(std::move(answer));
}

void Agreed::later(std::shared_ptr<Wish> wish) {
    const std::weak_ptr<bool> alive = alive_;
    loop_.deadlines().set(loop_.clock().now() + kTryAgain, [this, alive, wish] {
        if (!alive.expired()) pursue(wish);
    });
}

// One try after another until it is agreed on or the time is over. Danger: a try whose answer was lost may
// have been agreed on; that is why asking again gives the same lease, and giving back twice does nothing.
void Agreed::pursue(std::shared_ptr<Wish> wish) {
    const Micros now = loop_.clock().now();
    if (wish->settled) return;
    if (now >= wish->until) return settle(wish, std::nullopt);
    const std::weak_ptr<bool> alive = alive_;
    if (voter_ && voter_->leads()) {
        loop_.deadlines().set(wish->until, [this, alive, wish] {
            if (!alive.expired()) settle(wish, std::nullopt);
        });
        return voter_->propose(wish->wanted, [this, alive, wish](std::optional<Answer> answer) {
            if (alive.expired()) return;
            answer ? settle(wish, std::move(answer)) : later(wish);
        });
    }
    std::string to = leader();
    if (to.empty() || to == peers_.group().self().name) {
        auto voter = setup_.voters.begin();
        std::advance(voter, static_cast<std::ptrdiff_t>(next_voter_++ % setup_.voters.size()));
        to = voter->first;
    }
    if (to == peers_.group().self().name) return later(wish);
    peers_.call(to, kWishVerb, wish->wanted.encode(), std::min(kOneTry, wish->until - now),
                [this, alive, wish](std::optional<std::string> body) {
                    if (alive.expired()) return;
                    leader_.clear();
                    if (!body) return later(wish);
                    try {
                        const Said said = said_in(*body);
                        leader_ = said.leader;
                        if (said.done) return settle(wish, rollout::decode_answer(said.body));
                    } catch (const std::exception& wrong) {
                        log::warn("agreed: {}", wrong.what());
                    }
                    later(wish);
                });
}

void Agreed::take(const std::string& from, const std::string& verb, const std::string& body,
                  const Peers::Say& say) {
    // At first hand only: what was heard of a leader is told to nobody, or it would outlive that leader.
    const std::string led = votes() ? voter_->leader() : std::string{};
    const auto no = [&] { say(encode(Said{false, led, {}})); };
    if (!votes()) return no();
    try {
        if (verb == kStateVerb) {
            // What one of another history has tells nothing of what it lacks.
            const std::uint64_t history = voter_->transport.history();
            Has has = has_in(body);
            const bool same = has.history == history;
            const bool news = !same || has.revision != voter_->state.revision();
            return say(encode(Said{!led.empty() && voter_->caught_up(), led,
                                   news ? voter_->state.encode() : std::string{}, history,
                                   voter_->registry.news(same ? has.registry : 0)}));
        }
        if (verb != kWishVerb || !voter_->leads()) return no();
        voter_->propose(Wanted::read(body),
                        [say, self = peers_.group().self().name](std::optional<Answer> answer) {
                            say(encode(Said{answer.has_value(), answer ? self : std::string{},
                                            answer ? rollout::encode(*answer) : std::string{}}));
                        });
    } catch (const std::exception& wrong) {
        log::warn("agreed: a question of {}: {}", from, wrong.what());
        no();
    }
}

// Who does not vote asks one voter after another for the state, and keeps the newest it has heard.
void Agreed::poll() {
    auto voter = setup_.voters.begin();
    std::advance(voter, static_cast<std::ptrdiff_t>(next_voter_++ % setup_.voters.size()));
    const Micros every =
        std::clamp(kPollEach * static_cast<Micros>(peers_.group().size()), kPollEvery, kPollLongest);
    poll_ = loop_.deadlines().set(loop_.clock().now() + every, [this] { poll(); });
    ask_state(voter->first, every);
}

// An entry more carries to the voters how far the log is agreed on.
void Agreed::spread() {
    if (leads()) voter_->read({}, [](const auto&) {});
}

void Agreed::ask_now(const std::string& member) {
    if (!votes() || voter_->leader().empty()) ask_state(member, kOneTry);
}

void Agreed::ask_state(const std::string& voter, Micros within) {
    const std::weak_ptr<bool> alive = alive_;
    const Has has{heard_.revision(), ask_all_ ? 0 : heard_registry_.revision(), heard_history_};
    peers_.call(voter, kStateVerb, fmt::format("{} {} {}", has.revision, has.registry, has.history), within,
                [this, alive](std::optional<std::string> body) {
                    if (alive.expired() || !body) return;
                    try {
                        hold(*body);
                    } catch (const std::exception& wrong) {
                        log::warn("agreed: {}", wrong.what());
                    }
                });
}

// A voter's answer. Of a later history, as after a forced start, all that is here is void; of an earlier one,
// or of a voter that is behind, nothing is taken.
void Agreed::hold(const std::string& answer) {
    const Said said = said_in(answer);
    if (said.history < heard_history_) return;
    if (!said.leader.empty()) leader_ = said.leader;
    if (said.done) known_ = true, heard_at_ = loop_.clock().now();
    const bool later = said.done && said.history > heard_history_;
    if (said.history > heard_history_ && !later) return;
    if (later) heard_ = {}, heard_registry_ = {}, heard_history_ = said.history;
    if (!said.registry.empty()) {
        const std::uint64_t before = heard_registry_.revision();
        registry::State next = heard_registry_;
        ask_all_ = !next.take(said.registry);
        if (!ask_all_ && next.revision() > before) {
            heard_registry_ = std::move(next);
            if (registered_) registered_();
        }
    }
    if (said.body.empty()) return;
    rollout::State state = rollout::State::decode(said.body);
    if (state.revision() <= heard_.revision()) return;
    heard_ = std::move(state);
    changed_(heard_);
}

std::string Agreed::as_json() const {
    Json::Value root;
    root["member"] = peers_.group().self().name;
    root["votes"] = votes();
    root["leads"] = voter_ && voter_->leads();
    root["leader"] = leader();
    if (votes()) {
        root["voters"] = Json::Value(Json::arrayValue);
        for (const std::string& voter : voter_->voters()) root["voters"].append(voter);
    }
    root["known"] = known();
    root["revision"] = Json::UInt64{state().revision()};
    root["registry"]["revision"] = Json::UInt64{registry().revision()};
    root["registry"]["keys"] = Json::UInt64{registry().entries().size()};
    root["registry"]["last_purge"] = Json::UInt64{registry().last_purge()};
    if (const auto age = sure_age()) root["sure_age_s"] = static_cast<double>(*age) / 1e6;
    root["last_lease"] = Json::UInt64{state().last_number()};
    const auto listed = [](const rollout::Lease& lease) {
        Json::Value one;
        one["number"] = Json::UInt64{lease.number}, one["kind"] = name_of(lease.kind);
        one["member"] = lease.member, one["school"] = lease.school, one["by"] = lease.by;
        one["since"] = static_cast<double>(lease.since) / 1e6, one["forced"] = lease.forced;
        return one;
    };
    root["leases"] = root["forced"] = root["out"] = Json::Value(Json::arrayValue);
    for (const auto& [key, lease] : state().leases()) root["leases"].append(listed(lease));
    for (const rollout::Lease& lease : state().forced()) root["forced"].append(listed(lease));
    for (const Kind kind : {Kind::proxy, Kind::pop_cache})
        for (const rollout::Seen& seen : world_(kind)) {
            if (!seen.out) continue;
            Json::Value one;
            one["member"] = seen.name, one["kind"] = name_of(kind), one["school"] = seen.school,
            one["why"] = seen.why;
            root["out"].append(one);
        }
    // What a plan is rehearsed with.
    root["rules"]["school_out"] = setup_.proxies.school_out;
    root["rules"]["school_share"] = setup_.proxies.school_share;
    root["rules"]["fleet_out"] = setup_.proxies.fleet_out;
    root["rules"]["between_s"] = static_cast<double>(setup_.proxies.between) / 1e6;
    for (const rollout::Seen& seen : world_(Kind::proxy)) {
        Json::Value one;
        one["member"] = seen.name, one["school"] = seen.school, one["weight"] = seen.weight,
        one["out"] = seen.out;
        root["proxies"].append(one);
    }
    return base::json_line(root);
}

}  // namespace sumackeel::peers
