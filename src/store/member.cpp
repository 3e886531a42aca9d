#include "store/member.h"

#include <algorithm>

#include "base/log.h"
#include "store/text.h"

namespace sumackeel::store {

using Json::Value;

namespace {

constexpr std::size_t kLongestLine = 16 << 20;
constexpr std::size_t kLongestText = 64 * 1024;  // of a key or a value
constexpr const char* kLeaderKey = "store/leader";
constexpr base::Micros kAgainAfter = 100'000;
constexpr base::Micros kPutWithin = 2'000'000;
constexpr base::Micros kVoteWithin = 2'000'000;

Value one(const char* name, Value what) {
    Value message;
    message[name] = std::move(what);
    return message;
}

Value place_of(const Place& place) {
    Value value;
    value["seq"] = Json::Int64{place.seq};
    value["epoch"] = Json::Int64{place.epoch};
    return value;
}

Place read_place(const Value& value) {
    return {whole(value, "epoch"), whole(value, "seq")};
}

// Messages between members: one JSON object a line.
class Lines {
  public:
    template <typename Each>
    void add(std::string_view bytes, Each each) {
        buffer_ += bytes;
        std::size_t at = 0;
        for (std::size_t end; (end = buffer_.find('\n', at)) != std::string::npos; at = end + 1)
            each(from_line(buffer_.substr(at, end - at)));
        buffer_.erase(0, at);
        if (buffer_.size() > kLongestLine) throw StoreError("a message without end");
    }

  private:
    std::string buffer_;
};

void say(net::Stream* stream, const Value& message) {
    if (stream) stream->write(to_line(message) + '\n');
}

}  // namespace

struct Member::Caller : net::Stream::Owner {
    Member& member;
    net::Stream* stream = nullptr;
    Lines lines;
    std::int64_t leads = -1;  // the epoch under which this caller leads us

    explicit Caller(Member& m) : member(m) {}
    void received(net::Stream&, std::string_view bytes) override {
        lines.add(bytes, [this](const Value& message) {
            if (stream) member.heard(*this, message);
        });
    }
    void gone(net::Stream&, net::Gone) override {
        stream = nullptr;
        const auto place = std::find_if(member.callers_.begin(), member.callers_.end(),
                                        [this](const auto& c) { return c.get() == this; });
        member.dead_callers_.push_back(std::move(*place));
        member.callers_.erase(place);
    }
};

struct Member::Link : net::Stream::Owner {
    Member& member;
    std::string name, address;
    net::Stream* stream = nullptr;
    Lines lines;
    bool caught_up = false;
    std::int64_t has = -1;  // on the other's disk

    Link(Member& m, std::string n, std::string a) : member(m), name(std::move(n)), address(std::move(a)) {}

    void dial() {
        sockaddr_in to{};
        lines = {};
        caught_up = false;
        has = -1;
        if (net::read_address(address, to))
            stream = net::Stream::connect(member.loop_, member.budget_, to, *this);
        if (!stream) again();
    }
    void again() {
        member.loop_.deadlines().set(member.loop_.clock().now() + kAgainAfter,
                                     [this, alive = std::weak_ptr<bool>(member.alive_), &m = member] {
                                         // The link may be gone with the lead; it is looked up, not trusted.
                                         if (alive.expired()) return;
                                         for (const auto& link : m.links_)
                                             if (link.get() == this && !stream) return dial();
                                     });
    }
    void opened(net::Stream&) override {
        Value message = one("lead", Json::Int64{member.epoch()});
        message["from"] = member.setup_.name;
        say(stream, message);
    }
    void gone(net::Stream&, net::Gone) override {
        stream = nullptr;
        again();
    }
    void received(net::Stream&, std::string_view bytes) override {
        lines.add(bytes, [this](const Value& message) {
            if (!stream) return;
            if (message.isMember("fenced")) return member.step_down(whole(message, "fenced"), {});
            if (message.isMember("at")) return bring_up(read_place(message["at"]));
            has = whole(message, "have");
            member.count();
        });
    }
    // By sequence where the histories agree up to its last record, else by snapshot.
    void bring_up(const Place& at) {
        const Log& log = member.log_;
        caught_up = true;
        if (log.epoch_at(at.seq) == at.epoch) {
            has = at.seq;
        } else {
            say(stream, one("snapshot", write_snapshot(log.snapshot())));
            has = -1;
        }
        for (const Record& record : log.records())
            if (record.seq > has) push(record);
        say(stream, one("commit", Json::Int64{log.committed()}));
        member.count();
    }
    void push(const Record& record) {
        if (caught_up) say(stream, one("put", write_record(record)));
    }
};

// Fences the others one after the other has answered, then leads.
struct Member::Vote : net::Stream::Owner {
    Member& member;
    std::int64_t epoch;
    Promoted done;
    std::map<net::Stream*, Lines> asked;
    std::size_t granted = 1;
    base::Deadlines::Key by;
    bool over = false;

