// Requests, attempts and their results. The core drives the router and ensures that each request gets exactly
// one response. It is independent of protocols: servers submit requests, Upstream carries attempts.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/memory_account.h"
#include "base/slot_map.h"
#include "base/timer_queue.h"
#include "core/abandoned_requests.h"
#include "core/response_size_estimate.h"
#include "routing/router.h"

namespace sumackeel::core {

using base::Clock;
using base::Handle;
using base::Micros;
using base::SlotMap;
using base::TimerQueue;

// A client's request.
struct Request {
    std::string id;  // the client's id of the request, passed on unchanged
    int class_index = 0;
    std::string class_name;
    std::string object;
    int part = 0;
    int purge_group = 0;
    double size_kb = 0;
    Micros received_at = 0;   // when its last byte was received; 0: now
    Micros time_left = 0;     // from received_at to the client's deadline
    std::string client_etag;  // of the client's cached copy
    // The same for all tries of one operation by the client; empty except in classes with idempotency keys.
    std::string idempotency_key;
    std::string body;
};

enum class ResponseStatus { served, not_modified, rejected, failed, deadline_exceeded };

struct Response {
    ResponseStatus status = ResponseStatus::failed;
    std::string body = {};
    std::string etag = {};
    Micros retry_after = 0;  // rejected: when to try again; 0: not specified
};

// Until when the purges known to this process are sufficient, and what may be accepted after that.
struct PurgeKnowledge {
    Micros valid_until = std::numeric_limits<Micros>::max();
    Micros max_copy_age_afterwards = 0;  // a younger copy is no older than any purge that binds; 0: no limit
};

// Receives the responses to requests that a server has submitted.
class ResponseSink {
  public:
    virtual ~ResponseSink() = default;
    // Called once for each request, never from within Core::submit().
    virtual void on_response(std::uint64_t cookie, Response response) = 0;
};

// One attempt, as passed to Upstream.
struct AttemptRequest {
    Handle attempt;
    std::string target, source;  // source: of a fill; empty: no fill
    Micros deadline = 0;         // when the attempt times out
    Micros max_age = 0;          // of a copy, as decided, see terms_at_write(); 0: by the class
    int cache_priority = 0;
    bool coalesce = false, source_cached_only = false, parent_bypasses_cache = false, revalidate = false;
    // An attempt that starts later could run the request a second time; 0: no limit.
    Micros start_deadline = 0;
    const Request* request = nullptr;              // valid during the call only
    std::vector<std::uint64_t> avoid_connections;  // used by earlier attempts of the request
};

// What holds for an attempt whose first byte is written now.
struct WriteTerms {
    bool allowed = false;        // false: its target or source may not get it any more
    Micros max_age = 0;          // of a copy; 0: by the class
    std::string_view body = {};  // of the request; valid during the call
};

struct AttemptResult {
    routing::AttemptStatus status = routing::AttemptStatus::error;
    routing::CacheStatus cache_status = routing::CacheStatus::unknown;
    Micros time_to_first_byte = 0;
    routing::LoadReport load = {};
    bool not_modified = false;  // the client's copy is current
    std::string body = {};
    std::string etag = {};
    std::int64_t origin_date_ms = 0;  // Unix time at which the origin sent this copy; 0: unknown
};

// Counters since the start of the process.
struct Metrics {
    std::uint64_t responses[5] = {};  // by ResponseStatus
    // Of served requests: up to 2^i ms; the last one counts all longer ones.
    std::array<std::uint64_t, 16> latency_histogram{};
    std::uint64_t attempts = 0;                                       // passed to Upstream
    std::uint64_t attempts_ended[routing::kAttemptStatusCount] = {};  // by routing::AttemptStatus
    std::uint64_t attempts_purges_unconfirmed = 0;  // of those: by PurgeKnowledge that was not valid any more
    // The times from submission to the first attempt: their sum, and the number of requests in it.
    std::uint64_t dispatch_time_us = 0, dispatched = 0;
};

class Upstream {
  public:
    virtual ~Upstream() = default;
    // Never ends the attempt from within the call. Returns the number of the connection that carries it.
    virtual std::uint64_t start(const AttemptRequest& attempt_request) = 0;
    // Cancels the attempt. False: nothing of it had been written, so it did not run.
    virtual bool cancel(Handle attempt) = 0;
    // Whether the attempt is open and nothing of it has been written.
    virtual bool not_started(Handle attempt) const = 0;
    // Whether it waits for a socket that this process can't open, which is no failure of its target.
    virtual bool lacks_socket(Handle attempt) const { return static_cast<void>(attempt), false; }
    virtual void close_idle_connections(const std::string& target) = 0;
};

class Core {
  public:
    Core(const routing::Settings& settings, std::uint64_t seed, Clock& clock, TimerQueue& deadlines);

