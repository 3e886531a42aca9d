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
#include "base/slot_map.h"
#include "base/timer_queue.h"
#include "routing/router.h"

namespace sumackeel::core {

using base::Clock;
using base::Handle;
using base::Micros;
using base::SlotMap;
using base::TimerQueue;

// What a client asks for.
struct Request {
    std::string id;  // the client's own name for the request, passed on unchanged
    int class_index = 0;
    std::string class_name;
    std::string object;
    int part = 0;
    int purge_group = 0;
    double size_kb = 0;
    Micros received_at = 0;   // when its last byte came; 0: just now
    Micros time_left = 0;     // from then until the client gives up
    std::string client_etag;  // the tag of a copy that the client holds
    // The client's idempotency key, the same for all its tries of one operation; empty but in keyed classes.
    std::string idempotency_key;
    std::string body;
};

enum class ResponseStatus { served, not_modified, rejected, failed, deadline_exceeded };

struct Response {
    ResponseStatus status = ResponseStatus::failed;
    std::string body = {};
    std::string etag = {};
    Micros retry_after = 0;  // refused: when to try again; 0: not said
};

// A front's side of one request.
class ResponseSink {
  public:
    virtual ~ResponseSink() = default;
    // Called once, never from within take().
    virtual void on_response(std::uint64_t cookie, Response reply) = 0;
};

// One attempt as upstream is to carry it.
struct AttemptRequest {
    Handle attempt;
    std::string target, source;  // source empty: no fill
    Micros deadline = 0;         // it will be waited for until then
    Micros max_age = 0;
    int cache_priority = 0;
    bool coalesce = false, source_cached_only = false, parent_bypasses_cache = false, revalidate = false;
    // Begun later than this it could run a second time; 0: there is no such moment.
    Micros start_deadline = 0;
    const Request* request = nullptr;              // good during the call only
    std::vector<std::uint64_t> avoid_connections;  // channels that earlier attempts of the request used
};

struct AttemptResult {
    routing::AttemptStatus status = routing::AttemptStatus::error;
    routing::CacheStatus cache_status = routing::CacheStatus::unknown;
    Micros time_to_first_byte = 0;
    routing::LoadReport load = {};
    bool not_modified = false;  // the client's copy is the one
    std::string body = {};
    std::string etag = {};
    std::int64_t origin_date_ms = 0;  // Unix time at which the origin gave out this copy; 0: not told
};

// What came of requests since the start.
struct Metrics {
    std::uint64_t responses[5] = {};  // by Answered
    std::array<std::uint64_t, 16>
        latency_histogram{};     // of those served: up to 2^i ms; the last one takes all that is longer
    std::uint64_t attempts = 0;  // handed to upstream
    std::uint64_t dispatch_time_us = 0,
                  dispatched = 0;  // from taking a request to its first attempt, summed; of how many
};

class Upstream {
  public:
    virtual ~Upstream() = default;
    // Never ends the attempt from within the call. Returns the channel that carries it.
    virtual std::uint64_t start(const AttemptRequest& sending) = 0;
    // Gives the attempt up. False: not a byte of it had been written, so it never ran.
    virtual bool cancel(Handle attempt) = 0;
    // Whether the attempt waits and not a byte of it has been written.
    virtual bool not_started(Handle attempt) const = 0;
    // Whether it waits for a socket that this process can't make: that is no failure of its target.
    virtual bool lacks_socket(Handle attempt) const { return static_cast<void>(attempt), false; }
    virtual void close_idle_connections(const std::string& target) = 0;
};

class Core {
  public:
    Core(const routing::Settings& settings, std::uint64_t seed, Clock& clock, TimerQueue& deadlines);

    void attach(Upstream& upstream) { upstream_ = &upstream; }
    // Asked of each request taken: none, or when to come back, and it is refused at once, unseen by the
    // module.
    void set_admission_check(std::function<std::optional<Micros>(const Request&)> what) {
        gate_ = std::move(what);
    }
    // The oldest copy that will do at all, as an age; 0: any.
    void set_max_copy_age(std::function<Micros()> age) { oldest_ = std::move(age); }
    // Told of each attempt that was served, with the source that was named for a fill.
    void on_served(
        std::function<void(const Request&, const std::string& source, routing::CacheStatus)> what) {
        served_ = std::move(what);
    }
    // Told of each target that answers an attempt, with whatever answer: its process runs.
    void on_endpoint_response(std::function<void(const std::string& target)> what) {
        answered_ = std::move(what);
    }

