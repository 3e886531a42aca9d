#include "daemon/kv_store_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "base/json_line.h"
#include "base/log.h"
#include "daemon/daemon_error.h"

namespace sumackeel::daemon {

using base::Micros;
using rollout::CommandResult;
using rollout::Outcome;

namespace {

constexpr const char* kRevisionCall = "registry";                 // between proxies: which revision one has
constexpr const char* kImportMarkerKey = "fleet/store_imported";  // the mark of the take-over
// A leader tells the others that there is a purge, so many at a time: they ask for it at once instead of
// within their quarter of a second, and a voter instead of within a heartbeat.
constexpr const char* kPurgeNotificationCall = "registry-news";
constexpr std::size_t kPurgeNotificationBatch = 50;
constexpr Micros kPurgeNotificationInterval = 10'000;
constexpr Micros kPurgeNotificationTimeout = 500'000;
constexpr Micros kMaxConfirmedAge = 3'000'000;  // what is agreed on is heard each quarter of a second
constexpr Micros kImportRetryDelay = 1'000'000;
constexpr Micros kProgressTimeout = 800'000;  // an operator's call is answered within a second
constexpr std::size_t kMaxListedKeys = 1'000;

Json::Value one(const char* name, const Json::Value& what) {
    Json::Value message;
    message[name] = what;
    return message;
}

std::string text(const Json::Value& question, const char* name) {
    if (!question[name].isString())
        throw DaemonError(DaemonErrorCode::invalid_store_request, std::string(name) + " is no text");
    return question[name].asString();
}

Json::Value shown(const std::string& key, const kv_store::Entry& entry) {
    Json::Value value;
    value["key"] = key;
    value["version"] = Json::UInt64{entry.version};
    value["value"] = entry.value;
    if (entry.expires_at > 0) value["until_s"] = static_cast<double>(entry.expires_at) / 1e6;
    return value;
}

}  // namespace

KvStoreService::KvStoreService(net::Loop& loop, net::SocketBudget& sockets,
                               cluster_transport::ClusterTransport& peers, consensus::ConsensusClient& agreed,
                               const config::Store& setup, Purged purged)
    : loop_(loop),
      transport_(peers),
      consensus_(agreed),
      setup_(setup),
      purged_(std::move(purged)),
      started_(loop.clock().now()),
      api_(loop, sockets, setup.listen,
           [this](const Json::Value& question, const store::StoreApi::Answer& answer) {
               word(question, answer);
           }) {
    consensus_.on_kv_store_change([this] { on_log_changed(); });
    transport_.on_call(kRevisionCall, [this](const std::string&, const std::string&, const std::string&,
                                             const cluster_transport::ClusterTransport::Respond& say) {
        say(std::to_string(consensus_.kv_store().last_purge()));
    });
    transport_.on_call(kPurgeNotificationCall,
                       [this](const std::string& from, const std::string&, const std::string&,
                              const cluster_transport::ClusterTransport::Respond& say) {
                           say({});
                           consensus_.poll_now(from);
                       });
    if (!setup_.folder.empty() && store::has_legacy_store(setup_.folder)) import();
    on_log_changed();
}

KvStoreService::~KvStoreService() {
    alive_.reset();
    consensus_.on_kv_store_change({});
    for (const char* verb : {kRevisionCall, kPurgeNotificationCall}) transport_.remove_call_handler(verb);
    if (next_import_) loop_.timers().cancel(*next_import_);
}

std::optional<std::string> KvStoreService::get(const std::string& key) const {
    const kv_store::Entry* entry = consensus_.kv_store().find(key);
    return entry ? std::optional(entry->value) : std::nullopt;
}

Micros KvStoreService::max_copy_age() const {
    const auto age = consensus_.confirmed_age();
    if (age && *age <= kMaxConfirmedAge) return 0;
    return std::max<Micros>(1'000, age ? *age : loop_.clock().now() - started_);
}

// Danger: when it was told is by another's clock, which may be far from ours. Heard now is never too early.
void KvStoreService::on_log_changed() {
    const kv_store::State& state = consensus_.kv_store();
    if (state.last_purge() < notified_purge_) notified_purge_ = 0;  // another history: all of it is news
    const auto newer = std::upper_bound(
        state.purges().begin(), state.purges().end(), notified_purge_,
        [](std::uint64_t number, const kv_store::Purge& one) { return number < one.number; });
    std::for_each(newer, state.purges().end(), purged_);
    const bool news = state.last_purge() > notified_purge_;
    notified_purge_ = std::max(notified_purge_, state.last_purge());
    if (!news || !consensus_.is_leader()) return;
    consensus_.replicate_now();
    auto names = std::make_shared<std::vector<std::string>>();
    for (const cluster::MemberView& seen : transport_.membership().members())
        if (seen.state == cluster::State::alive || seen.state == cluster::State::suspect)
            names->push_back(seen.record.name);
    tell_news(names);
}

void KvStoreService::tell_news(const std::shared_ptr<std::vector<std::string>>& names) {
    for (std::size_t i = 0; i < kPurgeNotificationBatch && !names->empty(); ++i) {
        transport_.call(names->back(), kPurgeNotificationCall, {}, kPurgeNotificationTimeout,
                        [](const auto&) {});
        names->pop_back();
    }
    if (names->empty()) return;
    const std::weak_ptr<bool> alive = alive_;
    loop_.timers().schedule(loop_.clock().now() + kPurgeNotificationInterval, [this, alive, names] {
        if (!alive.expired()) tell_news(names);
    });
}

// NOLINTNEXTLINE(readability-function-size): not split yet
void KvStoreService::word(const Json::Value& question, const store::StoreApi::Answer& answer) {
    const auto refused = [answer](const std::optional<CommandResult>& from) {
        answer(one("refused", from ? from->reason : "no majority of the voters answered, ask again"));
    };
    if (question.isMember("promote"))
        return consensus_.take_leadership([answer, refused](const std::optional<CommandResult>& from) {
            if (!from || from->outcome != Outcome::granted) return refused(from);
            answer(one("promoted", Json::UInt64{from->number}));
        });
    if (question.isMember("list")) {
        const std::string prefix = text(question, "list");
        Json::Value all = one("keys", Json::Value(Json::arrayValue));
        const auto& entries = consensus_.kv_store().entries();
        for (auto at = entries.lower_bound(prefix); at != entries.end() && at->first.starts_with(prefix);
             ++at) {
            if (all["keys"].size() >= kMaxListedKeys) {
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
            const kv_store::Entry* entry = consensus_.kv_store().find(key);
            Json::Value value = one("version", Json::UInt64{entry ? entry->version : 0});
            if (entry) value["value"] = entry->value;
            value["revision"] = Json::UInt64{consensus_.kv_store().revision()};
            if (const auto age = consensus_.confirmed_age()) value["age_s"] = static_cast<double>(*age) / 1e6;
            return answer(value);
        }
        return consensus_.read(key, [answer, refused](const std::optional<CommandResult>& from) {
            if (!from) return refused(from);
            Json::Value value = one("version", Json::UInt64{from->number});
            if (from->outcome == Outcome::granted) value["value"] = from->reason;
            answer(value);
        });
    }
    kv_store::Operation part;
    part.kind = question.isMember("remove") ? kv_store::OperationKind::remove : kv_store::OperationKind::set;
    part.key = text(question, part.kind == kv_store::OperationKind::remove ? "remove" : "set");
    if (part.kind == kv_store::OperationKind::set) part.value = text(question, "value");
    if (question.isMember("version")) {
        if (!question["version"].isUInt64())
            throw DaemonError(DaemonErrorCode::invalid_store_request, "version is no whole number");
        part.expected_version = question["version"].asUInt64();
    }
    if (question.isMember("lasts_s")) {
        if (!question["lasts_s"].isNumeric())
            throw DaemonError(DaemonErrorCode::invalid_store_request, "lasts_s is no number");
        part.time_to_live = static_cast<Micros>(std::clamp(question["lasts_s"].asDouble(), 0.001, 1e9) * 1e6);
    }
    consensus_.submit_change(
        {{part}, transport_.membership().self().name, 0}, [answer](const std::optional<CommandResult>& from) {
            Json::Value value = one("outcome", !from                               ? "unknown"
                                               : from->outcome == Outcome::granted ? "done"
                                                                                   : "conflict");
            if (from) value["version"] = Json::UInt64{from->number};
            if (from && from->outcome != Outcome::granted) value["reason"] = from->reason;
            answer(value);
        });
}

// Once, by the member that the old store knew as its primary. The mark goes in with the last of it.
void KvStoreService::import() {
    try {
        old_ = store::read_legacy_store(setup_.folder);
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

void KvStoreService::import_next() {
    const auto again = [this] {
        next_import_ = loop_.timers().schedule(loop_.clock().now() + kImportRetryDelay, [this] {
            next_import_.reset();
            import_next();
        });
    };
    if (!consensus_.is_known()) return again();
    const kv_store::State& state = consensus_.kv_store();
    if (state.find(kImportMarkerKey)) return old_.reset();
    kv_store::Transaction change{{}, transport_.membership().self().name, 0};
    bool last = true;
    for (const auto& [key, value] : old_->values) {
        if (state.find(key) || key == "store/leader") continue;  // what was set since goes before it
        last = change.operations.size() + 1 < kv_store::kMaxOperations;
        if (!last) break;
        change.operations.push_back({key, kv_store::OperationKind::set, value, 0, 0});
    }
    if (last)
        change.operations.push_back({kImportMarkerKey, kv_store::OperationKind::set, setup_.folder, 0, 0});
    const std::weak_ptr<bool> alive = alive_;
    consensus_.submit_change(change, [this, alive, again, last](const std::optional<CommandResult>& answer) {
        if (alive.expired()) return;
        if (answer && answer->outcome == Outcome::rejected) {
            // One that can't be kept must not hold up the rest for ever: named, and left out.
            const std::string key = answer->reason.substr(0, answer->reason.find(':'));
            log::warn("store: {}", answer->reason);
            old_->values.erase(key);
        }
        if (answer && answer->outcome == Outcome::granted && last)
            return log::info("store: {} keys of {} are taken over", old_->values.size(), setup_.folder);
        again();
    });
}

std::optional<admin::ApiReply> KvStoreService::handle_call(const admin::ApiCall& call,
                                                           const admin_server::DeferredReply& later) {
    constexpr std::string_view kHead = "/ops/purge/";
    if (call.path == "/ops/purge") {
        if (call.method != "GET") return admin::ApiReply{405, "GET alone\n", false};
        progress(later);
        return std::nullopt;
    }
    if (call.method != "POST") return admin::ApiReply{405, "POST alone\n", false};
    const std::string_view rest = call.path.substr(std::min(kHead.size(), call.path.size()));
    const auto slash = rest.find('/');
    const std::string_view kind = rest.substr(0, slash);
    const std::string_view what =
        slash == std::string_view::npos ? std::string_view{} : rest.substr(slash + 1);
    kv_store::Purge purge;
    purge.by = transport_.membership().self().name;
    const auto number = what.substr(0, what.find('/'));
    const auto read = std::from_chars(number.data(), number.data() + number.size(), purge.purge_group);
    const bool numbered =
        read.ec == std::errc{} && read.ptr == number.data() + number.size() && purge.purge_group >= 0;
    const bool whole = kind == "group" && numbered && number.size() == what.size();
    const bool single = kind == "object" && numbered && what.size() > number.size() + 1;
    if (!whole && !single) return admin::ApiReply{400, "group/NUMBER or object/GROUP/ID is wanted\n", false};
    if (single) purge.object = what.substr(number.size() + 1);
    consensus_.submit_purge(purge, [later](const std::optional<CommandResult>& answer) {
        if (!answer) return later({503, "no majority of the voters answered, call again\n", false});
        if (answer->outcome != Outcome::granted)
            return later({409, fmt::format("{}\n", answer->reason), false});
        later({200, fmt::format("purge {}\n", answer->number), false});
    });
    return std::nullopt;
}

// Which purge each member has taken, asked of all at once; those that do not answer in time have none.
void KvStoreService::progress(const admin_server::DeferredReply& later) {
    struct Asked {
        Json::Value root;
        std::size_t open = 1;
        admin_server::DeferredReply later;
        void end() {
            if (--open == 0) later({200, base::to_json_line(root), false});
        }
    };
    const auto asked = std::make_shared<Asked>();
    asked->later = later;
    asked->root["last"] = Json::UInt64{consensus_.kv_store().last_purge()};
    asked->root["members"][transport_.membership().self().name] =
        Json::UInt64{consensus_.kv_store().last_purge()};
    for (const cluster::MemberView& seen : transport_.membership().members()) {
        if (seen.state == cluster::State::left) continue;
        const std::string& name = seen.record.name;
        asked->root["members"][name] = Json::Value();
        ++asked->open;
        transport_.call(
            name, kRevisionCall, {}, kProgressTimeout, [asked, name](std::optional<std::string> body) {
                std::uint64_t number = 0;
                if (body &&
                    std::from_chars(body->data(), body->data() + body->size(), number).ec == std::errc{})
                    asked->root["members"][name] = Json::UInt64{number};
                asked->end();
            });
    }
    asked->end();
}

}  // namespace sumackeel::daemon
