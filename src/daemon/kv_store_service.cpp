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

constexpr const char* kRevisionCall = "registry";  // between proxies: asks for a proxy's newest purge
constexpr const char* kImportMarkerKey = "fleet/store_imported";  // set once the import is complete
// A leader notifies the others of a purge in batches: they then poll for it at once instead of within their
// poll interval of a quarter of a second, or, for a voter, within a heartbeat.
constexpr const char* kPurgeNotificationCall = "registry-news";
constexpr std::size_t kPurgeNotificationBatch = 50;
constexpr Micros kPurgeNotificationInterval = 10'000;
constexpr Micros kPurgeNotificationTimeout = 500'000;
constexpr Micros kMinCopyAge = 1'000;  // 0 would be no limit
constexpr Micros kImportRetryDelay = 1'000'000;
constexpr Micros kProgressTimeout = 800'000;  // operators' calls are answered within 1 s
constexpr std::size_t kMaxListedKeys = 1'000;

Json::Value json_field(const char* name, const Json::Value& value) {
    Json::Value object;
    object[name] = value;
    return object;
}

std::string text_field(const Json::Value& request, const char* name) {
    if (!request[name].isString())
        throw DaemonError(DaemonErrorCode::invalid_store_request, std::string(name) + " is no text");
    return request[name].asString();
}

Json::Value entry_json(const std::string& key, const kv_store::Entry& entry) {
    Json::Value value;
    value["key"] = key;
    value["version"] = Json::UInt64{entry.version};
    value["value"] = entry.value;
    if (entry.expires_at > 0) value["until_s"] = static_cast<double>(entry.expires_at) / 1e6;
    return value;
}

Json::Value rejection_json(const std::optional<CommandResult>& result) {
    return json_field("refused", result ? result->reason : "no majority of the voters answered, ask again");
}

Json::Value change_json(const std::optional<CommandResult>& result) {
    const bool granted = result && result->outcome == Outcome::granted;
    Json::Value value = json_field("outcome", !result ? "unknown" : granted ? "done" : "conflict");
    if (result) value["version"] = Json::UInt64{result->number};
    if (result && !granted) value["reason"] = result->reason;
    return value;
}

// The change that a request with `set` or `remove` wants. Throws DaemonError.
kv_store::Operation requested_operation(const Json::Value& request) {
    const bool removes = request.isMember("remove");
    kv_store::Operation operation;
    operation.kind = removes ? kv_store::OperationKind::remove : kv_store::OperationKind::set;
    operation.key = text_field(request, removes ? "remove" : "set");
    if (!removes) operation.value = text_field(request, "value");
    if (request.isMember("version")) {
        if (!request["version"].isUInt64())
            throw DaemonError(DaemonErrorCode::invalid_store_request, "version is no whole number");
        operation.expected_version = request["version"].asUInt64();
    }
    if (request.isMember("lasts_s")) {
        if (!request["lasts_s"].isNumeric())
            throw DaemonError(DaemonErrorCode::invalid_store_request, "lasts_s is no number");
        operation.time_to_live =
            static_cast<Micros>(std::clamp(request["lasts_s"].asDouble(), 0.001, 1e9) * 1e6);
    }
    return operation;
}

}  // namespace

KvStoreService::KvStoreService(net::Loop& loop, net::SocketBudget& sockets,
                               cluster_transport::ClusterTransport& transport,
                               consensus::ConsensusClient& client, const config::Store& setup,
                               PurgeOptions purges)
    : loop_(loop),
      transport_(transport),
      consensus_(client),
      setup_(setup),
      max_confirmed_age_(purges.max_confirmed_age),
      replicator_(loop, client, transport.membership().self().name,
                  {.retention = purges.retention, .on_purge = std::move(purges.on_purge)}),
      api_(
          loop, sockets, setup.listen,
          [this](const Json::Value& request, base::Micros received_at,
                 const store::StoreApi::Answer& respond) { handle_request(request, received_at, respond); }) {
    consensus_.on_kv_store_change([this] { on_log_changed(); });
    transport_.on_call(kRevisionCall, [this](const std::string&, const std::string&, const std::string&,
                                             const cluster_transport::ClusterTransport::Respond& respond) {
        respond(std::to_string(consensus_.kv_store().last_purge()));
    });
    transport_.on_call(kPurgeNotificationCall,
                       [this](const std::string& sender, const std::string&, const std::string&,
                              const cluster_transport::ClusterTransport::Respond& respond) {
                           respond({});
                           consensus_.poll_now(sender);
                       });
    if (!setup_.folder.empty() && store::has_legacy_store(setup_.folder)) import_legacy_store();
    on_log_changed();
}

