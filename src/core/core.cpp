#include "core/core.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <bit>
#include <charconv>
#include <exception>

#include "base/log.h"

namespace sumackeel::core {

using routing::AttemptFinished;
using routing::AttemptStatus;
using routing::RetrySafety;

namespace {

// `dated` and the requested age have a resolution of 1 ms on the wire.
constexpr Micros kOriginDateTolerance = 2'000;
// The core responds by itself this long before the client's deadline.
constexpr Micros kResponseMargin = 4'000;
// A client that comes again with the id of a request that it left does so within seconds.
constexpr Micros kAbandonedRetention = 30 * base::kSecond;

std::string format_handle(Handle handle) {
    return std::to_string(handle.slot) + '.' + std::to_string(handle.generation);
}

// The maximum age of a copy under a further limit; 0: none. `max_age` 0: the class's own applies.
Micros limited_age(Micros max_age, Micros class_max_age, Micros limit) {
    if (limit == 0) return max_age;
    const Micros requested = max_age > 0 ? max_age : class_max_age;
    return requested > 0 ? std::min(requested, limit) : limit;
}

}  // namespace

Core::Core(const routing::Settings& settings, std::uint64_t seed, Clock& clock, TimerQueue& deadlines)
    : settings_(settings), router_(settings, seed), clock_(clock), deadlines_(deadlines) {
    log::debug("core: settings zone={} regions={} proxies={} pace={:.0f} parents={} origin={}",
               settings_.own_zone, fmt::join(settings_.region_by_zone, ","),
               fmt::join(settings_.instances_by_zone, ","), settings_.transfer_rate_kb_per_s,
               settings_.parent_kind, settings_.origin_kind);
    for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
        const routing::ClassSettings& c = settings_.classes[i];
        log::debug("core: class place={} latency_objective_us={} stretch={:.2f} deadline_us={}", i,
                   c.latency_objective, c.latency_objective_stretch, c.deadline);
    }
}

Handle Core::parse_handle(std::string_view name) const {
    Handle handle;
    const char* end = name.data() + name.size();
    const auto slot = std::from_chars(name.data(), end, handle.slot);
    if (slot.ec != std::errc{} || slot.ptr == end || *slot.ptr != '.') return {};
    const auto generation = std::from_chars(slot.ptr + 1, end, handle.generation);
    return generation.ec == std::errc{} && generation.ptr == end ? handle : Handle{};
}

Handle Core::submit(Request client_request, ResponseSink& sink, std::uint64_t cookie) {
    // Counted from the time of receipt: a deadline counted from now would be too late by any stall of the
    // process since then.
    const Micros now = clock_.now(),
                 deadline = (client_request.received_at > 0 ? client_request.received_at : now) +
                            client_request.time_left;
    routing::RequestReceived received;
    received.class_index = client_request.class_index;
    received.object = client_request.object;
    received.time_left = deadline - now;
    // The router rejects at once what can't finish before the process exits, while another proxy can still
    // answer it.
    if (shutdown_deadline_ > 0) received.shutdown_in = shutdown_deadline_ - now;
    received.size_kb = client_request.size_kb;
    received.purge_group = client_request.purge_group;
    received.part = client_request.part;
    received.write = settings_.classes[client_request.class_index].uncacheable;
    OpenRequest request;
    request.deadline = deadline;
    request.request = std::move(client_request);
    request.sink = &sink;
    request.cookie = cookie;
    charge_memory(request);
    ids_.insert(request.request.id);
    const Handle handle = requests_.add(std::move(request));
    OpenRequest& open_request = *requests_.find(handle);
    open_request.name = received.id = format_handle(handle);
    open_request.deadline_timer = schedule_deadline(handle, open_request);
    if (auto response = immediate_response(open_request)) {
        immediate_responses_.push_back({handle, std::move(*response)});
        return handle;
    }
    events_.emplace_back(std::move(received));
    return handle;
}

std::optional<Response> Core::immediate_response(OpenRequest& request) {
    const auto retry_after = admission_check_ ? admission_check_(request.request) : std::nullopt;
    if (retry_after) return Response{.status = ResponseStatus::rejected, .retry_after = *retry_after};
    return check_abandoned(request);
}

