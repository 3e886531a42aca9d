// Requests, attempts and outcomes. The core drives the decision module and sees to it that each request gets
// exactly one final answer. It knows no wire: fronts hand it requests, upstream carries its attempts.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/deadlines.h"
#include "base/slots.h"
#include "nettlethread/router.h"

namespace sumackeel::core {

using base::Clock;
using base::Deadlines;
using base::Handle;
using base::Micros;
using base::Slots;

// What a client asks for.
struct Ask {
    std::string id;  // the client's own name for the request, passed on unchanged
    int service = 0;
    std::string service_name;
    std::string object;
    int part = 0;
    int group = 0;
    double size_kb = 0;
    Micros came = 0;   // when its last byte came; 0: just now
    Micros left = 0;   // from then until the client gives up
    std::string have;  // the tag of a copy that the client holds
    // The client's idempotency key, the same for all its tries of one operation; empty but in keyed classes.
    std::string idempotency_key;
    std::string body;
};

enum class Answered { served, same, refused, failed, out_of_time };

struct Reply {
    Answered how = Answered::failed;
    std::string body = {};
    std::string tag = {};
    Micros come_back = 0;  // refused: when to try again; 0: not said
};

// A front's side of one request.
class Asker {
  public:
    virtual ~Asker() = default;
    // Called once, never from within take().
    virtual void answer(std::uint64_t cookie, Reply reply) = 0;
};

// One attempt as upstream is to carry it.
struct Sending {
    Handle attempt;
    std::string target, source;  // source empty: no fill
    Micros until = 0;            // it will be waited for until then
    Micros age = 0;
    int rank = 0;
    bool join = false, source_holds = false, parent_skips = false, renew = false;
    // Begun later than this it could run a second time; 0: there is no such moment.
    Micros begin_by = 0;
    const Ask* ask = nullptr;          // good during the call only
    std::vector<std::uint64_t> avoid;  // channels that earlier attempts of the request used
};

struct Ending {
    nettlethread::Verdict verdict = nettlethread::Verdict::error;
    nettlethread::Note note = nettlethread::Note::none;
    Micros first_byte = 0;
    nettlethread::LoadReport load = {};
    bool same = false;  // the client's copy is the one
    std::string body = {};
    std::string tag = {};
    std::int64_t dated_ms = 0;  // Unix time at which the origin gave out this copy; 0: not told
};

// What came of requests since the start.
struct Figures {
    std::uint64_t answered[5] = {};  // by Answered
    std::array<std::uint64_t, 16>
        took{};                  // of those served: up to 2^i ms; the last one takes all that is longer
    std::uint64_t attempts = 0;  // handed to upstream
    std::uint64_t own_us = 0, sent = 0;  // from taking a request to its first attempt, summed; of how many
};

class Upstream {
  public:
    virtual ~Upstream() = default;
    // Never ends the attempt from within the call. Returns the channel that carries it.
    virtual std::uint64_t send(const Sending& sending) = 0;
    // Gives the attempt up. False: not a byte of it had been written, so it never ran.
    virtual bool stop(Handle attempt) = 0;
    // Whether the attempt waits and not a byte of it has been written.
    virtual bool unbegun(Handle attempt) const = 0;
    // Whether it waits for a socket that this process can't make: that is no failure of its target.
    virtual bool is_short(Handle attempt) const { return static_cast<void>(attempt), false; }
    virtual void close_idle(const std::string& target) = 0;
};

class Core {
  public:
    Core(const nettlethread::Settings& settings, std::uint64_t seed, Clock& clock, Deadlines& deadlines);

    void attach(Upstream& upstream) { upstream_ = &upstream; }
    // Asked of each request taken: none, or when to come back, and it is refused at once, unseen by the
    // module.
    void gate(std::function<std::optional<Micros>(const Ask&)> what) { gate_ = std::move(what); }
    // The oldest copy that will do at all, as an age; 0: any.
    void oldest(std::function<Micros()> age) { oldest_ = std::move(age); }
    // Told of each attempt that was served, with the source that was named for a fill.
    void on_served(std::function<void(const Ask&, const std::string& source, nettlethread::Note)> what) {
        served_ = std::move(what);
    }
    // Told of each target that answers an attempt, with whatever answer: its process runs.
    void on_answer(std::function<void(const std::string& target)> what) { answered_ = std::move(what); }