KvStoreService::~KvStoreService() {
    alive_.reset();
    consensus_.on_kv_store_change({});
    for (const char* verb : {kRevisionCall, kPurgeNotificationCall}) transport_.remove_call_handler(verb);
    if (import_timer_) loop_.timers().cancel(*import_timer_);
}

std::optional<std::string> KvStoreService::get(const std::string& key) const {
    const kv_store::Entry* entry = consensus_.kv_store().find(key);
    return entry ? std::optional(entry->value) : std::nullopt;
}

// A copy that was filled since the last confirmation may have been purged since, too. One that is younger
// than the time within which a purge has to take effect can be accepted whatever was purged.
core::PurgeKnowledge KvStoreService::purge_knowledge() const {
    const auto confirmed_at = consensus_.confirmed_at();
    return {.valid_until = confirmed_at ? *confirmed_at + max_confirmed_age_ : 0,
            .max_copy_age_afterwards = std::max(kMinCopyAge, max_confirmed_age_)};
}

// The time at which a purge was submitted is by another machine's clock, which may differ widely from the
// local one. So a purge counts as received now, which is never too early.
void KvStoreService::on_log_changed() {
    const kv_store::State& state = consensus_.kv_store();
    if (state.last_purge() < notified_purge_)
        notified_purge_ = 0;  // the log was replaced: all of its purges are new
    const auto newer = std::upper_bound(
        state.purges().begin(), state.purges().end(), notified_purge_,
        [](std::uint64_t number, const kv_store::Purge& purge) { return number < purge.number; });
    const bool has_new = newer != state.purges().end();
    const bool has_new_of_operator = std::any_of(
        newer, state.purges().end(), [](const kv_store::Purge& purge) { return purge.origin_time == 0; });
    std::for_each(newer, state.purges().end(), [&](const kv_store::Purge& purge) {
        replicator_.on_replicated(purge, state.purges().back());
    });
    notified_purge_ = std::max(notified_purge_, state.last_purge());
    if (!has_new || !consensus_.is_leader()) return;
    consensus_.replicate_now();
    // Members learn of the others from their own change logs, or from the next confirm query.
    if (!has_new_of_operator) return;
    auto names = std::make_shared<std::vector<std::string>>();
    for (const cluster::MemberView& member : transport_.membership().members())
        if (member.state == cluster::State::alive || member.state == cluster::State::suspect)
            names->push_back(member.record.name);
    notify_members(names);
}

void KvStoreService::notify_members(const std::shared_ptr<std::vector<std::string>>& names) {
    for (std::size_t i = 0; i < kPurgeNotificationBatch && !names->empty(); ++i) {
        transport_.call(names->back(), kPurgeNotificationCall, {}, kPurgeNotificationTimeout,
                        [](const auto&) {});
        names->pop_back();
    }
    if (names->empty()) return;
    const std::weak_ptr<bool> alive = alive_;
    loop_.timers().schedule(loop_.clock().now() + kPurgeNotificationInterval, [this, alive, names] {
        if (!alive.expired()) notify_members(names);
    });
}

void KvStoreService::handle_request(const Json::Value& request, base::Micros received_at,
                                    const store::StoreApi::Answer& respond) {
    if (request.isMember("promote")) return promote(respond);
    if (request.isMember("list")) return respond(list_json(text_field(request, "list")));
    if (!request.isMember("get")) return change(request, received_at, respond);
    const std::string key = text_field(request, "get");
    if (request["sure"].asBool()) return read_from_majority(key, respond);
    respond(local_json(key));
}

