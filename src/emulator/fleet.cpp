#include "emulator/fleet.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <variant>

namespace sumackeel::emulator {

using namespace nettlethread;

namespace {

enum Kind { kCache, kParent, kOrigin };  // places in the settings' list of kinds

constexpr double kCacheWeight = 6, kParentWeight = 60;  // transfers at full pace
constexpr Micros kFillWay = 10 * kMs;                   // to a source's first byte
constexpr Micros kOriginWay = 120 * kMs;                // the same from an idle origin
constexpr Micros kOriginDown = 5 * kSecond;
constexpr Micros kFillTimeout = 2 * kSecond;  // a cache waits no longer for a source that says nothing
constexpr Micros kToldFirst = 50 * kMs, kToldApart = 3 * kMs;  // a purge, from router to router

}  // namespace

Settings settings(const Shape& shape) {
    Settings s;
    ClassSettings read;
    read.aim = 400 * kMs, read.aim_stretch = 2, read.give_up = 3 * kSecond;
    s.classes = {read};
    s.instances = shape.routers;
    for (int zone = 0; zone < shape.zones; ++zone)
        s.zone_instances.push_back(shape.routers / shape.zones + (zone < shape.routers % shape.zones));
    s.zone_hub.assign(shape.zones, 0);
    s.parent_kind = kParent, s.origin_kind = kOrigin;
    s.pace_kb_per_s = 4'000;
    s.joins = true;
    s.notes = Notes::all;
    s.weights = Weights::nominal;
    s.obey_after = 300 * kMs, s.cleared_within = 6 * kSecond, s.drain_grace = 2 * kSecond;
    s.cold_share = 0.16, s.warm_after = 17 * kSecond, s.tip_multiple = 4, s.overload_for = 1'500 * kMs;
    s.parent_cold_from = 0.06, s.parent_ramp = 21 * kSecond, s.parent_breaks_at = 2;
    s.may_cancel = s.second_copies = true;
    s.most_tries = 8;
    return s;
}

double Totals::most_within(const std::string& box, Micros window) const {
    const auto found = work_sent.find(box);
    if (found == work_sent.end()) return 0;
    double most = 0, sum = 0;
    auto tail = found->second.begin();
    for (const auto& [at, work] : found->second) {
        for (sum += work; tail->first <= at - window; ++tail) sum -= tail->second;
        most = std::max(most, sum);
    }
    return most;
}

int Totals::named_between(const std::vector<std::string>& boxes, Micros from, Micros to) const {
    int count = 0;
    for (const std::string& box : boxes) {
        const auto found = named.find(box);
        if (found == named.end()) continue;
        const auto first = std::ranges::lower_bound(found->second, from);
        count += static_cast<int>(std::ranges::lower_bound(found->second, to) - first);
    }
    return count;
}

Fleet::Fleet(const Shape& shape) : shape_(shape), set_(settings(shape)), chance_(shape.seed) {
    if (shape.routers < 1 || shape.zones < 1 || shape.objects < 1 || shape.asks_per_s <= 0 ||
        shape.origin_fills_per_s <= 0)
        throw std::invalid_argument("a fleet needs routers, zones, objects, asks and an origin that fills");
    double sum = 0;
    for (int i = 0; i < shape.objects; ++i) popularity_.push_back(sum += 1.0 / (i + 10));
    const auto add = [this](const std::string& name, int zone, Kind kind, double weight) {
        entries_.push_back({.cache = name, .weight = weight, .zone = zone, .kind = kind});
    };
    for (int zone = 0; zone < shape.zones; ++zone)
        for (int i = 0; i < shape.caches_a_zone; ++i) add(box(zone, i), zone, kCache, kCacheWeight);
    for (int i = 0; i < shape.parents; ++i) add("p" + std::to_string(i), 0, kParent, kParentWeight);
    add("origin", 0, kOrigin, 1);
    for (std::size_t i = 0; i < static_cast<std::size_t>(shape.routers); ++i) routers_.push_back(router(i));
    running_.assign(routers_.size(), true), lives_.assign(routers_.size(), 0);
    tell_all(ListNews{1, ListKind::full, entries_});
    for (std::size_t i = 0; i < routers_.size(); ++i) next_ask(i);
}

Router Fleet::router(std::size_t number) {
    Settings own = set_;
    own.me = static_cast<int>(number), own.my_zone = own.me % shape_.zones;
    return Router(own, chance_());
}

void Fleet::power_off() {
    running_.assign(running_.size(), false);
    open_.clear(), out_.clear(), held_.clear(), filling_.clear();
    origin_free_ = now_;
}

void Fleet::power_back() {
    for (CacheEntry& entry : entries_)
        if (entry.kind != kOrigin) entry.since = now_;
}

void Fleet::start(std::size_t number) {
    routers_[number] = router(number);
    running_[number] = true, ++lives_[number];
    tell(number, ListNews{3, ListKind::full, entries_});
}

// Who takes the request of a client of this router's: itself, or one by chance that is ready; none: its own
// number, and it is lost there.
std::size_t Fleet::taker(std::size_t number) {
    const auto takes = [this](std::size_t i) { return running_[i] && (!ready || ready(i)); };
    if (takes(number)) return number;
    const std::size_t from = chance_() % routers_.size();
    for (std::size_t i = 0; i < routers_.size(); ++i)
        if (takes((from + i) % routers_.size())) return (from + i) % routers_.size();
    return number;
}

void Fleet::run_for(Micros span) {
    const Micros end = now_ + span;
    while (!due_.empty() && due_.top().at <= end) {
        const Due due = due_.top();
        due_.pop();
        now_ = due.at;
        due.what();
    }
    now_ = end;
}

void Fleet::purge_all() {
    held_.clear();
    for (std::size_t i = 0; i < routers_.size(); ++i)
        at(now_ + kToldFirst + static_cast<Micros>(i) * kToldApart, [this, i, then = now_] {
            tell(i, Purge{0, now_ - then, ""});
        });
}

void Fleet::restart(const std::vector<std::string>& boxes) {
    ListNews news{2, ListKind::changes, {}};
    for (CacheEntry& entry : entries_)
        if (std::ranges::find(boxes, entry.cache) != boxes.end()) {
            entry.since = now_;
            held_.erase(entry.cache);
            news.entries.push_back(entry);
        }
    tell_all(news);
}

void Fleet::come_back(const std::vector<std::string>& boxes) {
    for (const std::string& box : boxes) lost_.erase(box), held_.erase(box), filling_.erase(box);
}

double Fleet::breaks_at(const std::string& box, Micros ago) const {
    const CacheEntry& found = entry(box);
    const bool parent = found.kind == kParent;
    const double from = parent ? set_.parent_cold_from : set_.cold_share;
    const double grown =
        static_cast<double>(ago) / static_cast<double>(parent ? set_.parent_ramp : set_.warm_after);
    return (parent ? set_.parent_breaks_at : set_.tip_multiple) * found.weight *
           (from + (1 - from) * std::min(1.0, grown)) * static_cast<double>(set_.overload_for);
}

const CacheEntry& Fleet::entry(const std::string& name) const {
    const auto found = std::ranges::find(entries_, name, &CacheEntry::cache);
    if (found == entries_.end()) throw std::invalid_argument("no box of the name " + name);
    return *found;
}

Micros Fleet::work() const {
    return static_cast<Micros>(shape_.kb / set_.pace_kb_per_s * kSecond);
}

void Fleet::next_ask(std::size_t router) {
    const double rate = shape_.asks_per_s / shape_.routers;
    const double gap = -std::log(1 - std::uniform_real_distribution<>(0, 1)(chance_)) / rate;
    at(now_ + static_cast<Micros>(gap * kSecond), [this, router] {
        const double where = std::uniform_real_distribution<>(0, popularity_.back())(chance_);
        Arrival ask;
        ask.id = std::to_string(router) + "-" + std::to_string(order_);
        ask.object = "o" + std::to_string(std::ranges::lower_bound(popularity_, where) - popularity_.begin());
        ask.grace = set_.classes[0].give_up;
        ask.size_kb = shape_.kb;
        ++totals.asked;
        const std::size_t by = taker(router);
        if (!running_[by] || (ready && !ready(by))) {
            ++totals.lost;
        } else if (gate && !gate(by, ask.object)) {
            ++totals.refused;
        } else {
            open_[ask.id] = {ask.object, now_};
            tell(by, ask);
        }
        next_ask(router);
    });
}

void Fleet::tell_all(const Event& event) {
    for (std::size_t i = 0; i < routers_.size(); ++i) tell(i, event);
}

void Fleet::tell(std::size_t router, const Event& event) {
    if (!running_[router]) return;
    std::vector<Action> actions;
    routers_[router].handle(now_, event, actions);
    if (observe) observe(router, now_, actions);
    for (const Action& action : actions) {
        if (const auto* timer = std::get_if<SetTimer>(&action))
            at(std::max(timer->at, now_ + 1), [this, router, token = timer->token, life = lives_[router]] {
                if (life == lives_[router]) tell(router, TimerDue{token});
            });
        if (const auto* serve = std::get_if<Serve>(&action)) send(router, *serve);
        if (const auto* refuse = std::get_if<Refuse>(&action)) over(refuse->id, totals.refused);
        if (const auto* fail = std::get_if<Fail>(&action)) over(fail->id, totals.failed);
    }
}

// The first end of an attempt is its end: its time-out, or what the box makes of it.
void Fleet::end(std::size_t router, Outcome outcome, Micros sent) {
    if (!out_.erase({outcome.id, outcome.attempt})) return;
    const bool served = outcome.verdict == Verdict::served;
    const auto found = open_.find(outcome.id);
    outcome.took = now_ - sent;
    outcome.ended = served || found == open_.end();
    if (served && found != open_.end()) {
        if (answered) answered(router, found->second.object, outcome.note);
        totals.in_time += now_ - found->second.asked <= set_.classes[0].aim + work() * 2;
        over(outcome.id, totals.served);
    }
    tell(router, outcome);
}

void Fleet::send(std::size_t router, const Serve& serve) {
    Open& open = open_.at(serve.id);
    const std::string object = open.object;
    const int attempt = open.attempts++;
    out_.insert({serve.id, attempt});
    const auto ends = [&](Micros when, Verdict verdict, Note note, Micros first_byte = 0) {
        Outcome outcome;
        outcome.id = serve.id, outcome.attempt = attempt, outcome.cache = serve.cache;
        outcome.verdict = verdict, outcome.note = note, outcome.first_byte = first_byte;
        at(when, [this, router, outcome, sent = now_] { end(router, outcome, sent); });
    };
    const auto arrives = [&](const std::string& box) {
        totals.work_sent[box][now_] += static_cast<double>(work());
    };
    const auto keeps = [&](const std::string& box, Micros from) {
        at(from, [this, box, object] { held_[box].insert(object); });
    };
    totals.named[serve.cache].push_back(now_);
    if (serve.timeout > 0) ends(now_ + serve.timeout, Verdict::timed_out, Note::none);
    if (lost_.contains(serve.cache)) return;
    arrives(serve.cache);
    if (held_[serve.cache].contains(object)) return ends(now_ + work(), Verdict::served, Note::hit);
    Micros& running = filling_[serve.cache][object];
    if (serve.join && running > now_)
        return at(running + 1, [this, router, serve, attempt, object, sent = now_] {
            const bool came = held_[serve.cache].contains(object);
            Outcome outcome;
            outcome.id = serve.id, outcome.attempt = attempt, outcome.cache = serve.cache;
            outcome.verdict = came ? Verdict::served : Verdict::error;
            outcome.note = came ? Note::joined : Note::source_lost;
            end(router, outcome, sent);
        });
    if (serve.source == serve.cache) return ends(now_ + kMs, Verdict::missing, Note::none);
    totals.named[serve.source].push_back(now_);
    if (lost_.contains(serve.source)) return ends(now_ + kFillTimeout, Verdict::error, Note::source_lost);
    arrives(serve.source);
    const bool held = held_[serve.source].contains(object);
    if (!held && serve.source_holds) return ends(now_ + kFillWay, Verdict::missing, Note::source_lacks);
    Micros first_byte = kFillWay;
    if (!held) {
        if (now_ < origin_up_) return ends(now_ + kFillTimeout, Verdict::error, Note::source_lost);
        totals.origin_fills.push_back(now_);
        // Danger to be seen: who waits no longer has had it asked for all the same.
        const auto each = static_cast<Micros>(kSecond / shape_.origin_fills_per_s);
        origin_free_ = std::max(origin_free_, now_) + each;
        const double waiting = static_cast<double>(origin_free_ - now_) / static_cast<double>(each);
        totals.longest_at_origin = std::max(totals.longest_at_origin, waiting);
        first_byte = origin_free_ - now_ + kOriginWay;
        if (shape_.origin_bears > 0 && origin_free_ - now_ > shape_.origin_bears) {
            ++totals.origin_fell;
            origin_fell_ = now_, origin_up_ = origin_free_ = now_ + kOriginDown;
        }
    }
    running = now_ + first_byte + work();
    // What the origin was at when it fell never comes: the cache notices once its own patience is over.
    const Micros comes = now_ + first_byte;
    if (!held && shape_.origin_bears > 0) {
        at(comes, [this, router, serve, attempt, object, asked = now_, comes, first_byte] {
            const bool fell = origin_fell_ >= asked && origin_fell_ <= comes;
            Outcome outcome;
            outcome.id = serve.id, outcome.attempt = attempt, outcome.cache = serve.cache;
            outcome.verdict = fell ? Verdict::error : Verdict::served;
            outcome.note = fell ? Note::source_lost : Note::filled_by_origin;
            outcome.first_byte = fell ? 0 : first_byte;
            at(fell ? std::max(now_ + 1, asked + kFillTimeout) : now_ + work(),
               [this, router, serve, object, outcome, fell, asked] {
                   if (!fell) held_[serve.cache].insert(object), held_[serve.source].insert(object);
                   end(router, outcome, asked);
               });
        });
        return;
    }
    keeps(serve.cache, running);
    if (!held) keeps(serve.source, running);
    ends(running, Verdict::served, held ? Note::filled : Note::filled_by_origin, first_byte);
}

}  // namespace sumackeel::emulator
