#include "consensus/consensus_server.h"

#include <optional>

#include "base/log.h"
#include "kv_store/purge_exchange.h"

namespace sumackeel::consensus {

ConsensusServer::ConsensusServer(base::Clock& clock, ClusterTransport& transport, LocalVoter& voter,
                                 const StateView& view, RequestProcessor& processor,
                                 const PurgeRelay& purge_relay)
    : clock_(clock),
      transport_(transport),
      voter_(voter),
      view_(view),
      processor_(processor),
      purge_relay_(purge_relay) {
    for (const char* verb : {kRequestVerb, kStateVerb})
        transport_.on_call(verb,
                           [this](const std::string& from, const std::string& called, const std::string& body,
                                  const Respond& respond) { on_call(from, called, body, respond); });
    transport_.on_query(kConfirmVerb, [this](const std::string& from, const std::string& query) {
        return confirm_reply(from, query);
    });
}

ConsensusServer::~ConsensusServer() {
    close();
}

void ConsensusServer::close() {
    for (const char* verb : {kRequestVerb, kStateVerb}) transport_.remove_call_handler(verb);
    transport_.remove_query_handlers(kConfirmVerb);
}

std::string ConsensusServer::own_leader() const {
    return voter_.votes() ? voter_.node().leader() : std::string{};
}

void ConsensusServer::on_call(const std::string& from, const std::string& verb, const std::string& body,
                              const Respond& respond) {
    const std::string leader = own_leader();
    const auto reject = [&] {
        respond(encode(ConsensusReply{.leader = leader, .body = {}, .refusal = Refusal::not_leading}));
    };
    if (!voter_.votes()) return reject();
    try {
        if (verb == kStateVerb) return respond(state_reply(decode_known_revision(body)));
        if (verb != kRequestVerb || !voter_.is_leader()) return reject();
        on_request(body, respond);
    } catch (const std::exception& error) {
        log::warn("consensus: call rejected member={} reason={}", from, error.what());
        reject();
    }
}

void ConsensusServer::on_request(const std::string& body, const Respond& respond) {
    const std::string self = transport_.membership().self().name;
    processor_.process(ConsensusRequest::decode(body), [respond, self](const RequestOutcome& outcome) {
        const bool done = outcome.result.has_value();
        const bool leads = done || outcome.token;
        respond(encode(ConsensusReply{.done = done,
                                      .leader = leads ? self : std::string{},
                                      .body = done ? rollout::encode(*outcome.result) : std::string{},
                                      .refusal = done ? std::nullopt : std::optional(outcome.refusal),
                                      .token = outcome.token}));
    });
}

// A revision of another history does not tell what that member is missing, so it gets the complete state.
std::string ConsensusServer::state_reply(const KnownRevision& known) const {
    const std::string leader = own_leader();
    const std::uint64_t history = voter_.node().history();
    const bool same_history = known.history == history;
    const bool outdated = !same_history || known.revision != view_.state().revision();
    const auto age = view_.confirmed_age(clock_.now());
    return encode(ConsensusReply{age.has_value(), leader, outdated ? view_.state().encode() : std::string{},
                                 history, view_.kv_store().update_since(same_history ? known.kv_store : 0),
                                 age});
}

// The age is as of now, after the query was received: by an earlier reading of the clock the asker would date
// the confirmation too late.
std::optional<std::string> ConsensusServer::confirm_reply(const std::string& from,
                                                          const std::string& query) const {
    try {
        purge_relay_.receive(kv_store::decode_purges(query));
    } catch (const std::exception& error) {
        log::warn("consensus: confirm query rejected member={} reason={}", from, error.what());
        return std::nullopt;
    }
    if (!voter_.votes()) return std::nullopt;
    return encode(ConfirmReply{.history = voter_.node().history(),
                               .last_stored = voter_.node().last_stored(),
                               .revision = view_.state().revision(),
                               .kv_store = view_.kv_store().revision(),
                               .confirmed_age = view_.confirmed_age(clock_.now()),
                               .leader = own_leader(),
                               .pending_purges = purge_relay_.to_send()});
}

}  // namespace sumackeel::consensus