void KvStoreService::promote(const store::StoreApi::Answer& respond) {
    consensus_.take_leadership([respond](const std::optional<CommandResult>& result) {
        if (!result || result->outcome != Outcome::granted) return respond(rejection_json(result));
        respond(json_field("promoted", Json::UInt64{result->number}));
    });
}

// The keys with this prefix, as known here.
Json::Value KvStoreService::list_json(const std::string& prefix) const {
    Json::Value all = json_field("keys", Json::Value(Json::arrayValue));
    const auto& entries = consensus_.kv_store().entries();
    for (auto at = entries.lower_bound(prefix); at != entries.end() && at->first.starts_with(prefix); ++at) {
        if (all["keys"].size() >= kMaxListedKeys) {
            all["more"] = true;
            break;
        }
        all["keys"].append(entry_json(at->first, at->second));
    }
    return all;
}

// One key as known here, and when that was last confirmed.
Json::Value KvStoreService::local_json(const std::string& key) const {
    const kv_store::Entry* entry = consensus_.kv_store().find(key);
    Json::Value value = json_field("version", Json::UInt64{entry ? entry->version : 0});
    if (entry) value["value"] = entry->value;
    value["revision"] = Json::UInt64{consensus_.kv_store().revision()};
    if (const auto age = consensus_.confirmed_age()) value["age_s"] = static_cast<double>(*age) / 1e6;
    return value;
}

void KvStoreService::read_from_majority(const std::string& key, const store::StoreApi::Answer& respond) {
    consensus_.read(key, [respond](const std::optional<CommandResult>& result) {
        if (!result) return respond(rejection_json(result));
        Json::Value value = json_field("version", Json::UInt64{result->number});
        if (result->outcome == Outcome::granted) value["value"] = result->reason;
        respond(value);
    });
}

void KvStoreService::change(const Json::Value& request, base::Micros received_at,
                            const store::StoreApi::Answer& respond) {
    consensus_.submit_change(
        {{requested_operation(request)}, transport_.membership().self().name, 0},
        [respond](const std::optional<CommandResult>& result) { respond(change_json(result)); }, received_at);
}

// Imports the old store once, on the member that was its primary. The import marker is written together with
// the last keys.
void KvStoreService::import_legacy_store() {
    try {
        legacy_store_ = store::read_legacy_store(setup_.folder);
    } catch (const std::exception& error) {
        return log::error("store: import failed folder={} reason={}", setup_.folder, error.what());
    }
    const std::string old_primary = legacy_store_->leader.empty() ? setup_.primary : legacy_store_->leader;
    if (old_primary != setup_.name) {
        log::info("store: import skipped primary={} reason=only the folder of the old primary is imported",
                  old_primary);
        return legacy_store_.reset();
    }
    import_next_batch();
}

void KvStoreService::import_next_batch() {
    const auto retry = [this] {
        import_timer_ = loop_.timers().schedule(loop_.clock().now() + kImportRetryDelay, [this] {
            import_timer_.reset();
            import_next_batch();
        });
    };
    if (!consensus_.is_known()) return retry();
    const kv_store::State& state = consensus_.kv_store();
    if (state.find(kImportMarkerKey)) return legacy_store_.reset();
    kv_store::Transaction change{{}, transport_.membership().self().name, 0};
    bool last = true;
    for (const auto& [key, value] : legacy_store_->values) {
        if (state.find(key) || key == "store/leader")
            continue;  // a value that was set since takes precedence
        last = change.operations.size() + 1 < kv_store::kMaxOperations;
        if (!last) break;
        change.operations.push_back({key, kv_store::OperationKind::set, value, 0, 0});
    }
    if (last)
        change.operations.push_back({kImportMarkerKey, kv_store::OperationKind::set, setup_.folder, 0, 0});
    const std::weak_ptr<bool> alive = alive_;
    consensus_.submit_change(change, [this, alive, retry, last](const std::optional<CommandResult>& result) {
        if (alive.expired()) return;
        if (result && result->outcome == Outcome::rejected) {
            // A key that can't be stored must not block the others for ever: it is logged and skipped.
            const std::string key = result->reason.substr(0, result->reason.find(':'));
            log::warn("store: import rejected reason={}", result->reason);
            legacy_store_->values.erase(key);
        }
        if (result && result->outcome == Outcome::granted && last)
            return log::info("store: imported keys={} folder={}", legacy_store_->values.size(),
                             setup_.folder);
        retry();
    });
}

