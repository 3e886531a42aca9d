// A hundred instances of the module before sixty boxes on one virtual clock, for what only the sum of them
// shows. All chance comes from one seed.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <variant>
#include <vector>

#include "nettlethread/router.h"

namespace fleet {

using namespace nettlethread;

constexpr Micros kMs = 1'000, kSecond = 1'000'000;

struct Shape {
    int routers = 100, zones = 15, caches_a_zone = 4, parents = 4;
    double asks_per_s = 1'000;  // of all clients
    int objects = 4'000;        // wanted with a weight that falls as 1/rank
    double origin_fills_per_s = 400;
    double kb = 400;  // one read; 0.1 s at full pace
    std::uint64_t seed = 20261201;
};

// What became of the requests, and what reached the origin and each box.
struct Totals {
    int asked = 0, served = 0, in_time = 0, refused = 0, failed = 0, twice = 0;
    double origin_longest_queue = 0;                            // fills waiting there at once
    std::map<int, int> origin_asked;                            // by second
    std::map<std::string, std::map<Micros, double>> work_sent;  // to a box, by the time it arrived

    // The most work that reached a box within `window` from `from` on.
    double most_within(const std::string& box, Micros window) const {
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
};

inline Settings settings(const Shape& shape) {
    Settings s;
    ClassSettings read;
    read.aim = 400 * kMs, read.aim_stretch = 2, read.give_up = 3 * kSecond;
    s.classes = {read};
    s.instances = shape.routers;
    for (int zone = 0; zone < shape.zones; ++zone)
        s.zone_instances.push_back(shape.routers / shape.zones + (zone < shape.routers % shape.zones));
    s.zone_hub.assign(shape.zones, 0);
    s.parent_kind = 1, s.origin_kind = 2;
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

class Fleet {
  public:
    explicit Fleet(const Shape& shape) : shape_(shape), set_(settings(shape)), chance_(shape.seed) {
        double sum = 0;
        for (int i = 0; i < shape.objects; ++i) popularity_.push_back(sum += 1.0 / (i + 10));
        for (int zone = 0; zone < shape.zones; ++zone)
            for (int i = 0; i < shape.caches_a_zone; ++i) entries_.push_back(entry(box(zone, i), zone, 0, 6));
        for (int i = 0; i < shape.parents; ++i) entries_.push_back(entry("p" + std::to_string(i), 0, 1, 60));
        entries_.push_back(entry("origin", 0, 2, 1));
        for (int i = 0; i < shape.routers; ++i) {
            Settings own = set_;
            own.me = i, own.my_zone = i % shape.zones;
            routers_.push_back({Router(own, chance_()), own.my_zone});
        }
        tell_all(ListNews{1, ListKind::full, entries_});
        for (int i = 0; i < shape.routers; ++i) next_ask(i);
    }

    static std::string box(int zone, int i) { return "c" + std::to_string(zone) + "-" + std::to_string(i); }

    void run_until(Micros end) {
        while (!queue_.empty() && queue_.top().at <= end) {
            const Due due = queue_.top();
            queue_.pop();
            now_ = due.at;
            due.what();
        }
        now_ = end;
    }
    void at(Micros when, std::function<void()> what) { queue_.push({when, ++serial_, std::move(what)}); }

    void tell_all(const Event& event) {
        for (std::size_t i = 0; i < routers_.size(); ++i) tell(i, event);
    }
    // Every copy goes void, and each router hears of it a little later than the one before.
    void purge_all() {
        held_.clear();
        for (std::size_t i = 0; i < routers_.size(); ++i)
            at(now_ + 50 * kMs + static_cast<Micros>(i) * 3 * kMs, [this, i, then = now_] {
                tell(i, Purge{0, now_ - then, ""});
            });
    }
    // Boxes come back empty and cold, at once for all.
    void restart(const std::vector<std::string>& boxes) {
        ListNews news{2, ListKind::changes, {}};
        for (CacheEntry& entry : entries_)
            if (std::ranges::find(boxes, entry.cache) != boxes.end()) {
                entry.since = now_;
                held_.erase(entry.cache);
                news.entries.push_back(entry);
            }
        tell_all(news);
    }
    void origin_does(double fills_per_s) { shape_.origin_fills_per_s = fills_per_s; }

    Micros now() const { return now_; }
    double weight(const std::string& name) const {
        for (const CacheEntry& entry : entries_)
            if (entry.cache == name) return entry.weight;
        return 0;
    }
    const Settings& set() const { return set_; }
    Totals totals;

  private:
    struct Due {
        Micros at;
        std::uint64_t serial;
        std::function<void()> what;
        bool operator<(const Due& other) const {
            return std::tie(other.at, other.serial) < std::tie(at, serial);
        }
    };
    struct Node {
        Router router;
        int zone;
    };
    struct Open {
        Micros asked;
        int attempts = 0;
    };

    static CacheEntry entry(const std::string& name, int zone, int kind, double weight) {
        return {.cache = name, .weight = weight, .zone = zone, .kind = kind};
    }

    void next_ask(int i) {
        const double rate = shape_.asks_per_s / shape_.routers;
        const double gap = -std::log(1 - std::uniform_real_distribution<>(0, 1)(chance_)) / rate;
        at(now_ + static_cast<Micros>(gap * kSecond), [this, i] {
            const double where = std::uniform_real_distribution<>(0, popularity_.back())(chance_);
            Arrival ask;
            ask.id = std::to_string(i) + "-" + std::to_string(++totals.asked);
            ask.object =
                "o" + std::to_string(std::ranges::lower_bound(popularity_, where) - popularity_.begin());
            ask.grace = set_.classes[0].give_up;
            ask.size_kb = shape_.kb;
            open_[ask.id] = {now_};
            objects_[ask.id] = ask.object;
            tell(i, ask);
            next_ask(i);
        });
    }

    void tell(std::size_t i, const Event& event) {
        std::vector<Action> actions;
        routers_[i].router.handle(now_, event, actions);
        for (const Action& action : actions) {
            if (const auto* timer = std::get_if<SetTimer>(&action))
                at(std::max(timer->at, now_ + 1),
                   [this, i, token = timer->token] { tell(i, TimerDue{token}); });
            if (const auto* serve = std::get_if<Serve>(&action)) send(i, *serve);
            if (const auto* refuse = std::get_if<Refuse>(&action)) over(refuse->id, totals.refused);
            if (const auto* fail = std::get_if<Fail>(&action)) over(fail->id, totals.failed);
        }
    }

    void over(const std::string& id, int& count) { open_.erase(id) ? ++count : ++totals.twice; }

    void end(std::size_t i, const std::string& id, int attempt, const std::string& cache, Verdict verdict,
             Note note, Micros sent, Micros first) {
        const bool served = verdict == Verdict::served;
        const bool first_end = ended_.insert(id + '#' + std::to_string(attempt)).second;
        if (!first_end) return;
        Outcome outcome;
        outcome.id = id, outcome.attempt = attempt, outcome.cache = cache, outcome.verdict = verdict;
        outcome.took = now_ - sent, outcome.note = note, outcome.first_byte = first;
        const auto found = open_.find(id);
        outcome.ended = served || found == open_.end();
        if (served && found != open_.end()) {
            totals.in_time += now_ - found->second.asked <= set_.classes[0].aim + work() * 2;
            over(id, totals.served);
        }
        tell(i, outcome);
    }

    Micros work() const { return static_cast<Micros>(shape_.kb / set_.pace_kb_per_s * kSecond); }

    void send(std::size_t i, const Serve& serve) {
        const int attempt = open_[serve.id].attempts++;
        const Micros sent = now_;
        const auto ends = [this, i, serve, attempt, sent](Micros when, Verdict verdict, Note note,
                                                          Micros first = 0) {
            at(when, [=, this] { end(i, serve.id, attempt, serve.cache, verdict, note, sent, first); });
        };
        totals.work_sent[serve.cache][now_] += static_cast<double>(work());
        if (serve.timeout > 0) ends(now_ + serve.timeout, Verdict::timed_out, Note::none);
        const std::string object = objects_[serve.id];
        if (held_[serve.cache].contains(object)) return ends(now_ + work(), Verdict::served, Note::hit);
        Micros& running = filling_[serve.cache][object];
        if (serve.join && running > now_) return ends(running + 1, Verdict::served, Note::joined);
        if (serve.source == serve.cache) return ends(now_ + kMs, Verdict::missing, Note::none);
        totals.work_sent[serve.source][now_] += static_cast<double>(work());
        const Micros way = 10 * kMs;
        const auto kept = [this, object](Micros when, const std::string& name) {
            at(when, [=, this] { held_[name].insert(object); });
        };
        if (held_[serve.source].contains(object)) {
            running = now_ + way + work();
            kept(running, serve.cache);
            return ends(running, Verdict::served, Note::filled, way);
        }
        if (serve.source_holds) return ends(now_ + way, Verdict::missing, Note::source_lacks);
        // Whoever waits no longer has had it asked for all the same.
        ++totals.origin_asked[static_cast<int>(now_ / kSecond)];
        const auto each = static_cast<Micros>(kSecond / shape_.origin_fills_per_s);
        origin_free_ = std::max(origin_free_, now_) + each;
        totals.origin_longest_queue =
            std::max(totals.origin_longest_queue, static_cast<double>(origin_free_ - now_) / each);
        const Micros first = origin_free_ - now_ + 120 * kMs;
        running = now_ + first + work();
        kept(running, serve.cache);
        kept(running, serve.source);
        ends(running, Verdict::served, Note::filled_by_origin, first);
    }

    Shape shape_;
    Settings set_;
    std::mt19937_64 chance_;
    std::vector<double> popularity_;
    std::vector<CacheEntry> entries_;
    std::vector<Node> routers_;
    std::priority_queue<Due> queue_;
    std::uint64_t serial_ = 0;
    Micros now_ = 1'000 * kSecond, origin_free_ = 0;
    std::map<std::string, Open> open_;
    std::map<std::string, std::string> objects_;
    std::set<std::string> ended_;
    std::map<std::string, std::set<std::string>> held_;
    std::map<std::string, std::map<std::string, Micros>> filling_;
};

}  // namespace fleet
