#include "core/core.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <bit>
#include <charconv>
#include <exception>

#include "base/log.h"

namespace sumackeel::core {

using nettlethread::Outcome;
using nettlethread::Semantics;
using nettlethread::Verdict;

namespace {

constexpr Micros kDatedWithin = 2'000;  // `dated` and the age asked for are told in whole milliseconds
constexpr Micros kGuard = 4'000;        // the core's own last word comes this long before the client gives up

std::string name_of(Handle handle) {
    return std::to_string(handle.slot) + '.' + std::to_string(handle.generation);
}

bool proves_not_run(Verdict verdict) {
    return verdict == Verdict::full || verdict == Verdict::not_connected || verdict == Verdict::never_sent ||
           verdict == Verdict::missing;
}

}  // namespace

Core::Core(const nettlethread::Settings& settings, std::uint64_t seed, Clock& clock, Deadlines& deadlines)
    : settings_(settings), router_(settings, seed), clock_(clock), deadlines_(deadlines) {
    log::debug("settings zone={} hubs={} proxies={} pace={:.0f} parents={} origin={}", settings_.my_zone,
               fmt::join(settings_.zone_hub, ","), fmt::join(settings_.zone_instances, ","),
               settings_.pace_kb_per_s, settings_.parent_kind, settings_.origin_kind);
    for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
        const nettlethread::ClassSettings& c = settings_.classes[i];
        log::debug("class place={} aim_us={} stretch={:.2f} give_up_us={}", i, c.aim, c.aim_stretch,
                   c.give_up);
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

Handle Core::take(Ask ask, Asker& asker, std::uint64_t cookie) {
    // Danger: counted from now, the time would grow by as much as the process stood still since it was read.
    const Micros now = clock_.now(), deadline = (ask.came > 0 ? ask.came : now) + ask.left;
    nettlethread::Arrival arrival;
    arrival.service = ask.service;
    arrival.object = ask.object;
    arrival.grace = deadline - now;
    // The module is to give up at once what can't end before the process does, while another proxy can still
    // answer it.
    if (last_word_ > 0) arrival.ends_in = last_word_ - now;
    arrival.size_kb = ask.size_kb;
    arrival.group = ask.group;
    arrival.part = ask.part;
    arrival.write = settings_.classes[ask.service].uncached;
    Request request;
    request.deadline = deadline;
    request.ask = std::move(ask);
    request.asker = &asker;
    request.cookie = cookie;
    ids_.insert(request.ask.id);
    const Handle handle = requests_.add(std::move(request));
    Request& taken = *requests_.find(handle);
    taken.name = arrival.id = name_of(handle);
    taken.guard = guard(handle, taken);
    if (const auto come_back = gate_ ? gate_(taken.ask) : std::nullopt) {
        turned_away_.emplace_back(handle, *come_back);
        return handle;
    }
    events_.push_back(std::move(arrival));
    return handle;
}

// The core's own answer comes just before the client gives up, or at the last word where that is sooner.
base::Deadlines::Key Core::guard(Handle handle, const Request& request) {
    Micros at = request.deadline - kGuard;
    if (last_word_ > 0) at = std::min(at, last_word_);
    if (request.answer_by) at = std::min(at, *request.answer_by);
    return deadlines_.set(at, [this, handle] { time_up(handle); });
}

void Core::renew_guard(Handle handle, Request& request) {
    deadlines_.drop(request.guard);
    request.guard = guard(handle, request);
}

void Core::answer_by(Handle handle, std::optional<Micros> at) {
    Request* request = requests_.find(handle);
    if (!request) return;
    request->answer_by = at;
    renew_guard(handle, *request);
}

void Core::last_word_by(Micros at) {
    last_word_ = at;
    std::vector<Handle> later;
    requests_.each([&](Handle handle, const Request& request) {
        if (request.deadline - kGuard > at) later.push_back(handle);
    });
    for (const Handle handle : later) renew_guard(handle, *requests_.find(handle));
}

void Core::leave(Handle handle) {
    const Request* request = requests_.find(handle);
    if (!request) return;
    events_.push_back(nettlethread::ClientLeft{request->name});
    forget(handle);
}

// Danger: what waits for a connection to come up would be written long after its request is over, for a
// client that has gone. The module lets an attempt go on where others share its fill; one that has not begun
// has no fill to share.
std::optional<Core::Request> Core::forget(Handle handle) {
    Request* found = requests_.find(handle);
    if (!found) return std::nullopt;
    Request request = std::move(*found);
    deadlines_.drop(request.guard);
    ids_.erase(request.ask.id);
    requests_.remove(handle);
    for (const Handle attempt : request.out) {
        if (!upstream_->unbegun(attempt)) continue;
        upstream_->stop(attempt);
        ended(attempt, Ending{.verdict = Verdict::never_sent});
    }
    return request;
}

// The module answers before this falls due; this is for the case that it does not.
void Core::time_up(Handle handle) {
    Request* request = requests_.find(handle);
    if (!request) return;
    if (!request->answer_by) {
        thread_local log::Sparing line;
        line.warn("request {} had no answer from the module at its deadline", request->ask.id);
    }
    events_.push_back(nettlethread::ClientLeft{request->name});
    finish(handle, Reply{.how = Answered::out_of_time});
    run();
}

void Core::finish(Handle handle, Reply reply) {
    const std::optional<Request> request = forget(handle);
    if (!request) return;
    log::debug("answered req={} id={} how={} attempts={} left_us={}", request->name, request->ask.id,
               static_cast<int>(reply.how), request->attempts, request->deadline - clock_.now());
    ++figures_.answered[static_cast<std::size_t>(reply.how)];
    if (reply.how == Answered::served || reply.how == Answered::same) {
        const Micros took = clock_.now() - (request->deadline - request->ask.left);
        const auto place = std::bit_width(static_cast<std::uint64_t>(std::max<Micros>(0, took - 1)) / 1'000);
        ++figures_.took[std::min<std::size_t>(figures_.took.size() - 1, static_cast<std::size_t>(place))];
    }
    request->asker->answer(request->cookie, std::move(reply));
}

void Core::ended(Handle handle, Ending ending) {
    Attempt* attempt = attempts_.find(handle);
    if (!attempt) return;
    const Handle owner = attempt->request;
    const Micros sent = attempt->sent;
    Request* request = requests_.find(owner);
    // Danger: one that joined a fill begun before a purge could be handed the purged copy. A box is bound by
    // the age asked for; should one not be, what it sends is no answer and the request goes on.
    const bool too_old = ending.verdict == Verdict::served && ending.note == nettlethread::Note::joined &&
                         ending.dated_ms > 0 && ending.dated_ms * 1000 + kDatedWithin < attempt->oldest;
    if (too_old) {
        thread_local log::Sparing line;
        line.warn("{} let a request join a fill of too old a copy", attempt->target);
        ending = Ending{.verdict = Verdict::missing, .load = ending.load};
    }
    const bool served = ending.verdict == Verdict::served;
    Outcome outcome;
    outcome.id = attempt->name;
    outcome.attempt = attempt->number;
    outcome.cache = attempt->target;
    outcome.verdict = ending.verdict;
    outcome.took = clock_.now() - attempt->sent;
    outcome.took -= clock_.stalled() - attempt->stalled_before;  // the server's time, not ours
    outcome.ended = served || !request;
    outcome.note = ending.note;
    outcome.first_byte = ending.first_byte;
    outcome.load = ending.load;
    deadlines_.drop(attempt->limit);
    if (served && request && served_) served_(request->ask, attempt->source, ending.note);
    const bool spoke = served || ending.verdict == Verdict::full || ending.verdict == Verdict::missing ||
                       ending.verdict == Verdict::error;
    if (spoke && answered_) answered_(attempt->target);
    attempts_.remove(handle);
    log::debug(
        "ended req={} n={} at={} verdict={} note={} took_us={} first_us={} dated_ms={} held={:.0f} "
        "link={:.2f}",
        outcome.id, outcome.attempt, outcome.cache, static_cast<int>(outcome.verdict),
        static_cast<int>(outcome.note), outcome.took, outcome.first_byte, ending.dated_ms, outcome.load.held,
        outcome.load.link);
    events_.push_back(std::move(outcome));
    if (!request) return;
    std::erase(request->out, handle);
    if (!proves_not_run(ending.verdict)) {
        request->may_have_run = true;
        request->ran_since = request->ran_since > 0 ? std::min(request->ran_since, sent) : sent;
    }
    if (served) {
        finish(owner, Reply{.how = ending.same ? Answered::same : Answered::served,
                            .body = std::move(ending.body),
                            .tag = std::move(ending.tag)});
    }
}

void Core::tell(nettlethread::Event event) {
    events_.push_back(std::move(event));
}

void Core::run() {
    if (running_) return;
    running_ = true;
    for (const auto& [handle, come_back] : std::exchange(turned_away_, {}))
        finish(handle, Reply{.how = Answered::refused, .come_back = come_back});
    while (!events_.empty()) {
        const nettlethread::Event event = std::move(events_.front());
        events_.pop_front();
        handle(event);
    }
    running_ = false;
}

void Core::handle(const nettlethread::Event& event) {
    actions_.clear();
    try {
        const Micros now = clock_.now();
        if (const Micros span = clock_.stalled() - std::exchange(told_stalled_, clock_.stalled()); span > 0)
            router_.handle(now, nettlethread::Stalled{span}, actions_);
        router_.handle(now, event, actions_);
    } catch (const std::exception& fault) {
        // What it was about is answered by the core's own guard at its deadline.
        log::error("the module failed on an event: {}", fault.what());
    }
    std::vector<nettlethread::Action> todo;
    todo.swap(actions_);
    for (const nettlethread::Action& action : todo) carry_out(action);
    todo.swap(actions_);
}

void Core::carry_out(const nettlethread::Action& action) {
    std::visit([this](const auto& a) { do_act(a); }, action);
}

void Core::do_act(const nettlethread::LookUp& a) {
    nettlethread::Serve serve;
    serve.id = a.id;
    serve.cache = serve.source = a.cache;
    serve.timeout = a.timeout;
    attempt(serve);
}

void Core::do_act(const nettlethread::Serve& a) {
    attempt(a);
}

void Core::attempt(const nettlethread::Serve& serve) {
    const Handle owner = named(serve.id);
    Request* request = requests_.find(owner);
    const Micros now = clock_.now();
    Attempt attempt;
    attempt.request = owner;
    attempt.name = serve.id;
    attempt.target = serve.cache;
    attempt.source = serve.source;
    attempt.sent = now;
    attempt.stalled_before = clock_.stalled();
    if (serve.age > 0) attempt.oldest = now - serve.age;
    if (!request) {  // it ended while the module decided
        Outcome outcome;
        outcome.id = serve.id;
        outcome.cache = serve.cache;
        outcome.verdict = Verdict::never_sent;
        outcome.ended = true;
        events_.push_back(std::move(outcome));
        return;
    }
    attempt.number = request->attempts++;
    const Micros left = request->deadline - now;
    const Micros limit = serve.timeout == 0 ? left : std::min(serve.timeout, left);
    const Handle handle = attempts_.add(std::move(attempt));
    // Danger: what must not run twice goes out again only if nothing may have run. The module keeps to that;
    // this is the last look before the wire.
    const bool once = settings_.classes[request->ask.service].semantics == Semantics::unsafe;
    const Micros latest = begin_by(*request);
    const bool forbidden = (once && (request->may_have_run || !request->out.empty())) ||
                           (!settings_.second_copies && !request->out.empty()) ||
                           (latest > 0 && now >= latest);
    if (forbidden)
        log::error("attempt {} of {} held back: it may run twice", request->attempts, request->ask.id);
    if (forbidden || limit <= 0 || request->attempts > settings_.most_tries)
        return ended(handle, Ending{.verdict = limit <= 0 ? Verdict::timed_out : Verdict::never_sent});
    request->out.push_back(handle);
    ++figures_.attempts;
    if (request->attempts == 1) {
        figures_.own_us += static_cast<std::uint64_t>(std::max<Micros>(0, request->ask.left - left));
        ++figures_.sent;
    }
    attempts_.find(handle)->limit = deadlines_.set(now + limit, [this, handle] {
        const bool is_short = upstream_->is_short(handle);
        const bool written = upstream_->stop(handle);
        ended(handle, Ending{.verdict = written    ? Verdict::timed_out
                                        : is_short ? Verdict::never_sent
                                                   : Verdict::not_connected});
        run();
    });
    Sending sending;
    sending.attempt = handle;
    sending.target = serve.cache;
    sending.source = serve.source == serve.cache ? std::string{} : serve.source;
    sending.until = now + limit;
    sending.age = serve.age;
    if (const Micros most = oldest_ ? oldest_() : 0; most > 0) {
        const Micros usual = serve.age > 0 ? serve.age : settings_.classes[request->ask.service].fresh;
        sending.age = usual > 0 ? std::min(usual, most) : most;
    }
    sending.rank = serve.rank;
    sending.join = serve.join;
    sending.source_holds = serve.source_holds;
    sending.parent_skips = serve.parent_skips;
    sending.renew = serve.renew;
    sending.begin_by = latest;
    sending.ask = &request->ask;
    sending.avoid = request->channels;
    request->channels.push_back(upstream_->send(sending));
    log::debug(
        "sent req={} n={} cls={} kb={:.0f} object={}/{} at={} via={} join={} holds={} rank={} age_us={} "
        "group={} limit_us={}",
        serve.id, request->attempts - 1, request->ask.service_name, request->ask.size_kb, request->ask.object,
        request->ask.part, sending.target, sending.source, sending.join, sending.source_holds, sending.rank,
        sending.age, request->ask.group, limit);
}

// Repeats of a keyed request are dropped for as long as the class says, from the first that may have run on.
Micros Core::begin_by(const Request& request) {
    const nettlethread::ClassSettings& of = settings_.classes[request.ask.service];
    if (of.semantics != Semantics::keyed) return 0;
    Micros since = request.ran_since;
    for (const Handle out : request.out) {
        const Attempt* attempt = attempts_.find(out);
        if (attempt) since = since > 0 ? std::min(since, attempt->sent) : attempt->sent;
    }
    return since > 0 ? since + of.window : 0;
}

void Core::do_act(const nettlethread::SetTimer& a) {
    deadlines_.set(a.at, [this, token = a.token] {
        events_.push_back(nettlethread::TimerDue{token});
        run();
    });
}

void Core::do_act(const nettlethread::Refuse& a) {
    finish(named(a.id), Reply{.how = Answered::refused, .come_back = a.come_back});
}

void Core::do_act(const nettlethread::Fail& a) {
    const Handle handle = named(a.id);
    const Request* request = requests_.find(handle);
    const bool late = request && clock_.now() + 50'000 >= request->deadline;
    finish(handle, Reply{.how = late ? Answered::out_of_time : Answered::failed});
}

void Core::do_act(const nettlethread::Cancel& a) {
    // The request may be over already; its attempts are found by name.
    const Handle owner = named(a.id);
    std::vector<Handle> hit;
    attempts_.each([&](Handle handle, const Attempt& attempt) {
        if (attempt.request == owner && attempt.number == a.attempt) hit.push_back(handle);
    });
    for (const Handle handle : hit) {
        const bool written = upstream_->stop(handle);
        ended(handle, Ending{.verdict = written ? Verdict::called_off : Verdict::never_sent});
    }
}

void Core::do_act(const nettlethread::CloseIdle& a) {
    upstream_->close_idle(a.cache);
}

void Core::do_act(const nettlethread::Log& a) {
    log::info("module: {}", a.text);
}

}  // namespace sumackeel::core