    // Takes a request; its one answer goes to `asker`. The front calls run() when its turn is over.
    Handle submit(Request ask, ResponseSink& sink, std::uint64_t cookie);
    void cancel(Handle request);  // the client no longer waits: no answer is owed
    void on_attempt_finished(Handle attempt, AttemptResult ending);
    void notify(routing::Event event);  // news of the fleet and purges
    void process_events();              // works off what has come in

    std::size_t open_requests() const { return requests_.size(); }
    const Metrics& metrics() const { return metrics_; }
    // The process is to be gone by `at`: what the module has not answered by then gets the core's own last
    // word (out of time) at `at`, so that no client is left with a connection that dies unanswered. Requests
    // taken from now on have until then and no longer: what can't end by `at` is refused at once.
    void set_shutdown_deadline(Micros at);
    // This request is to have its answer by `at` where nobody gave one before; nothing: by its own deadline.
    void set_response_deadline(Handle request, std::optional<Micros> at);
    // Danger: caches know a request by its client's id alone. Two open under one id would get each other's
    // answers, so fronts turn the second away.
    bool is_open(const std::string& id) const { return ids_.contains(id); }
    const routing::Settings& settings() const { return settings_; }

  private:
    struct OpenRequest {
        Request request;
        ResponseSink* sink = nullptr;
        std::uint64_t cookie = 0;
        std::string name;  // what the module calls it
        Micros deadline = 0;
        std::optional<Micros> response_deadline;  // sooner than the deadline
        TimerQueue::Key guard;
        std::vector<Handle> out;
        int attempts = 0;
        bool may_have_run = false;
        Micros ran_since = 0;  // the first attempt that may have run was sent then
        std::vector<std::uint64_t> channels;
    };
    struct OpenAttempt {
        Handle request;
        std::string name, target, source;
        int number = 0;
        Micros sent = 0;
        Micros stalled_before = 0;  // for how long the process had stood still in all when it was sent
        Micros oldest = 0;          // a copy given out before this was not asked for; 0: any will do
        TimerQueue::Key limit;
    };

    void handle(const routing::Event& event);
    void carry_out(const routing::Action& action);
    void do_act(const routing::Lookup& a);
    void do_act(const routing::Forward& a);
    void do_act(const routing::SetTimer& a);
    void do_act(const routing::Reject& a);
    void do_act(const routing::Fail& a);
    void do_act(const routing::Cancel& a);
    void do_act(const routing::CloseIdleConnections& a);
    void do_act(const routing::LogMessage& a);
    void do_act(const routing::WatchEndpoints&) {}  // the change log is always followed
    void do_act(const routing::PollEndpoints&) {}
    void do_act(const routing::SendHealthCheck&) {}  // neither is permitted here
    void do_act(const routing::SendGossip&) {}
    void attempt(const routing::Forward& serve);
    void finish(Handle request, Response reply);
    void time_up(Handle request);
    std::optional<OpenRequest> forget(Handle request);
    Micros begin_by(const OpenRequest& request);
    TimerQueue::Key guard(Handle handle, const OpenRequest& request);
    void renew_guard(Handle handle, OpenRequest& request);
    Handle named(std::string_view name) const;

    routing::Settings settings_;
    routing::Router router_;
    Clock& clock_;
    TimerQueue& deadlines_;
    Upstream* upstream_ = nullptr;
    SlotMap<OpenRequest> requests_;
    std::unordered_set<std::string> ids_;  // of the requests open, as clients name them
    SlotMap<OpenAttempt> attempts_;
    std::function<void(const std::string&)> answered_;
    std::function<std::optional<Micros>(const Request&)> gate_;
    std::function<void(const Request&, const std::string&, routing::CacheStatus)> served_;
    std::function<Micros()> oldest_;
    std::vector<std::pair<Handle, Micros>> turned_away_;  // by the gate, answered in the next run()
    std::deque<routing::Event> events_;
    std::vector<routing::Action> actions_;
    bool running_ = false;
    Metrics metrics_;
    Micros shutdown_deadline_ = 0;  // 0: no end is near
    Micros reported_stall_ = 0;     // of the clock's stalled(), what the module knows
};

}  // namespace sumackeel::core