    void attach(Upstream& upstream) { upstream_ = &upstream; }
    // In which open requests are counted from now on.
    void set_memory_account(base::MemoryAccount& account) { memory_ = &account; }
    // The memory that the request takes until it is answered, with its response as far as that can be
    // foreseen.
    std::size_t memory_needed(const Request& request) const;
    // The attempt's response, with a body of `bytes`, has begun to arrive, and is counted by its receiver
    // from now on.
    void on_response_arriving(Handle attempt, std::size_t bytes);
    // `check` is called for each submitted request. If it returns a time to retry after, the request is
    // rejected at once, without the router.
    void set_admission_check(std::function<std::optional<Micros>(const Request&)> check) {
        admission_check_ = std::move(check);
    }
    // The maximum age of a copy that is acceptable for any request; 0: unlimited.
    void set_max_copy_age(std::function<Micros()> age) { max_copy_age_ = std::move(age); }
    // For requests that are sent by what is known now.
    void set_purge_knowledge(std::function<PurgeKnowledge()> knowledge) {
        purge_knowledge_ = std::move(knowledge);
    }
    // `callback` is called for each served attempt, with the source that was given for a fill.
    void on_served(
        std::function<void(const Request&, const std::string& source, routing::CacheStatus)> callback) {
        on_served_ = std::move(callback);
    }
    // `callback` is called for each response of a target, whatever its status: its process is running.
    void on_endpoint_response(std::function<void(const std::string& target)> callback) {
        on_endpoint_response_ = std::move(callback);
    }

    // The one response goes to `sink`. The server calls process_events() once it has submitted its requests.
    Handle submit(Request client_request, ResponseSink& sink, std::uint64_t cookie);
    // The client no longer waits: there is no response. If the request may have run, and must not run twice,
    // its id is answered with `failed` when it comes again.
    void cancel(Handle request);
    void on_attempt_finished(Handle attempt, AttemptResult result);
    void notify(routing::Event event);  // endpoint updates and purges
    void process_events();              // handles all queued events
    // To be called when the attempt is about to be written, with all queued events handled. An attempt that
    // is not allowed ends as withheld.
    WriteTerms terms_at_write(Handle attempt);

    std::size_t open_requests() const { return requests_.size(); }
    const Metrics& metrics() const { return metrics_; }
    // The process has to have exited by `at`. Requests that are still open then get deadline_exceeded at
    // `at`, so that no client loses its connection without a response. Requests submitted from now on have to
    // finish by `at` too; those that can't are rejected at once.
    void set_shutdown_deadline(Micros at);
    // The request gets a response by `at` at the latest; nullopt: by its own deadline.
    void set_response_deadline(Handle request, std::optional<Micros> at);
    // Pop caches identify a request by its client's id alone. Two open requests with one id would get each
    // other's responses, so servers reject the second.
    bool is_open(const std::string& id) const { return ids_.contains(id); }
    const routing::Settings& settings() const { return settings_; }