    Vote(Member& m, std::int64_t e, Promoted d) : member(m), epoch(e), done(std::move(d)) {}
    ~Vote() override {
        member.loop_.deadlines().drop(by);
        for (const auto& [stream, lines] : asked) stream->close();
    }
    void opened(net::Stream& stream) override {
        Value message = one("fence", Json::Int64{epoch});
        message["from"] = member.setup_.name;
        message["at"] = place_of(member.log_.last());
        say(&stream, message);
    }
    void gone(net::Stream& stream, net::Gone) override { asked.erase(&stream); }
    void received(net::Stream& stream, std::string_view bytes) override {
        asked[&stream].add(bytes, [this](const Value& message) {
            if (over) return;
            if (message.isMember("fenced")) {
                member.seen_epoch_ = std::max(member.seen_epoch_, whole(message, "fenced"));
                return end("a later epoch is in force");  // known now, so the next promotion goes beyond it
            }
            if (message.isMember("ahead")) return end("another member knows more");
            if (++granted >= member.majority()) end({});
        });
    }
    // Only marks the end; the rest is done from the loop, out of the stream's own call.
    void end(const std::string& why_not) {
        if (std::exchange(over, true)) return;
        member.loop_.deadlines().drop(by);
        by = member.loop_.deadlines().set(0, [&m = member, why_not] {
            const auto vote = std::move(m.vote_);
            const bool late = m.epoch() >= vote->epoch;  // another was let lead in the meanwhile
            if (why_not.empty() && !late) m.lead(vote->epoch);
            vote->done(why_not.empty() && late ? "a later epoch is in force" : why_not);
        });
    }
};

Member::Member(net::Loop& loop, net::Budget& budget, const config::Store& setup)
    : loop_(loop),
      budget_(budget),
      setup_(setup),
      log_(setup.folder),
      listener_(loop, setup.listen, [this](uv_stream_t* listener) {
          auto caller = std::make_unique<Caller>(*this);
          caller->stream = net::Stream::accept(loop_, budget_, listener, *caller);
          if (caller->stream) callers_.push_back(std::move(caller));
      }) {
    loop_.each_turn([this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) dead_links_.clear(), dead_callers_.clear();
    });
    // What was promised to a later epoch outlives what the configuration says.
    const std::string leader = log_.promised().epoch > 0 ? log_.leader() : setup_.primary;
    if (leader == setup_.name) lead(std::max<std::int64_t>(1, log_.promised().epoch));
}

Member::~Member() {
    vote_.reset();
    for (const auto& link : links_)
        if (link->stream) link->stream->close();
    for (const auto& caller : callers_)
        if (caller->stream) caller->stream->close();
    clear_pending();
}

void Member::place(const std::string& name, const std::string& address) {
    for (auto& other : setup_.members)
        if (other.name == name) other.address = address;
    for (const auto& link : links_)
        if (link->name == name) link->address = address;
}

std::optional<Entry> Member::get(const std::string& key) const {
    const auto found = log_.state().find(key);
    return found == log_.state().end() ? std::nullopt : std::optional(found->second);
}

void Member::lead(std::int64_t epoch) {
    log_.promise(epoch, setup_.name);
    primary_ = true;
    log::info("store: {} leads with epoch {}", setup_.name, epoch);
    // A first record of its own: with it, what earlier epochs left uncommitted is committed too.
    if (log_.last().epoch != epoch)
        log_.append(
            {log_.last().seq + 1, epoch, log_.newest_version(kLeaderKey) + 1, kLeaderKey, setup_.name});
    for (const auto& other : setup_.members) {
        if (other.name == setup_.name) continue;
        links_.push_back(std::make_unique<Link>(*this, other.name, other.address));
        links_.back()->dial();
    }
    count();
}

void Member::clear_pending() {
    for (const Pending& write : pending_) loop_.deadlines().drop(write.by);
    pending_.clear();
}

void Member::step_down(std::int64_t epoch, const std::string& leader) {
    if (epoch > log_.promised().epoch) log_.promise(epoch, leader);
    if (!std::exchange(primary_, false)) return;
    log::warn("store: {} leads no longer, epoch {} is in force", setup_.name, epoch);
    for (auto& link : links_) {
        if (link->stream) link->stream->close();
        link->stream = nullptr;
        dead_links_.push_back(std::move(link));
    }
    links_.clear();
    std::vector<Pending> writes;
    writes.swap(pending_);
    for (const Pending& write : writes) {
        loop_.deadlines().drop(write.by);
        write.done(Put::unknown, 0);
    }
}

void Member::put(const std::string& key, const std::string& value, std::int64_t expected, PutDone done) {
    if (!primary_) return done(Put::not_primary, 0);
    const std::int64_t present = log_.newest_version(key);
    if (expected >= 0 && expected != present) return done(Put::conflict, present);
    if (key.empty() || key.size() > kLongestText || value.size() > kLongestText)
        return done(Put::conflict, present);
    const Record record{log_.last().seq + 1, epoch(), present + 1, key, value};
    log_.append(record);
    const auto by = loop_.deadlines().set(loop_.clock().now() + kPutWithin, [this, seq = record.seq] {
        const auto found =
            std::find_if(pending_.begin(), pending_.end(), [&](const auto& p) { return p.seq == seq; });
        if (found == pending_.end()) return;
        const PutDone late = std::move(found->done);
        pending_.erase(found);
        late(Put::unknown, 0);
    });
    pending_.push_back({record.seq, record.version, std::move(done), by});
    for (const auto& link : links_) link->push(record);
    count();
}