    // Takes a request; its one answer goes to `asker`. The front calls run() when its turn is over.
    Handle take(Ask ask, Asker& asker, std::uint64_t cookie);
    void leave(Handle request);  // the client no longer waits: no answer is owed
    void ended(Handle attempt, Ending ending);
    void tell(nettlethread::Event event);  // news of the fleet and purges
    void run();                            // works off what has come in

    std::size_t open_requests() const { return requests_.size(); }
    const Figures& figures() const { return figures_; }
    // The process is to be gone by `at`: what the module has not answered by then gets the core's own last
    // word (out of time) at `at`, so that no client is left with a connection that dies unanswered. Requests
    // taken from now on have until then and no longer: what can't end by `at` is refused at once.
    void last_word_by(Micros at);
    // This request is to have its answer by `at` where nobody gave one before; nothing: by its own deadline.
    void answer_by(Handle request, std::optional<Micros> at);
    // Danger: caches know a request by its client's id alone. Two open under one id would get each other's
    // answers, so fronts turn the second away.
    bool is_open(const std::string& id) const { return ids_.contains(id); }
    const nettlethread::Settings& settings() const { return settings_; }

  private:
    struct Request {
        Ask ask;
        Asker* asker = nullptr;
        std::uint64_t cookie = 0;
        std::string name;  // what the module calls it
        Micros deadline = 0;
        std::optional<Micros> answer_by;  // sooner than the deadline
        Deadlines::Key guard;
        std::vector<Handle> out;
        int attempts = 0;
        bool may_have_run = false;
        Micros ran_since = 0;  // the first attempt that may have run was sent then
        std::vector<std::uint64_t> channels;
    };
    struct Attempt {
        Handle request;
        std::string name, target, source;
        int number = 0;
        Micros sent = 0;
        Micros stalled_before = 0;  // for how long the process had stood still in all when it was sent
        Micros oldest = 0;          // a copy given out before this was not asked for; 0: any will do
        Deadlines::Key limit;
    };

    void handle(const nettlethread::Event& event);
    void carry_out(const nettlethread::Action& action);
    void do_act(const nettlethread::LookUp& a);
    void do_act(const nettlethread::Serve& a);
    void do_act(const nettlethread::SetTimer& a);
    void do_act(const nettlethread::Refuse& a);
    void do_act(const nettlethread::Fail& a);
    void do_act(const nettlethread::Cancel& a);
    void do_act(const nettlethread::CloseIdle& a);
    void do_act(const nettlethread::Log& a);
    void do_act(const nettlethread::WatchList&) {}  // the change log is always followed
    void do_act(const nettlethread::FetchList&) {}
    void do_act(const nettlethread::Probe&) {}  // neither is permitted here
    void do_act(const nettlethread::TellPeer&) {}
    void attempt(const nettlethread::Serve& serve);
    void finish(Handle request, Reply reply);
    void time_up(Handle request);
    std::optional<Request> forget(Handle request);
    Micros begin_by(const Request& request);
    Deadlines::Key guard(Handle handle, const Request& request);
    void renew_guard(Handle handle, Request& request);
    Handle named(std::string_view name) const;

    nettlethread::Settings settings_;
    nettlethread::Router router_;
    Clock& clock_;
    Deadlines& deadlines_;
    Upstream* upstream_ = nullptr;
    Slots<Request> requests_;
    std::unordered_set<std::string> ids_;  // of the requests open, as clients name them
    Slots<Attempt> attempts_;
    std::function<void(const std::string&)> answered_;
    std::function<std::optional<Micros>(const Ask&)> gate_;
    std::function<void(const Ask&, const std::string&, nettlethread::Note)> served_;
    std::function<Micros()> oldest_;
    std::vector<std::pair<Handle, Micros>> turned_away_;  // by the gate, answered in the next run()
    std::deque<nettlethread::Event> events_;
    std::vector<nettlethread::Action> actions_;
    bool running_ = false;
    Figures figures_;
    Micros last_word_ = 0;     // 0: no end is near
    Micros told_stalled_ = 0;  // of the clock's stalled(), what the module knows
};

}  // namespace sumackeel::core