// With an idempotency key the caches drop a repetition, wherever it arrives, for one window; attempts that
// begin later are withheld. Where only some caches would drop it, it is not repeated at all.
std::optional<Response> Core::check_abandoned(OpenRequest& request) {
    const routing::ClassSettings& class_settings = settings_.classes[request.request.class_index];
    if (class_settings.retry_safety == RetrySafety::idempotent) return std::nullopt;
    const Micros now = clock_.now();
    if (!abandoned_.has_room(now)) return Response{.status = ResponseStatus::rejected};
    const auto earlier = abandoned_.find(request.request.id, now);
    if (!earlier) return std::nullopt;
    const bool all_drop_repetitions = class_settings.retry_safety == RetrySafety::with_idempotency_key &&
                                      class_settings.idempotency_scope == routing::IdempotencyScope::all &&
                                      now < earlier->may_have_run_since + class_settings.idempotency_window;
    if (!all_drop_repetitions) return Response{.status = ResponseStatus::failed};
    request.may_have_run = true;
    request.may_have_run_since = earlier->may_have_run_since;
    return std::nullopt;
}

// When the first attempt that may have run, or may still run, was sent; 0: there is none.
Micros Core::first_attempt_at(const OpenRequest& request, OpenAttempts counted) {
    Micros first = request.may_have_run_since;
    for (const Handle handle : request.open_attempts) {
        const OpenAttempt* attempt = attempts_.find(handle);
        if (!attempt) continue;
        if (counted == OpenAttempts::written && upstream_->not_started(handle)) continue;
        first = first > 0 ? std::min(first, attempt->sent_at) : attempt->sent_at;
    }
    return first;
}

void Core::remember_abandoned(const OpenRequest& request) {
    const auto retry_safety = settings_.classes[request.request.class_index].retry_safety;
    if (retry_safety == RetrySafety::idempotent) return;
    const Micros since = first_attempt_at(request, OpenAttempts::written);
    if (since > 0) abandoned_.add(request.request.id, since, clock_.now(), kAbandonedRetention);
}

// Schedules the core's own response: just before the client's deadline, or at the shutdown or response
// deadline if that is earlier.
base::TimerQueue::Key Core::schedule_deadline(Handle handle, const OpenRequest& request) {
    Micros at = request.deadline - kResponseMargin;
    if (shutdown_deadline_ > 0) at = std::min(at, shutdown_deadline_);
    if (request.response_deadline) at = std::min(at, *request.response_deadline);
    return deadlines_.schedule(at, [this, handle] { on_deadline(handle); });
}

void Core::reschedule_deadline(Handle handle, OpenRequest& request) {
    deadlines_.cancel(request.deadline_timer);
    request.deadline_timer = schedule_deadline(handle, request);
}

void Core::set_response_deadline(Handle handle, std::optional<Micros> at) {
    OpenRequest* request = requests_.find(handle);
    if (!request) return;
    request->response_deadline = at;
    reschedule_deadline(handle, *request);
}

void Core::set_shutdown_deadline(Micros at) {
    shutdown_deadline_ = at;
    std::vector<Handle> affected;
    requests_.for_each([&](Handle handle, const OpenRequest& request) {
        if (request.deadline - kResponseMargin > at) affected.push_back(handle);
    });
    for (const Handle handle : affected) reschedule_deadline(handle, *requests_.find(handle));
}

void Core::cancel(Handle handle) {
    const OpenRequest* request = requests_.find(handle);
    if (!request) return;
    remember_abandoned(*request);
    events_.emplace_back(routing::ClientCancelled{request->name});
    remove_request(handle);
}

// Attempts that are not written yet are cancelled: waiting for a connection, they would be sent long after
// the request has ended, for a client that has left. The router lets an attempt continue if other requests
// share its fill; an attempt that was not written has no fill to share.
std::optional<Core::OpenRequest> Core::remove_request(Handle handle) {
    OpenRequest* found = requests_.find(handle);
    if (!found) return std::nullopt;
    OpenRequest request = std::move(*found);
    deadlines_.cancel(request.deadline_timer);
    ids_.erase(request.request.id);
    requests_.remove(handle);
    for (const Handle attempt : request.open_attempts) {
        if (!upstream_->not_started(attempt)) continue;
        upstream_->cancel(attempt);
        on_attempt_finished(attempt, AttemptResult{.status = AttemptStatus::not_sent});
    }
    return request;
}

// The router normally decides before this timer expires; this covers the case that it does not.
void Core::on_deadline(Handle handle) {
    OpenRequest* request = requests_.find(handle);
    if (!request) return;
    if (!request->response_deadline) {
        thread_local log::RateLimitedLogger line;
        line.warn("request {} had no answer from the module at its deadline", request->request.id);
    }
    events_.emplace_back(routing::ClientCancelled{request->name});
    finish(handle, Response{.status = ResponseStatus::deadline_exceeded});
    process_events();
}