// What a majority has on disk is committed. Danger: a record of an earlier epoch counts only with one of this
// epoch behind it, or a later primary could still undo it.
void Member::count() {
    if (!primary_) return;
    std::vector<std::int64_t> has{log_.last().seq};
    for (const auto& link : links_) has.push_back(link->stream ? link->has : -1);
    std::sort(has.rbegin(), has.rend());
    const std::int64_t reached = has[majority() - 1];
    if (reached <= log_.committed() || log_.epoch_at(reached) != epoch()) return;
    log_.commit(reached);
    for (const auto& link : links_)
        if (link->caught_up) say(link->stream, one("commit", Json::Int64{reached}));
    std::vector<Pending> reached_now;
    while (!pending_.empty() && pending_.front().seq <= reached) {
        reached_now.push_back(std::move(pending_.front()));
        pending_.erase(pending_.begin());
    }
    for (const Pending& write : reached_now) {
        loop_.deadlines().drop(write.by);
        write.done(Put::done, write.version);
    }
}

void Member::promote(Promoted done) {
    if (primary_) return done("leads already");
    if (vote_) return done("a promotion is under way");
    vote_ = std::make_unique<Vote>(*this, std::max(epoch(), seen_epoch_) + 1, std::move(done));
    vote_->by = loop_.deadlines().set(loop_.clock().now() + kVoteWithin, [this] {
        const auto vote = std::move(vote_);
        vote->done("no majority answered");
    });
    if (vote_->granted >= majority()) return vote_->end({});
    for (const auto& other : setup_.members) {
        sockaddr_in to{};
        if (other.name == setup_.name || !net::read_address(other.address, to)) continue;
        if (net::Stream* stream = net::Stream::connect(loop_, budget_, to, *vote_)) vote_->asked[stream];
    }
}

void Member::heard(Caller& caller, const Value& message) {
    const auto answer = [stream = caller.stream](const Value& m) { say(stream, m); };
    if (message.isMember("fence") || message.isMember("lead")) {
        const bool leads = message.isMember("lead");
        const std::int64_t epoch = whole(message, leads ? "lead" : "fence");
        const std::string from = text(message, "from");
        const bool same = epoch == log_.promised().epoch && (from == log_.leader() || log_.leader().empty());
        // Danger: a member that knows more may hold a write that was acknowledged.
        if (!leads && read_place(message["at"]) < log_.last())
            return answer(one("ahead", place_of(log_.last())));
        // Once a later epoch was promised, an earlier primary is turned away for good.
        if (epoch <= log_.promised().epoch && !(leads && same))
            return answer(one("fenced", Json::Int64{log_.promised().epoch}));
        if (!leads && vote_ && epoch <= vote_->epoch) return answer(one("fenced", Json::Int64{vote_->epoch}));
        step_down(epoch, from);
        log_.promise(epoch, leads ? from : std::string{});
        if (leads) caller.leads = epoch;
        return answer(one("at", place_of(log_.last())));
    }
    if (caller.leads >= 0) return obey(caller, message);
    // An operator's commands. The answer may come later, so the connection is looked for again then.
    const auto later = [this, who = &caller](const Value& m) {
        for (const auto& c : callers_)
            if (c.get() == who) say(c->stream, m);
    };
    if (message.isMember("promote"))
        return promote([this, later](const std::string& why_not) {
            later(why_not.empty() ? one("promoted", Json::Int64{epoch()}) : one("refused", why_not));
        });
    if (message.isMember("set"))
        return put(
            text(message, "set"), text(message, "value"),
            message.isMember("version") ? whole(message, "version") : -1,
            [later](Put how, std::int64_t version) {
                static constexpr const char* words[] = {"done", "conflict", "not the primary", "unknown"};
                Value m = one("outcome", words[static_cast<int>(how)]);
                m["version"] = Json::Int64{version};
                later(m);
            });
    const auto entry = get(text(message, "get"));
    Value m = one("version", Json::Int64{entry ? entry->version : 0});
    if (entry) m["value"] = entry->value;
    answer(m);
}

// What the primary says; a word of one that was replaced meanwhile is turned away.
void Member::obey(Caller& caller, const Value& message) {
    if (caller.leads != log_.promised().epoch) {
        caller.leads = -1;
        return say(caller.stream, one("fenced", Json::Int64{log_.promised().epoch}));
    }
    if (message.isMember("commit")) return log_.commit(std::min(whole(message, "commit"), log_.last().seq));
    if (message.isMember("snapshot"))
        log_.install(read_snapshot(message["snapshot"]));
    else
        log_.append(read_record(message["put"]));
    say(caller.stream, one("have", Json::Int64{log_.last().seq}));
}

}  // namespace sumackeel::store