std::optional<admin::ApiReply> KvStoreService::handle_call(const admin::ApiCall& call,
                                                           const admin_server::DeferredReply& respond_later) {
    constexpr std::string_view kPathPrefix = "/ops/purge/";
    if (call.path == "/ops/purge") {
        if (call.method != "GET") return admin::ApiReply{405, "GET alone\n", false};
        report_progress(respond_later);
        return std::nullopt;
    }
    if (call.method != "POST") return admin::ApiReply{405, "POST alone\n", false};
    const std::string_view target = call.path.substr(std::min(kPathPrefix.size(), call.path.size()));
    const auto slash = target.find('/');
    const std::string_view kind = target.substr(0, slash);
    const std::string_view id =
        slash == std::string_view::npos ? std::string_view{} : target.substr(slash + 1);
    kv_store::Purge purge;
    purge.by = transport_.membership().self().name;
    const auto number = id.substr(0, id.find('/'));
    const auto read = std::from_chars(number.data(), number.data() + number.size(), purge.purge_group);
    const bool numbered =
        read.ec == std::errc{} && read.ptr == number.data() + number.size() && purge.purge_group >= 0;
    const bool whole_group = kind == "group" && numbered && number.size() == id.size();
    const bool single_object = kind == "object" && numbered && id.size() > number.size() + 1;
    if (!whole_group && !single_object)
        return admin::ApiReply{400, "group/NUMBER or object/GROUP/ID is wanted\n", false};
    if (single_object) purge.object = id.substr(number.size() + 1);
    consensus_.submit_purge(
        purge,
        [respond_later](const std::optional<CommandResult>& result) {
            if (!result)
                return respond_later({503, "no majority of the voters answered, call again\n", false});
            if (result->outcome != Outcome::granted)
                return respond_later({409, fmt::format("{}\n", result->reason), false});
            respond_later({200, fmt::format("purge {}\n", result->number), false});
        },
        call.received_at);
    return std::nullopt;
}

// Reports the newest purge that each member has applied. All are asked at once; a member that does not answer
// in time is reported with null.
void KvStoreService::report_progress(const admin_server::DeferredReply& respond_later) {
    struct ProgressQuery {
        Json::Value root;
        std::size_t pending = 1;
        admin_server::DeferredReply respond_later;
        void finish_one() {
            if (--pending == 0) respond_later({200, base::to_json_line(root), false});
        }
    };
    const auto query = std::make_shared<ProgressQuery>();
    query->respond_later = respond_later;
    query->root["last"] = Json::UInt64{consensus_.kv_store().last_purge()};
    query->root["members"][transport_.membership().self().name] =
        Json::UInt64{consensus_.kv_store().last_purge()};
    for (const cluster::MemberView& member : transport_.membership().members()) {
        if (member.state == cluster::State::left) continue;
        const std::string& name = member.record.name;
        query->root["members"][name] = Json::Value();
        ++query->pending;
        transport_.call(
            name, kRevisionCall, {}, kProgressTimeout, [query, name](std::optional<std::string> body) {
                std::uint64_t number = 0;
                if (body &&
                    std::from_chars(body->data(), body->data() + body->size(), number).ec == std::errc{})
                    query->root["members"][name] = Json::UInt64{number};
                query->finish_one();
            });
    }
    query->finish_one();
}

}  // namespace sumackeel::daemon