void Core::finish(Handle handle, Response response) {
    const std::optional<OpenRequest> request = remove_request(handle);
    if (!request) return;
    log::debug("answered req={} id={} how={} attempts={} left_us={}", request->name, request->request.id,
               static_cast<int>(response.status), request->attempts, request->deadline - clock_.now());
    ++metrics_.responses[static_cast<std::size_t>(response.status)];
    if (response.status == ResponseStatus::served || response.status == ResponseStatus::not_modified) {
        const Micros latency = clock_.now() - (request->deadline - request->request.time_left);
        const auto bucket =
            std::bit_width(static_cast<std::uint64_t>(std::max<Micros>(0, latency - 1)) / 1'000);
        ++metrics_.latency_histogram[std::min<std::size_t>(metrics_.latency_histogram.size() - 1,
                                                           static_cast<std::size_t>(bucket))];
    }
    request->sink->on_response(request->cookie, std::move(response));
}

void Core::on_attempt_finished(Handle handle, AttemptResult result) {
    OpenAttempt* attempt = attempts_.find(handle);
    if (!attempt) return;
    const Handle request_handle = attempt->request;
    const Micros sent_at = attempt->sent_at;
    OpenRequest* request = requests_.find(request_handle);
    // A request that joined a fill begun before a purge could get the purged copy. Endpoints have to respect
    // the requested age; a response that does not is discarded, and the request continues.
    const bool too_old = result.status == AttemptStatus::served &&
                         result.cache_status == routing::CacheStatus::coalesced &&
                         result.origin_date_ms > 0 &&
                         result.origin_date_ms * 1000 + kOriginDateTolerance < attempt->oldest_acceptable;
    if (too_old) {
        thread_local log::RateLimitedLogger line;
        line.warn("{} let a request join a fill of too old a copy", attempt->target);
        result = AttemptResult{.status = AttemptStatus::not_found, .load = result.load};
    }
    const bool served = result.status == AttemptStatus::served;
    AttemptFinished finished;
    finished.id = attempt->name;
    finished.attempt = attempt->number;
    finished.endpoint = attempt->target;
    finished.status = result.status;
    finished.elapsed = clock_.now() - attempt->sent_at;
    finished.elapsed -=
        clock_.total_stall_time() - attempt->stall_time_when_sent;  // counts the server's time only
    finished.request_finished = served || !request;
    finished.cache_status = result.cache_status;
    finished.time_to_first_byte = result.time_to_first_byte;
    finished.load = result.load;
    ++metrics_.attempts_ended[static_cast<std::size_t>(result.status)];
    deadlines_.cancel(attempt->timeout_timer);
    if (served && request && on_served_) on_served_(request->request, attempt->source, result.cache_status);
    const bool responded = served || result.status == AttemptStatus::overloaded ||
                           result.status == AttemptStatus::not_found || result.status == AttemptStatus::error;
    if (responded && on_endpoint_response_) on_endpoint_response_(attempt->target);
    attempts_.remove(handle);
    log::debug(
        "ended req={} n={} at={} verdict={} note={} took_us={} first_us={} dated_ms={} held={:.0f} "
        "link={:.2f}",
        finished.id, finished.attempt, finished.endpoint, static_cast<int>(finished.status),
        static_cast<int>(finished.cache_status), finished.elapsed, finished.time_to_first_byte,
        result.origin_date_ms, finished.load.in_flight, finished.load.ingress_utilization);
    events_.emplace_back(std::move(finished));
    if (!request) return;
    std::erase(request->open_attempts, handle);
    if (!routing::proves_not_run(result.status)) {
        request->may_have_run = true;
        request->may_have_run_since =
            request->may_have_run_since > 0 ? std::min(request->may_have_run_since, sent_at) : sent_at;
    }
    if (served) {
        finish(request_handle,
               Response{.status = result.not_modified ? ResponseStatus::not_modified : ResponseStatus::served,
                        .body = std::move(result.body),
                        .etag = std::move(result.etag)});
    }
}

void Core::notify(routing::Event event) {
    events_.emplace_back(std::move(event));
}

void Core::process_events() {
    if (processing_) return;
    processing_ = true;
    for (ImmediateResponse& immediate : std::exchange(immediate_responses_, {}))
        finish(immediate.request, std::move(immediate.response));
    while (!events_.empty()) {
        const routing::Event event = std::move(events_.front());
        events_.pop_front();
        handle(event);
    }
    processing_ = false;
}

void Core::handle(const routing::Event& event) {
    actions_.clear();
    try {
        const Micros now = clock_.now();
        if (const Micros stall =
                clock_.total_stall_time() - std::exchange(reported_stall_, clock_.total_stall_time());
            stall > 0)
            router_.handle(now, routing::ProcessStalled{stall}, actions_);
        router_.handle(now, event, actions_);
    } catch (const std::exception& error) {
        // The deadline timer responds to the request concerned.
        log::error("core: event handling failed error={}", error.what());
    }
    std::vector<routing::Action> actions;
    actions.swap(actions_);
    for (const routing::Action& action : actions) execute(action);
    actions.swap(actions_);
}

void Core::execute(const routing::Action& action) {
    std::visit([this](const auto& a) { perform(a); }, action);
}

void Core::perform(const routing::Lookup& a) {
    routing::Forward forward;
    forward.id = a.id;
    forward.endpoint = forward.source = a.endpoint;
    forward.timeout = a.timeout;
    start_attempt(forward);
}

void Core::perform(const routing::Forward& a) {
    start_attempt(a);
}

// NOLINTNEXTLINE(readability-function-size): not split yet
void Core::start_attempt(const routing::Forward& forward) {
    const Handle request_handle = parse_handle(forward.id);
    OpenRequest* request = requests_.find(request_handle);
    const Micros now = clock_.now();
    OpenAttempt attempt;
    attempt.request = request_handle;
    attempt.name = forward.id;
    attempt.target = forward.endpoint;
    attempt.source = forward.source;
    attempt.sent_at = now;
    attempt.stall_time_when_sent = clock_.total_stall_time();
    attempt.max_age = forward.max_age;
    const bool purges_unconfirmed = now >= purge_knowledge().valid_until;
    if (!request) {  // it ended while the router decided
        AttemptFinished finished;
        finished.id = forward.id;
        finished.endpoint = forward.endpoint;
        finished.status = AttemptStatus::not_sent;
        finished.request_finished = true;
        events_.emplace_back(std::move(finished));
        return;
    }
    attempt.number = request->attempts++;
    const Micros time_left = request->deadline - now;
    const Micros timeout = forward.timeout == 0 ? time_left : std::min(forward.timeout, time_left);
    const Handle handle = attempts_.add(std::move(attempt));
    // A request that must not run twice is sent again only if no earlier attempt can have run. The router
    // ensures that; this is the final check before sending.
    const bool must_not_repeat =
        settings_.classes[request->request.class_index].retry_safety == RetrySafety::not_idempotent;
    const Micros must_start_by = idempotency_deadline(*request);
    const bool forbidden = (must_not_repeat && (request->may_have_run || !request->open_attempts.empty())) ||
                           (!settings_.hedging_allowed && !request->open_attempts.empty()) ||
                           (must_start_by > 0 && now >= must_start_by);
    if (forbidden)
        log::error("core: attempt withheld, it could run twice n={} id={}", request->attempts,
                   request->request.id);
    if (forbidden || timeout <= 0 || request->attempts > settings_.max_attempts)
        return on_attempt_finished(handle, AttemptResult{.status = timeout <= 0 ? AttemptStatus::timed_out
                                                                                : AttemptStatus::not_sent});
    request->open_attempts.push_back(handle);
    ++metrics_.attempts;
    if (purges_unconfirmed) ++metrics_.attempts_purges_unconfirmed;
    if (request->attempts == 1) {
        metrics_.dispatch_time_us +=
            static_cast<std::uint64_t>(std::max<Micros>(0, request->request.time_left - time_left));
        ++metrics_.dispatched;
    }
    attempts_.find(handle)->timeout_timer = deadlines_.schedule(now + timeout, [this, handle] {
        const bool lacks_socket = upstream_->lacks_socket(handle);
        const bool written = upstream_->cancel(handle);
        on_attempt_finished(handle, AttemptResult{.status = written        ? AttemptStatus::timed_out
                                                            : lacks_socket ? AttemptStatus::not_sent
                                                                           : AttemptStatus::connect_failed});
        process_events();
    });
    AttemptRequest attempt_request;
    attempt_request.attempt = handle;
    attempt_request.target = forward.endpoint;
    attempt_request.source = forward.source == forward.endpoint ? std::string{} : forward.source;
    attempt_request.deadline = now + timeout;
    attempt_request.max_age = forward.max_age;
    attempt_request.cache_priority = forward.cache_priority;
    attempt_request.coalesce = forward.coalesce;
    attempt_request.source_cached_only = forward.source_cached_only;
    attempt_request.parent_bypasses_cache = forward.parent_bypasses_cache;
    attempt_request.revalidate = forward.revalidate;
    attempt_request.start_deadline = must_start_by;
    attempt_request.request = &request->request;
    attempt_request.avoid_connections = request->connections;
    request->connections.push_back(upstream_->start(attempt_request));
    log::debug(
        "sent req={} n={} cls={} kb={:.0f} object={}/{} at={} via={} join={} holds={} rank={} age_us={} "
        "group={} limit_us={}",
        forward.id, request->attempts - 1, request->request.class_name, request->request.size_kb,
        request->request.object, request->request.part, attempt_request.target, attempt_request.source,
        attempt_request.coalesce, attempt_request.source_cached_only, attempt_request.cache_priority,
        attempt_request.max_age, request->request.purge_group, timeout);
}

PurgeKnowledge Core::purge_knowledge() const {
    return purge_knowledge_ ? purge_knowledge_() : PurgeKnowledge{};
}

// The limits of the decision still hold, beside those that came while the attempt waited.
WriteTerms Core::terms_at_write(Handle handle) {
    OpenAttempt* attempt = attempts_.find(handle);
    const OpenRequest* request = attempt ? requests_.find(attempt->request) : nullptr;
    if (!request) return {};
    const bool has_source = !attempt->source.empty() && attempt->source != attempt->target;
    if (!router_.can_receive(attempt->target) || (has_source && !router_.can_receive(attempt->source)))
        return {};
    const Micros now = clock_.now();
    const PurgeKnowledge knowledge = purge_knowledge();
    const Micros class_max_age = settings_.classes[request->request.class_index].freshness_lifetime;
    WriteTerms terms{.allowed = true, .max_age = attempt->max_age, .body = request->request.body};
    const auto limit_to = [&](Micros limit) {
        terms.max_age = limited_age(terms.max_age, class_max_age, limit);
    };
    limit_to(router_.purge_age_limit(now, request->request.object, request->request.purge_group));
    if (now >= knowledge.valid_until) limit_to(knowledge.max_copy_age_afterwards);
    if (terms.max_age > 0) attempt->oldest_acceptable = now - terms.max_age;
    limit_to(max_copy_age_ ? max_copy_age_() : 0);
    return terms;
}

// When the caches' deduplication of a request with an idempotency key ends: one idempotency window of its
// class after the first attempt that may have run; 0: no limit.
Micros Core::idempotency_deadline(const OpenRequest& request) {
    const routing::ClassSettings& class_settings = settings_.classes[request.request.class_index];
    if (class_settings.retry_safety != RetrySafety::with_idempotency_key) return 0;
    const Micros since = first_attempt_at(request, OpenAttempts::all);
    return since > 0 ? since + class_settings.idempotency_window : 0;
}

void Core::perform(const routing::SetTimer& a) {
    deadlines_.schedule(a.at, [this, token = a.token] {
        events_.emplace_back(routing::TimerExpired{token});
        process_events();
    });
}

void Core::perform(const routing::Reject& a) {
    finish(parse_handle(a.id), Response{.status = ResponseStatus::rejected, .retry_after = a.retry_after});
}

void Core::perform(const routing::Fail& a) {
    const Handle handle = parse_handle(a.id);
    const OpenRequest* request = requests_.find(handle);
    const bool late = request && clock_.now() + 50'000 >= request->deadline;
    finish(handle, Response{.status = late ? ResponseStatus::deadline_exceeded : ResponseStatus::failed});
}

void Core::perform(const routing::Cancel& a) {
    // The request may have ended already, so its attempts are looked up by the id of the request.
    const Handle request_handle = parse_handle(a.id);
    std::vector<Handle> matching;
    attempts_.for_each([&](Handle handle, const OpenAttempt& attempt) {
        if (attempt.request == request_handle && attempt.number == a.attempt) matching.push_back(handle);
    });
    for (const Handle handle : matching) {
        const bool written = upstream_->cancel(handle);
        on_attempt_finished(
            handle, AttemptResult{.status = written ? AttemptStatus::cancelled : AttemptStatus::not_sent});
    }
}

void Core::perform(const routing::CloseIdleConnections& a) {
    upstream_->close_idle_connections(a.endpoint);
}

void Core::perform(const routing::LogMessage& a) {
    log::info("module: {}", a.text);
}

}  // namespace sumackeel::core
