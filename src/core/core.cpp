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

constexpr Micros kDatedWithin = 2'000;  // `dated` and the age asked for are told in whole milliseconds
constexpr Micros kGuard = 4'000;        // the core's own last word comes this long before the client gives up

std::string name_of(Handle handle) {
    return std::to_string(handle.slot) + '.' + std::to_string(handle.generation);
}

bool proves_not_run(AttemptStatus verdict) {
    return verdict == AttemptStatus::overloaded || verdict == AttemptStatus::connect_failed ||
           verdict == AttemptStatus::not_sent || verdict == AttemptStatus::not_found;
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

Handle Core::named(std::string_view name) const {
    Handle handle;
    const char* end = name.data() + name.size();
    const auto slot = std::from_chars(name.data(), end, handle.slot);
    if (slot.ec != std::errc{} || slot.ptr == end || *slot.ptr != '.') return {};
    const auto generation = std::from_chars(slot.ptr + 1, end, handle.generation);
    return generation.ec == std::errc{} && generation.ptr == end ? handle : Handle{};
}

Handle Core::submit(Request ask, ResponseSink& sink, std::uint64_t cookie) {
    // Danger: counted from now, the time would grow by as much as the process stood still since it was read.
    const Micros now = clock_.now(), deadline = (ask.received_at > 0 ? ask.received_at : now) + ask.time_left;
    routing::RequestReceived arrival;
    arrival.class_index = ask.class_index;
    arrival.object = ask.object;
    arrival.time_left = deadline - now;
    // The module is to give up at once what can't end before the process does, while another proxy can still
    // answer it.
    if (shutdown_deadline_ > 0) arrival.shutdown_in = shutdown_deadline_ - now;
    arrival.size_kb = ask.size_kb;
    arrival.purge_group = ask.purge_group;
    arrival.part = ask.part;
    arrival.write = settings_.classes[ask.class_index].uncacheable;
    OpenRequest request;
    request.deadline = deadline;
    request.request = std::move(ask);
    request.sink = &sink;
    request.cookie = cookie;
    ids_.insert(request.request.id);
    const Handle handle = requests_.add(std::move(request));
    OpenRequest& taken = *requests_.find(handle);
    taken.name = arrival.id = name_of(handle);
    taken.guard = guard(handle, taken);
    if (const auto come_back = gate_ ? gate_(taken.request) : std::nullopt) {
        turned_away_.emplace_back(handle, *come_back);
        return handle;
    }
    events_.emplace_back(std::move(arrival));
    return handle;
}

// The core's own answer comes just before the client gives up, or at the last word where that is sooner.
base::TimerQueue::Key Core::guard(Handle handle, const OpenRequest& request) {
    Micros at = request.deadline - kGuard;
    if (shutdown_deadline_ > 0) at = std::min(at, shutdown_deadline_);
    if (request.response_deadline) at = std::min(at, *request.response_deadline);
    return deadlines_.schedule(at, [this, handle] { time_up(handle); });
}

void Core::renew_guard(Handle handle, OpenRequest& request) {
    deadlines_.cancel(request.guard);
    request.guard = guard(handle, request);
}

void Core::set_response_deadline(Handle handle, std::optional<Micros> at) {
    OpenRequest* request = requests_.find(handle);
    if (!request) return;
    request->response_deadline = at;
    renew_guard(handle, *request);
}

void Core::set_shutdown_deadline(Micros at) {
    shutdown_deadline_ = at;
    std::vector<Handle> later;
    requests_.for_each([&](Handle handle, const OpenRequest& request) {
        if (request.deadline - kGuard > at) later.push_back(handle);
    });
    for (const Handle handle : later) renew_guard(handle, *requests_.find(handle));
}

void Core::cancel(Handle handle) {
    const OpenRequest* request = requests_.find(handle);
    if (!request) return;
    events_.emplace_back(routing::ClientCancelled{request->name});
    forget(handle);
}

// Danger: what waits for a connection to come up would be written long after its request is over, for a
// client that has gone. The module lets an attempt go on where others share its fill; one that has not begun
// has no fill to share.
std::optional<Core::OpenRequest> Core::forget(Handle handle) {
    OpenRequest* found = requests_.find(handle);
    if (!found) return std::nullopt;
    OpenRequest request = std::move(*found);
    deadlines_.cancel(request.guard);
    ids_.erase(request.request.id);
    requests_.remove(handle);
    for (const Handle attempt : request.out) {
        if (!upstream_->not_started(attempt)) continue;
        upstream_->cancel(attempt);
        on_attempt_finished(attempt, AttemptResult{.status = AttemptStatus::not_sent});
    }
    return request;
}

// The module answers before this falls due; this is for the case that it does not.
void Core::time_up(Handle handle) {
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

void Core::finish(Handle handle, Response reply) {
    const std::optional<OpenRequest> request = forget(handle);
    if (!request) return;
    log::debug("answered req={} id={} how={} attempts={} left_us={}", request->name, request->request.id,
               static_cast<int>(reply.status), request->attempts, request->deadline - clock_.now());
    ++metrics_.responses[static_cast<std::size_t>(reply.status)];
    if (reply.status == ResponseStatus::served || reply.status == ResponseStatus::not_modified) {
        const Micros took = clock_.now() - (request->deadline - request->request.time_left);
        const auto place = std::bit_width(static_cast<std::uint64_t>(std::max<Micros>(0, took - 1)) / 1'000);
        ++metrics_.latency_histogram[std::min<std::size_t>(metrics_.latency_histogram.size() - 1,
                                                           static_cast<std::size_t>(place))];
    }
    request->sink->on_response(request->cookie, std::move(reply));
}

void Core::on_attempt_finished(Handle handle, AttemptResult ending) {
    OpenAttempt* attempt = attempts_.find(handle);
    if (!attempt) return;
    const Handle owner = attempt->request;
    const Micros sent = attempt->sent;
    OpenRequest* request = requests_.find(owner);
    // Danger: one that joined a fill begun before a purge could be handed the purged copy. A box is bound by
    // the age asked for; should one not be, what it sends is no answer and the request goes on.
    const bool too_old =
        ending.status == AttemptStatus::served && ending.cache_status == routing::CacheStatus::coalesced &&
        ending.origin_date_ms > 0 && ending.origin_date_ms * 1000 + kDatedWithin < attempt->oldest;
    if (too_old) {
        thread_local log::RateLimitedLogger line;
        line.warn("{} let a request join a fill of too old a copy", attempt->target);
        ending = AttemptResult{.status = AttemptStatus::not_found, .load = ending.load};
    }
    const bool served = ending.status == AttemptStatus::served;
    AttemptFinished outcome;
    outcome.id = attempt->name;
    outcome.attempt = attempt->number;
    outcome.endpoint = attempt->target;
    outcome.status = ending.status;
    outcome.elapsed = clock_.now() - attempt->sent;
    outcome.elapsed -= clock_.total_stall_time() - attempt->stalled_before;  // the server's time, not ours
    outcome.request_finished = served || !request;
    outcome.cache_status = ending.cache_status;
    outcome.time_to_first_byte = ending.time_to_first_byte;
    outcome.load = ending.load;
    deadlines_.cancel(attempt->limit);
    if (served && request && served_) served_(request->request, attempt->source, ending.cache_status);
    const bool spoke = served || ending.status == AttemptStatus::overloaded ||
                       ending.status == AttemptStatus::not_found || ending.status == AttemptStatus::error;
    if (spoke && answered_) answered_(attempt->target);
    attempts_.remove(handle);
    log::debug(
        "ended req={} n={} at={} verdict={} note={} took_us={} first_us={} dated_ms={} held={:.0f} "
        "link={:.2f}",
        outcome.id, outcome.attempt, outcome.endpoint, static_cast<int>(outcome.status),
        static_cast<int>(outcome.cache_status), outcome.elapsed, outcome.time_to_first_byte,
        ending.origin_date_ms, outcome.load.in_flight, outcome.load.ingress_utilization);
    events_.emplace_back(std::move(outcome));
    if (!request) return;
    std::erase(request->out, handle);
    if (!proves_not_run(ending.status)) {
        request->may_have_run = true;
        request->ran_since = request->ran_since > 0 ? std::min(request->ran_since, sent) : sent;
    }
    if (served) {
        finish(owner,
               Response{.status = ending.not_modified ? ResponseStatus::not_modified : ResponseStatus::served,
                        .body = std::move(ending.body),
                        .etag = std::move(ending.etag)});
    }
}

void Core::notify(routing::Event event) {
    events_.emplace_back(std::move(event));
}

void Core::process_events() {
    if (running_) return;
    running_ = true;
    for (const auto& [handle, come_back] : std::exchange(turned_away_, {}))
        finish(handle, Response{.status = ResponseStatus::rejected, .retry_after = come_back});
    while (!events_.empty()) {
        const routing::Event event = std::move(events_.front());
        events_.pop_front();
        handle(event);
    }
    running_ = false;
}

void Core::handle(const routing::Event& event) {
    actions_.clear();
    try {
        const Micros now = clock_.now();
        if (const Micros span =
                clock_.total_stall_time() - std::exchange(reported_stall_, clock_.total_stall_time());
            span > 0)
            router_.handle(now, routing::ProcessStalled{span}, actions_);
        router_.handle(now, event, actions_);
    } catch (const std::exception& fault) {
        // What it was about is answered by the core's own guard at its deadline.
        log::error("the module failed on an event: {}", fault.what());
    }
    std::vector<routing::Action> todo;
    todo.swap(actions_);
    for (const routing::Action& action : todo) carry_out(action);
    todo.swap(actions_);
}

void Core::carry_out(const routing::Action& action) {
    std::visit([this](const auto& a) { do_act(a); }, action);
}

void Core::do_act(const routing::Lookup& a) {
    routing::Forward serve;
    serve.id = a.id;
    serve.endpoint = serve.source = a.endpoint;
    serve.timeout = a.timeout;
    attempt(serve);
}

void Core::do_act(const routing::Forward& a) {
    attempt(a);
}

// NOLINTNEXTLINE(readability-function-size): not split yet
void Core::attempt(const routing::Forward& serve) {
    const Handle owner = named(serve.id);
    OpenRequest* request = requests_.find(owner);
    const Micros now = clock_.now();
    OpenAttempt attempt;
    attempt.request = owner;
    attempt.name = serve.id;
    attempt.target = serve.endpoint;
    attempt.source = serve.source;
    attempt.sent = now;
    attempt.stalled_before = clock_.total_stall_time();
    if (serve.max_age > 0) attempt.oldest = now - serve.max_age;
    if (!request) {  // it ended while the module decided
        AttemptFinished outcome;
        outcome.id = serve.id;
        outcome.endpoint = serve.endpoint;
        outcome.status = AttemptStatus::not_sent;
        outcome.request_finished = true;
        events_.emplace_back(std::move(outcome));
        return;
    }
    attempt.number = request->attempts++;
    const Micros left = request->deadline - now;
    const Micros limit = serve.timeout == 0 ? left : std::min(serve.timeout, left);
    const Handle handle = attempts_.add(std::move(attempt));
    // Danger: what must not run twice goes out again only if nothing may have run. The module keeps to that;
    // this is the last look before the wire.
    const bool once =
        settings_.classes[request->request.class_index].retry_safety == RetrySafety::not_idempotent;
    const Micros latest = begin_by(*request);
    const bool forbidden = (once && (request->may_have_run || !request->out.empty())) ||
                           (!settings_.hedging_allowed && !request->out.empty()) ||
                           (latest > 0 && now >= latest);
    if (forbidden)
        log::error("attempt {} of {} held back: it may run twice", request->attempts, request->request.id);
    if (forbidden || limit <= 0 || request->attempts > settings_.max_attempts)
        return on_attempt_finished(
            handle, AttemptResult{.status = limit <= 0 ? AttemptStatus::timed_out : AttemptStatus::not_sent});
    request->out.push_back(handle);
    ++metrics_.attempts;
    if (request->attempts == 1) {
        metrics_.dispatch_time_us +=
            static_cast<std::uint64_t>(std::max<Micros>(0, request->request.time_left - left));
        ++metrics_.dispatched;
    }
    attempts_.find(handle)->limit = deadlines_.schedule(now + limit, [this, handle] {
        const bool is_short = upstream_->lacks_socket(handle);
        const bool written = upstream_->cancel(handle);
        on_attempt_finished(handle, AttemptResult{.status = written    ? AttemptStatus::timed_out
                                                            : is_short ? AttemptStatus::not_sent
                                                                       : AttemptStatus::connect_failed});
        process_events();
    });
    AttemptRequest sending;
    sending.attempt = handle;
    sending.target = serve.endpoint;
    sending.source = serve.source == serve.endpoint ? std::string{} : serve.source;
    sending.deadline = now + limit;
    sending.max_age = serve.max_age;
    if (const Micros most = oldest_ ? oldest_() : 0; most > 0) {
        const Micros usual = serve.max_age > 0
                                 ? serve.max_age
                                 : settings_.classes[request->request.class_index].freshness_lifetime;
        sending.max_age = usual > 0 ? std::min(usual, most) : most;
    }
    sending.cache_priority = serve.cache_priority;
    sending.coalesce = serve.coalesce;
    sending.source_cached_only = serve.source_cached_only;
    sending.parent_bypasses_cache = serve.parent_bypasses_cache;
    sending.revalidate = serve.revalidate;
    sending.start_deadline = latest;
    sending.request = &request->request;
    sending.avoid_connections = request->channels;
    request->channels.push_back(upstream_->start(sending));
    log::debug(
        "sent req={} n={} cls={} kb={:.0f} object={}/{} at={} via={} join={} holds={} rank={} age_us={} "
        "group={} limit_us={}",
        serve.id, request->attempts - 1, request->request.class_name, request->request.size_kb,
        request->request.object, request->request.part, sending.target, sending.source, sending.coalesce,
        sending.source_cached_only, sending.cache_priority, sending.max_age, request->request.purge_group,
        limit);
}

// Repeats of a keyed request are dropped for as long as the class says, from the first that may have run on.
Micros Core::begin_by(const OpenRequest& request) {
    const routing::ClassSettings& of = settings_.classes[request.request.class_index];
    if (of.retry_safety != RetrySafety::with_idempotency_key) return 0;
    Micros since = request.ran_since;
    for (const Handle out : request.out) {
        const OpenAttempt* attempt = attempts_.find(out);
        if (attempt) since = since > 0 ? std::min(since, attempt->sent) : attempt->sent;
    }
    return since > 0 ? since + of.idempotency_window : 0;
}

void Core::do_act(const routing::SetTimer& a) {
    deadlines_.schedule(a.at, [this, token = a.token] {
        events_.emplace_back(routing::TimerExpired{token});
        process_events();
    });
}

void Core::do_act(const routing::Reject& a) {
    finish(named(a.id), Response{.status = ResponseStatus::rejected, .retry_after = a.retry_after});
}

void Core::do_act(const routing::Fail& a) {
    const Handle handle = named(a.id);
    const OpenRequest* request = requests_.find(handle);
    const bool late = request && clock_.now() + 50'000 >= request->deadline;
    finish(handle, Response{.status = late ? ResponseStatus::deadline_exceeded : ResponseStatus::failed});
}

void Core::do_act(const routing::Cancel& a) {
    // The request may be over already; its attempts are found by name.
    const Handle owner = named(a.id);
    std::vector<Handle> hit;
    attempts_.for_each([&](Handle handle, const OpenAttempt& attempt) {
        if (attempt.request == owner && attempt.number == a.attempt) hit.push_back(handle);
    });
    for (const Handle handle : hit) {
        const bool written = upstream_->cancel(handle);
        on_attempt_finished(
            handle, AttemptResult{.status = written ? AttemptStatus::cancelled : AttemptStatus::not_sent});
    }
}

void Core::do_act(const routing::CloseIdleConnections& a) {
    upstream_->close_idle_connections(a.endpoint);
}

void Core::do_act(const routing::LogMessage& a) {
    log::info("module: {}", a.text);
}

}  // namespace sumackeel::core
