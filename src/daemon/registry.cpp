#include "daemon/registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "base/json_line.h"
#include "base/log.h"

namespace sumackeel::daemon {

using base::Micros;
using rollout::Answer;
using rollout::How;

namespace {

constexpr const char* kVerb = "registry";                  // between proxies: which revision one has
constexpr const char* kImported = "fleet/store_imported";  // the mark of the take-over
// A leader tells the others that there is a purge, so many at a time: they ask for it at once instead of
// within their quarter of a second, and a voter instead of within a heartbeat.
constexpr const char* kNews = "registry-news";
constexpr std::size_t kNewsAtOnce = 50;
constexpr Micros kNewsEvery = 10'000, kNewsWithin = 500'000;
constexpr Micros kUnsure = 3'000'000;  // what is agreed on is heard each quarter of a second
constexpr Micros kImportAgain = 1'000'000;
constexpr Micros kProgressWithin = 800'000;  // an operator's call is answered within a second
constexpr std::size_t kMostListed = 1'000;

Json::Value one(const char* name, const Json::Value& what) {
    Json::Value message;
    message[name] = what;
    return message;
}

std::string text(const Json::Value& question, const char* name) {
    if (!question[name].isString()) throw std::runtime_error(std::string(name) + " is no text");
    return question[name].asString();
}

Json::Value shown(const std::string& key, const registry::Entry& entry) {
    Json::Value value;
    value["key"] = key, value["version"] = Json::UInt64{entry.version}, value["value"] = entry.value;
    if (entry.until > 0) value["until_s"] = static_cast<double>(entry.until) / 1e6;
    return value;
}

}  // namespace

Registry::Registry(net::Loop& loop, net::Budget& sockets, peers::Peers& peers, peers::Agreed& agreed,
                   const config::Store& setup, Purged purged)
    : loop_(loop),
      peers_(peers),
      agreed_(agreed),
      setup_(setup),
      purged_(std::move(purged)),
      started_(loop.clock().now()),
      desk_(loop, sockets, setup.listen,
            [this](const Json::Value& question, const store::Desk::Answer& answer) {
                word(question, answer);
            }) {
    agreed_.on_registry([this] { heard(); });
    peers_.on_call(kVerb, [this](const std::string&, const std::string&, const std::string&,
                                 const peers::Peers::Say& say) {
        say(std::to_string(agreed_.registry().last_purge()));
    });
    peers_.on_call(kNews, [this](const std::string& from, const std::string&, const std::string&,
                                 const peers::Peers::Say& say) {
        say({});
        agreed_.ask_now(from);
    });
    if (!setup_.folder.empty() && store::has_old_store(setup_.folder)) import();
    heard();
}

Registry::~Registry() {
    alive_.reset();
    agreed_.on_registry({});
    for (const char* verb : {kVerb, kNews}) peers_.no_calls(verb);
    if (next_import_) loop_.deadlines().drop(*next_import_);
}

std::optional<std::string> Registry::get(const std::string& key) const {
    const registry::Entry* entry = agreed_.registry().find(key);
    return entry ? std::optional(entry->value) : std::nullopt;
}

Micros Registry::oldest() const {
    const auto age = agreed_.sure_age();
    if (age && *age <= kUnsure) return 0;
    return std::max<Micros>(1'000, age ? *age : loop_.clock().now() - started_);
}

// Danger: when it was told is by another's clock, which may be far from ours. Heard now is never too early.
void Registry::heard() {
    const registry::State& state = agreed_.registry();
    if (state.last_purge() < told_) told_ = 0;  // another history: all of it is news
    const auto newer =
        std::upper_bound(state.purges().begin(), state.purges().end(), told_,
                         [](std::uint64_t told, const registry::Purge& one) { return told < one.number; });
    std::for_each(newer, state.purges().end(), purged_);
    const bool news = state.last_purge() > told_;
    told_ = std::max(told_, state.last_purge());
    if (!news || !agreed_.leads()) return;
    agreed_.spread();
    auto names = std::make_shared<std::vector<std::string>>();
    for (const group::Seen& seen : peers_.group().seen())
        if (seen.state == group::State::alive || seen.state == group::State::suspect)
            names->push_back(seen.word.name);
    tell_news(names);
}

void Registry::tell_news(const std::shared_ptr<std::vector<std::string>>& names) {
    for (std::size_t i = 0; i < kNewsAtOnce && !names->empty(); ++i) {
        peers_.call(names->back(), kNews, {}, kNewsWithin, [](const auto&) {});
        names->pop_back();
    }
    if (names->empty()) return;
    const std::weak_ptr<bool> alive = alive_;
    loop_.deadlines().set(loop_.clock().now() + kNewsEvery, [this, alive, names] {
        if (!alive.expired()) tell_news(names);
    });
}

void Registry::word(const Json::Value& question, const store::Desk::Answer& answer) {
    const auto refused = [answer](const std::optional<Answer>& from) {
        answer(one("refused", from ? from->reason : "no majority of the voters answered, ask again"));
    };
    if (question.isMember("promote"))
        return agreed_.lead([answer, refused](const std::optional<Answer>& from) {
            if (!from || from->how != How::granted) return refused(from);
            answer(one("promoted", Json::UInt64{from->number}));
        });
    if (question.isMember("list")) {
        const std::string prefix = text(question, "list");
        Json::Value all = one("keys", Json::Value(Json::arrayValue));
        const auto& entries = agreed_.registry().entries();
        for (auto at = entries.lower_bound(prefix); at != entries.end() && at->first.starts_with(prefix);
             ++at) {
            if (all["keys"].size() >= kMostListed) {
                all["more"] = true;
                break;
            }
            all["keys"].append(shown(at->first, at->second));
        }
        return answer(all);
    }
    if (question.isMember("get")) {
        const std::string key = text(question, "get");
        if (!question["sure"].asBool()) {
            const registry::Entry* entry = agreed_.registry().find(key);
            Json::Value value = one("version", Json::UInt64{entry ? entry->version : 0});
            if (entry) value["value"] = entry->value;
            value["revision"] = Json::UInt64{agreed_.registry().revision()};
            if (const auto age = agreed_.sure_age()) value["age_s"] = static_cast<double>(*age) / 1e6;
            return answer(value);
        }
        return agreed_.read(key, [answer, refused](const std::optional<Answer>& from) {
            if (!from) return refused(from);
            Json::Value value = one("version", Json::UInt64{from->number});
            if (from->how == How::granted) value["value"] = from->reason;
            answer(value);
        });
    }
    registry::Part part;
    part.what = question.isMember("remove") ? registry::Do::remove : registry::Do::set;
    part.key = text(question, part.what == registry::Do::remove ? "remove" : "set");
    if (part.what == registry::Do::set) part.value = text(question, "value");
    if (question.isMember("version")) {
        if (!question["version"].isUInt64()) throw std::runtime_error("version is no whole number");
        part.expected = question["version"].asUInt64();
    }
    if (question.isMember("lasts_s")) {
        if (!question["lasts_s"].isNumeric()) throw std::runtime_error("lasts_s is no number");
        part.lasts = static_cast<Micros>(std::clamp(question["lasts_s"].asDouble(), 0.001, 1e9) * 1e6);
    }
    agreed_.change({{part}, peers_.group().self().name, 0}, [answer](const std::optional<Answer>& from) {
        Json::Value value = one("outcome", !from                       ? "unknown"
                                           : from->how == How::granted ? "done"
                                                                       : "conflict");
        if (from) value["version"] = Json::UInt64{from->number};
        if (from && from->how != How::granted) value["reason"] = from->reason;
        answer(value);
    });
}

// Once, by the member that the old store knew as its primary. The mark goes in with the last of it.
void Registry::import() {
    try {
        old_ = store::read_old_store(setup_.folder);
    } catch (const std::exception& wrong) {
        return log::error("store: what {} holds is not taken over: {}", setup_.folder, wrong.what());
    }
    const std::string led = old_->leader.empty() ? setup_.primary : old_->leader;
    if (led != setup_.name) {
        log::info("store: {} led the old store, its folder is the one taken over", led);
        return old_.reset();
    }
    import_next();
}

void Registry::import_next() {
    const auto again = [this] {
        next_import_ = loop_.deadlines().set(loop_.clock().now() + kImportAgain, [this] {
            next_import_.reset();
            import_next();
        });
    };
    if (!agreed_.known()) return again();
    const registry::State& state = agreed_.registry();
    if (state.find(kImported)) return old_.reset();
    registry::Change change{{}, peers_.group().self().name, 0};
    bool last = true;
    for (const auto& [key, value] : old_->values) {
        if (state.find(key) || key == "store/leader") continue;  // what was set since goes before it
        last = change.parts.size() + 1 < registry::kMostParts;
        if (!last) break;
        change.parts.push_back({key, registry::Do::set, value, 0, 0});
    }
    if (last) change.parts.push_back({kImported, registry::Do::set, setup_.folder, 0, 0});
    const std::weak_ptr<bool> alive = alive_;
    agreed_.change(change, [this, alive, again, last](const std::optional<Answer>& answer) {
        if (alive.expired()) return;
        if (answer && answer->how == How::refused) {
            // One that can't be kept must not hold up the rest for ever: named, and left out.
            const std::string key = answer->reason.substr(0, answer->reason.find(':'));
            log::warn("store: {}", answer->reason);
            old_->values.erase(key);
        }
        if (answer && answer->how == How::granted && last)
            return log::info("store: {} keys of {} are taken over", old_->values.size(), setup_.folder);
        again();
    });
}

std::optional<ops::Reply> Registry::take_call(const ops::Call& call, const front_ops::Later& later) {
    constexpr std::string_view kHead = "/ops/purge/";
    if (call.path == "/ops/purge") {
        if (call.method != "GET") return ops::Reply{405, "GET alone\n", false};
        progress(later);
        return std::nullopt;
    }
    if (call.method != "POST") return ops::Reply{405, "POST alone\n", false};
    const std::string_view rest = call.path.substr(std::min(kHead.size(), call.path.size()));
    const auto slash = rest.find('/');
    const std::string_view kind = rest.substr(0, slash);
    const std::string_view what =
        slash == std::string_view::npos ? std::string_view{} : rest.substr(slash + 1);
    registry::Purge purge;
    purge.by = peers_.group().self().name;
    const auto number = what.substr(0, what.find('/'));
    const auto read = std::from_chars(number.data(), number.data() + number.size(), purge.group);
    const bool numbered =
        read.ec == std::errc{} && read.ptr == number.data() + number.size() && purge.group >= 0;
    const bool whole = kind == "group" && numbered && number.size() == what.size();
    const bool single = kind == "object" && numbered && what.size() > number.size() + 1;
    if (!whole && !single) return ops::Reply{400, "group/NUMBER or object/GROUP/ID is wanted\n", false};
    if (single) purge.object = what.substr(number.size() + 1);
    agreed_.purge(purge, [later](const std::optional<Answer>& answer) {
        if (!answer) return later({503, "no majority of the voters answered, call again\n", false});
        if (answer->how != How::granted) return later({409, fmt::format("{}\n", answer->reason), false});
        later({200, fmt::format("purge {}\n", answer->number), false});
    });
    return std::nullopt;
}

// Which purge each member has taken, asked of all at once; those that do not answer in time have none.
void Registry::progress(const front_ops::Later& later) {
    struct Asked {
        Json::Value root;
        std::size_t open = 1;
        front_ops::Later later;
        void end() {
            if (--open == 0) later({200, base::json_line(root), false});
        }
    };
    const auto asked = std::make_shared<Asked>();
    asked->later = later;
    asked->root["last"] = Json::UInt64{agreed_.registry().last_purge()};
    asked->root["members"][peers_.group().self().name] = Json::UInt64{agreed_.registry().last_purge()};
    for (const group::Seen& seen : peers_.group().seen()) {
        if (seen.state == group::State::left) continue;
        const std::string& name = seen.word.name;
        asked->root["members"][name] = Json::Value();
        ++asked->open;
        peers_.call(name, kVerb, {}, kProgressWithin, [asked, name](std::optional<std::string> body) {
            std::uint64_t number = 0;
            if (body && std::from_chars(body->data(), body->data() + body->size(), number).ec == std::errc{})
                asked->root["members"][name] = Json::UInt64{number};
            asked->end();
        });
    }
    asked->end();
}

}  // namespace sumackeel::daemon