  private:
    struct OpenRequest {
        Request request;
        ResponseSink* sink = nullptr;
        std::uint64_t cookie = 0;
        std::string name;  // its id for the router
        Micros deadline = 0;
        std::optional<Micros> response_deadline;  // earlier than the deadline
        TimerQueue::Key deadline_timer;
        std::vector<Handle> open_attempts;
        int attempts = 0;
        bool may_have_run = false;
        Micros may_have_run_since = 0;  // when the first attempt that may have run was sent
        std::vector<std::uint64_t> connections;
        base::MemoryCharge memory;             // of the request
        base::MemoryCharge expected_response;  // until it arrives
    };
    struct OpenAttempt {
        Handle request;
        std::string name, target, source;
        int number = 0;
        Micros sent_at = 0;
        Micros stall_time_when_sent = 0;  // the clock's total_stall_time() when it was sent
        Micros max_age = 0;               // of a copy, as decided; 0: by the class
        Micros oldest_acceptable = 0;     // minimum origin date of a copy, since it was written; 0: any
        TimerQueue::Key timeout_timer;
    };

    void handle(const routing::Event& event);
    void execute(const routing::Action& action);
    void perform(const routing::Lookup& a);
    void perform(const routing::Forward& a);
    void perform(const routing::SetTimer& a);
    void perform(const routing::Reject& a);
    void perform(const routing::Fail& a);
    void perform(const routing::Cancel& a);
    void perform(const routing::CloseIdleConnections& a);
    void perform(const routing::LogMessage& a);
    void perform(const routing::WatchEndpoints&) {}  // the change log is always watched
    void perform(const routing::PollEndpoints&) {}
    void perform(const routing::SendHealthCheck&) {}  // neither is enabled here
    void perform(const routing::SendGossip&) {}
    void start_attempt(const routing::Forward& forward);
    PurgeKnowledge purge_knowledge() const;
    void charge_memory(OpenRequest& request) const;
    // The response to a request that must not reach the router; none: it may.
    std::optional<Response> immediate_response(OpenRequest& request);
    std::optional<Response> check_abandoned(OpenRequest& request);
    void remember_abandoned(const OpenRequest& request);
    enum class OpenAttempts { all, written };
    Micros first_attempt_at(const OpenRequest& request, OpenAttempts counted);
    void finish(Handle request, Response response);
    void on_deadline(Handle request);
    std::optional<OpenRequest> remove_request(Handle request);
    Micros idempotency_deadline(const OpenRequest& request);
    TimerQueue::Key schedule_deadline(Handle handle, const OpenRequest& request);
    void reschedule_deadline(Handle handle, OpenRequest& request);
    Handle parse_handle(std::string_view name) const;

    routing::Settings settings_;
    routing::Router router_;
    Clock& clock_;
    TimerQueue& deadlines_;
    base::MemoryAccount* memory_ = nullptr;
    ResponseSizeEstimate response_sizes_;
    Upstream* upstream_ = nullptr;
    SlotMap<OpenRequest> requests_;
    std::unordered_set<std::string> ids_;  // client ids of the open requests
    SlotMap<OpenAttempt> attempts_;
    std::function<void(const std::string&)> on_endpoint_response_;
    std::function<std::optional<Micros>(const Request&)> admission_check_;
    std::function<void(const Request&, const std::string&, routing::CacheStatus)> on_served_;
    std::function<Micros()> max_copy_age_;
    std::function<PurgeKnowledge()> purge_knowledge_;
    struct ImmediateResponse {
        Handle request;
        Response response;
    };
    // Of requests that never reach the router; sent in the next process_events().
    std::vector<ImmediateResponse> immediate_responses_;
    AbandonedRequests abandoned_;
    std::deque<routing::Event> events_;
    std::vector<routing::Action> actions_;
    bool processing_ = false;
    Metrics metrics_;
    Micros shutdown_deadline_ = 0;  // 0: none
    Micros reported_stall_ = 0;     // the part of the clock's total_stall_time() that the router knows of
};

}  // namespace sumackeel::core
