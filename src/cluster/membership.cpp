#include "cluster/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sumackeel::cluster {

namespace {

// A dead member is asked once in so many turns, so that halves that were apart find each other again.
constexpr std::uint64_t kAskDeadEvery = 4;
// Confirmations beyond the first voice that bring a suspicion down to its shortest (Lifeguard's K).
constexpr double kConfirmations = 3;
// Of the direct time-out: when one who asks for another says that no answer came, still in time for it.
constexpr double kNackAt = 0.8;
constexpr std::size_t kMostProbes = 256;  // on others' behalf; beyond it they are not taken on
constexpr int kLapse = 3;                 // a doubt not said anew for this many times its renewal is over
constexpr int kLeaveTold = 8;             // members that are told of a leave at once
constexpr std::uint64_t kShareEvery = 5;  // turns between two looks at the counts

std::string word_key(const std::string& name) {
    return "w " + name;
}
std::string doubt_key(const Suspicion& doubt) {
    return "d " + doubt.subject + ' ' + doubt.suspector;
}

bool add(std::vector<std::string>& tellers, const std::string& teller) {
    if (std::find(tellers.begin(), tellers.end(), teller) != tellers.end()) return false;
    tellers.push_back(teller);
    return true;
}

std::uint64_t mixed(std::uint64_t hash, std::string_view text) {  // FNV-1a
    for (const unsigned char letter : text) hash = (hash ^ letter) * 0x100000001b3ULL;
    return (hash ^ 0xff) * 0x100000001b3ULL;
}

}  // namespace

const char* name_of(State state) {
    switch (state) {
        case State::joining:
            return "joining";
        case State::alive:
            return "alive";
        case State::suspect:
            return "suspect";
        case State::dead:
            return "dead";
        case State::left:
            return "left";
    }
    return "?";
}

Membership::Membership(const Options& options, const MemberRecord& self, std::uint64_t seed, Micros now)
    : options_(options), self_(self), rng_(seed), now_(now), cluster_size_(options.settle) {
    self_.phase = Phase::joining;
    due_ = next_probe_ = now + jittered(options_.period) / 2;
    next_exchange_ = now + jittered(options_.exchange_every);
}

// What a late call tells: this process did not run. What it was waiting for may have come and gone, so no
// probe of before is judged, and each suspicion starts over.
void Membership::notice(Micros now) {
    now_ = std::max(now_, now);
    const Micros late = now_ - due_;
    if (!options_.lifeguard || late <= options_.period / 2) return;
    due_ = now_;
    worse(1);
    if (late <= options_.period) return;
    ++metrics_.pauses;
    asked_anew_ = now_;
    probes_.clear();
    next_probe_ = now_;
    for (const std::string& name : doubted_) {
        Member& member = members_.at(name);
        if (member.pressed) member.pressed = now_;
    }
}

void Membership::tick(Micros now) {
    notice(now);
    if (displaced_ || self_.phase == Phase::left) {
        due_ = now_ + options_.period;
        return;
    }
    look_at_probes();
    judge_all();
    if (now_ >= next_probe_) next_probe();
    if (now_ >= next_exchange_) pick_exchange();
    due_ = next_probe_;
    for (const auto& [number, probe] : probes_)
        due_ = std::min(due_, probe.asked_others ? probe.ends : std::min(probe.ask_at, probe.ends));
    due_ = std::max(due_, now_);
}

void Membership::next_probe() {
    ++turn_;
    next_probe_ = now_ + jittered(slow(options_.period));
    while (!round_.empty() || !members_.empty()) {
        if (round_.empty()) {
            for (const auto& [name, member] : members_)
                if (probed(member)) round_.push_back(name);
            if (round_.empty()) break;
            std::shuffle(round_.begin(), round_.end(), rng_);
        }
        const std::string target = std::move(round_.back());
        round_.pop_back();
        const auto found = members_.find(target);
        if (found == members_.end() || !probed(found->second)) continue;
        probe(target);
        break;
    }
    // Beside the round: one that we doubt, or that we have not asked since a pause, so that a doubt that no
    // longer holds is taken back within a few turns at any size.
    std::vector<std::string> some;
    for (const std::string& name : doubted_) {
        const Member& member = members_.at(name);
        if (probed(member) && (doubts(member) || member.asked_at < asked_anew_)) some.push_back(name);
    }
    if (!some.empty() && options_.lifeguard) probe(some[rng_() % some.size()]);
    for (const std::string& name : std::exchange(missed_, {})) {
        const auto found = members_.find(name);
        if (found != members_.end() && found->second.missed && probed(found->second)) probe(name);
    }
    if (turn_ % kAskDeadEvery == 0) {
        some.clear();
        for (const auto& [name, member] : members_)
            if (member.dead && !member.forgotten && member.word.phase != Phase::left) some.push_back(name);
        if (!some.empty()) probe(some[rng_() % some.size()]);
    }
    if (turn_ % kShareEvery == 1) count();
}

// Once in some turns: who is to be forgotten, and how many there are by zone.
void Membership::count() {
    std::map<std::string, int> there{{self_.zone, 1}}, known{{self_.zone, 1}};
    for (auto& [name, member] : members_) {
        const bool left = member.word.phase == Phase::left;
        if (!member.forgotten && (member.dead || left) && now_ - member.gone_since >= options_.forget) {
            member.forgotten = true;
            size_ = 0;
        }
        if (left || member.forgotten) continue;
        ++known[member.word.zone];
        if (!member.dead) ++there[member.word.zone];
    }
    cluster_size_.update(now_, side() != PartitionSide::minority, there, known);
}

void Membership::probe(const std::string& target) {
    const std::uint64_t number = ++numbers_;
    Probe& probe = probes_[number];
    probe.target = target;
    probe.sent = now_;
    probe.ask_at = now_ + slow(options_.probe_timeout);
    probe.ends = now_ + slow(options_.period);
    ++metrics_.probes;
    send(members_.at(target), {.kind = MessageKind::ping, .number = number}, SendPriority::ping);
}

void Membership::look_at_probes() {
    std::vector<std::uint64_t> due;
    for (const auto& [number, probe] : probes_)
        if (now_ >= (probe.asked_others ? probe.ends : std::min(probe.ask_at, probe.ends)))
            due.push_back(number);
    for (const std::uint64_t number : due) {
        Probe& probe = probes_.at(number);
        if (!probe.for_whom.empty()) {
            const auto asker = members_.find(probe.for_whom);
            if (asker != members_.end() && options_.lifeguard)
                send(asker->second,
                     {.kind = MessageKind::nack, .number = probe.their_number, .subject = probe.target},
                     SendPriority::indirect);
            probes_.erase(number);
        } else if (now_ >= probe.ends) {
            const Probe over = std::move(probe);
            probes_.erase(number);
            failed(over);
        } else {
            probe.asked_others = true;
            const auto target = members_.find(probe.target);
            if (target == members_.end() || target->second.dead) continue;
            probe.asked = helpers(probe.target, target->second.through);
            ++metrics_.indirect;
            for (const std::string& helper : probe.asked)
                send(members_.at(helper),
                     {.kind = MessageKind::ping_request, .number = number, .subject = probe.target},
                     SendPriority::indirect);
        }
    }
}

// Whom to ask for a try at `but`: first who reached it last time, then by chance.
std::vector<std::string> Membership::helpers(const std::string& but, const std::string& first) {
    std::vector<std::string> all, chosen;
    for (const auto& [name, member] : members_)
        if (name != but && name != first && probed(member) && member.shown != State::suspect)
            all.push_back(name);
    std::shuffle(all.begin(), all.end(), rng_);
    const auto known = members_.find(first);
    if (options_.lifeguard && known != members_.end() && probed(known->second)) chosen.push_back(first);
    for (std::string& name : all) {
        if (static_cast<int>(chosen.size()) >= options_.indirect) break;
        chosen.push_back(std::move(name));
    }
    return chosen;
}

void Membership::failed(const Probe& probe) {
    const auto found = members_.find(probe.target);
    if (found == members_.end()) return;
    Member& member = found->second;
    member.asked_at = now_;
    if (!probed(member)) return;
    ++metrics_.failed;
    member.direct = false;
    // Helpers that say nothing either are a sign that it is us who don't hear; the known silence of one that
    // is doubted already is none.
    if (!doubted_.contains(probe.target) &&
        (probe.asked.empty() || probe.nacks < static_cast<int>(probe.asked.size())))
        worse(1);
    // Danger: who hears all and is heard by none would doubt everybody. What came from it meanwhile is proof.
    if (options_.lifeguard && member.heard >= probe.sent) return;
    // Where messages get lost one failure says little: asked again in the next turn, before it is said aloud.
    if (options_.lifeguard && !member.missed && !doubted_.contains(probe.target)) {
        member.missed = true;
        missed_.push_back(probe.target);
        return;
    }
    own_doubt(member, true);
}

void Membership::answered(Member& member, const std::string& through) {
    member.asked_at = now_;
    member.missed = false;
    member.direct = through.empty();
    member.through = through;
    local_health_ = std::max(0, local_health_ - 1);
    own_doubt(member, false);
}

bool Membership::doubts(const Member& member) const {
    const Voice* own = voice_of(member, self_.name);
    return own && own->counts && own->doubt.active;
}

void Membership::own_doubt(Member& about, bool on) {
    const bool have = doubts(about);
    if (!on && !have) return;
    // Said again while it holds, at once where the member has answered it, but not in each turn.
    const bool answered =
        on && have && about.voices.at(self_.name).doubt.incarnation < about.word.incarnation;
    const Micros again = answered ? 2 * options_.period : renew_after();
    if (on && have && now_ - about.doubted_at < again) return;
    if (on) about.doubted_at = now_;
    const Suspicion doubt{.suspector = self_.name,
                          .subject = about.word.name,
                          .suspector_start = self_.incarnation.start,
                          .incarnation = about.word.incarnation,
                          .number = ++doubts_,
                          .active = on};
    set_voice(about, doubt, self_.name);
}

void Membership::receive(Micros now, const Datagram& datagram) {
    notice(now);
    if (displaced_ || self_.phase == Phase::left || datagram.from == self_.name) return;
    if (datagram.records.empty() || datagram.records.front().name != datagram.from) {
        ++metrics_.refused;
        return;
    }
    for (const MemberRecord& word : datagram.records) take_word(word, datagram.from);
    const auto found = members_.find(datagram.from);
    if (displaced_ || found == members_.end()) return;
    Member& sender = found->second;
    // An old datagram of an earlier life says nothing of this one.
    if (datagram.records.front().incarnation.start < sender.word.incarnation.start) return;
    sender.heard = now_;
    if (options_.lifeguard && !sender.dead) {
        sender.missed = false;
        own_doubt(sender, false);
    }
    for (const Suspicion& doubt : datagram.suspicions) take_doubt(doubt, datagram.from);
    switch (datagram.kind) {
        case MessageKind::ping:
            send(sender, {.kind = MessageKind::ack, .number = datagram.number}, SendPriority::ping);
            break;
        case MessageKind::ping_request: {
            const auto target = members_.find(datagram.subject);
            if (target == members_.end() || probes_.size() >= kMostProbes) break;
            const std::uint64_t number = ++numbers_;
            Probe& probe = probes_[number];
            probe.target = datagram.subject;
            probe.sent = now_;
            probe.ask_at = probe.ends =
                now_ + static_cast<Micros>(kNackAt * static_cast<double>(options_.probe_timeout));
            probe.for_whom = datagram.from;
            probe.their_number = datagram.number;
            due_ = std::min(due_, probe.ends);
            send(target->second, {.kind = MessageKind::ping, .number = number}, SendPriority::indirect);
            break;
        }
        case MessageKind::ack: {
            const auto asked = probes_.find(datagram.number);
            if (asked == probes_.end()) break;  // late, or never asked
            const Probe probe = asked->second;
            if (!probe.for_whom.empty()) {
                if (probe.target != datagram.from) break;
                probes_.erase(asked);
                sender.direct = true;
                if (const auto asker = members_.find(probe.for_whom); asker != members_.end())
                    send(asker->second,
                         {.kind = MessageKind::ack, .number = probe.their_number, .subject = probe.target},
                         SendPriority::indirect);
            } else if (probe.target == datagram.from) {
                probes_.erase(asked);
                answered(sender, {});
            } else if (datagram.subject == probe.target && std::find(probe.asked.begin(), probe.asked.end(),
                                                                     datagram.from) != probe.asked.end()) {
                probes_.erase(asked);
                if (const auto target = members_.find(probe.target); target != members_.end())
                    answered(target->second, datagram.from);
            }
            break;
        }
        case MessageKind::nack: {
            const auto asked = probes_.find(datagram.number);
            if (asked != probes_.end() && asked->second.target == datagram.subject) ++asked->second.nacks;
            break;
        }
        case MessageKind::gossip:
            break;
    }
}

void Membership::merge(Micros now, const FullState& state) {
    notice(now);
    if (displaced_ || state.from == self_.name || state.records.empty() ||
        state.records.front().name != state.from)
        return;
    ++metrics_.merged;
    for (const MemberRecord& word : state.records) take_word(word, state.from);
    for (const Suspicion& doubt : state.suspicions) take_doubt(doubt, state.from);
    if (const auto found = members_.find(state.from); found != members_.end()) found->second.heard = now_;
    met_ = true;
}

void Membership::take_word(const MemberRecord& word, const std::string& teller) {
    if (word.name == self_.name) return take_own_name(word, teller);
    auto found = members_.find(word.name);
    if (found == members_.end()) {
        if (members_.size() >= kMaxMembers) {
            const auto old = std::find_if(members_.begin(), members_.end(),
                                          [](const auto& item) { return item.second.forgotten; });
            if (old == members_.end()) {
                ++metrics_.refused;
                return;
            }
            doubted_.erase(old->first);
            members_.erase(old);
        }
        found = members_.emplace(word.name, Member{}).first;
        found->second.word = word;
        found->second.gone_since = now_;
        found->second.since = now_;
        found->second.shown = State::joining;
        size_ = 0;
        round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(rng_() % (round_.size() + 1)), word.name);
        spread(word_key(word.name));
        show(found->second);
        return;
    }
    Member& member = found->second;
    if (word.incarnation <= member.word.incarnation) return;
    // Danger: one member that is wrong could silence another by a start it never had, or by a leave it never
    // said. Heard at second hand both count only from as many as a death does.
    const bool grave = word.incarnation.start > member.word.incarnation.start || word.phase == Phase::left;
    if (grave && teller != word.name) {
        if (member.rumour.incarnation != word.incarnation || member.rumour.phase != word.phase) {
            if (word.incarnation < member.rumour.incarnation) return;
            member.rumour = word;
            member.rumour_tellers.clear();
        }
        add(member.rumour_tellers, teller);
        if (member.rumour_tellers.size() < votes()) return;
    }
    if (word.incarnation.start > member.word.incarnation.start) {
        member.voices.clear();
        doubted_.erase(word.name);
    }
    member.word = word;
    member.word_at = now_;
    member.pressed = 0;
    member.forgotten = false;
    size_ = 0;
    if (word.phase == Phase::left) member.gone_since = now_;
    if (member.dead) {
        member.dead = false;
        ++metrics_.revived;
        // What was said of it belongs to the death that is over; who still can't reach it will say so anew.
        for (auto& [by, voice] : member.voices) voice.doubt.active = false;
        // It was away: what it knows and we don't, and the other way round, is worth more than a datagram.
        if (word.phase != Phase::left) exchange_ = word.name;
    }
    spread(word_key(word.name));
    judge(member);
}

// Somebody speaks of a member by this one's name.
void Membership::take_own_name(const MemberRecord& word, const std::string& teller) {
    if (word.instance_id == self_.instance_id) {
        // Ours, as others hold it; one that is ahead of us was made up, and we go past it.
        if (word.incarnation.start == self_.incarnation.start &&
            word.incarnation.refutations > self_.incarnation.refutations)
            refute(word.incarnation.refutations);
        return;
    }
    if (word.incarnation.start < self_.incarnation.start) return;  // an earlier life
    // Another life with our start, or a later one. Before we met anybody it is an earlier life of ours whose
    // number our disk has lost, or a process that we replace: the newcomer goes past it. Later it is a
    // process that has gone past us, and two must not speak as one.
    if (!met_) {
        wants_start_ = std::max(wants_start_, word.incarnation.start + 1);
        return;
    }
    if (word.incarnation.start == self_.incarnation.start && word.instance_id < self_.instance_id) {
        wants_start_ = std::max(wants_start_, word.incarnation.start + 1);
        return;
    }
    if (word.phase == Phase::left) return;
    add(displaced_tellers_, teller);
    displaced_ = displaced_tellers_.size() >= votes();
}

void Membership::set_start(Micros now, std::uint64_t start) {
    notice(now);
    self_.incarnation = {start, 0};
    wants_start_ = 0;
}

void Membership::set_software_version(Micros now, const std::string& version) {
    if (version == self_.software_version) return;
    notice(now);
    self_.software_version = version;
    ++self_.incarnation.refutations;
}

void Membership::take_doubt(const Suspicion& doubt, const std::string& teller) {
    if (doubt.subject == self_.name) {
        if (doubt.active && doubt.incarnation.start == self_.incarnation.start &&
            doubt.incarnation.refutations >= self_.incarnation.refutations)
            refute(doubt.incarnation.refutations);
        return;
    }
    if (doubt.suspector == self_.name) return;  // our own come from us
    const auto about = members_.find(doubt.subject), by = members_.find(doubt.suspector);
    if (about == members_.end() || by == members_.end()) {
        ++metrics_.refused;
        return;
    }
    if (doubt.incarnation.start < about->second.word.incarnation.start ||
        doubt.suspector_start < by->second.word.incarnation.start)
        return;
    set_voice(about->second, doubt, teller);
}

// Danger: a voice counts when it comes from the one whose it is, or when as many as a death takes have told
// it; else one liar could speak for all.
void Membership::set_voice(Member& about, const Suspicion& doubt, const std::string& teller) {
    const auto age = [](const Suspicion& d) { return std::pair(d.suspector_start, d.number); };
    auto found = about.voices.find(doubt.suspector);
    if (found == about.voices.end()) {
        if (about.voices.size() >= kMaxSuspectors) {
            const auto idle = std::find_if(about.voices.begin(), about.voices.end(), [](const auto& item) {
                return !(item.second.counts && item.second.doubt.active);
            });
            if (idle == about.voices.end()) return;  // enough say so already
            about.voices.erase(idle);
        }
        found = about.voices.emplace(doubt.suspector, Voice{}).first;
    }
    Voice& voice = found->second;
    // Said again by its owner: it still holds, though it may have lapsed here.
    if (voice.counts && teller == doubt.suspector && age(doubt) == age(voice.doubt) && doubt.active) {
        voice.doubt.active = true;
        voice.counted_at = now_;
        return judge(about);
    }
    if (voice.counts && age(doubt) <= age(voice.doubt)) return;
    if (voice.told != doubt) {
        if (teller != doubt.suspector && age(doubt) < age(voice.told)) return;
        voice.told = doubt;
        voice.tellers.clear();
    }
    add(voice.tellers, teller);
    if (teller != doubt.suspector && voice.tellers.size() < votes()) return;
    voice.counts = true;
    voice.doubt = doubt;
    voice.counted_at = now_;
    spread(doubt_key(doubt));
    judge(about);
}

void Membership::refute(std::uint64_t over) {
    self_.incarnation.refutations = over + 1;
    if (over >= kMaxRefutations / 2)
        wants_start_ = self_.incarnation.start + 1;  // made up: a later start begins anew
    ++metrics_.refuted;
    worse(1);
}

std::vector<std::string> Membership::doubters(const Member& member, bool newest_word) const {
    std::vector<std::string> all;
    for (const auto& [by, voice] : member.voices) {
        if (!voice.counts || !voice.doubt.active) continue;
        if (newest_word && voice.doubt.incarnation < member.word.incarnation) continue;
        const auto other = members_.find(by);
        if (by == self_.name || (other != members_.end() && probed(other->second))) all.push_back(by);
    }
    return all;
}

Micros Membership::suspicion_of(std::size_t voices) const {
    // Probes are stretched by the health count in full; stretched as much here, a death would take minutes.
    const double shortest =
        static_cast<double>(renew_after()) * (1 + static_cast<double>(local_health_) / kWorstHealth);
    if (!options_.lifeguard) return static_cast<Micros>(shortest);
    const double most = std::min(kConfirmations, std::max(1.0, static_cast<double>(member_count()) - 2));
    const double share = std::min(1.0, std::log1p(static_cast<double>(voices) - 1) / std::log1p(most));
    return static_cast<Micros>(shortest *
                               (options_.suspicion_stretch - (options_.suspicion_stretch - 1) * share));
}

void Membership::judge(Member& member) {
    if (!member.dead && member.word.phase != Phase::left) {
        const std::size_t voices = doubters(member, true).size();
        if (voices == 0)
            member.pressed = 0;
        else if (member.pressed == 0)
            member.pressed = now_;
        const bool asked = !options_.lifeguard || asked_anew_ == 0 || member.asked_at >= asked_anew_;
        if (voices >= votes() && asked && now_ - member.pressed >= suspicion_of(voices)) {
            member.dead = true;
            member.gone_since = now_;
            ++metrics_.deaths;
            // Said anew: to those that still wait for voices, and to the member itself, should it hear.
            member.doubted_at = now_ - renew_after();
            own_doubt(member, true);
        }
    }
    show(member);
}

void Membership::show(Member& member) {
    const auto by = doubters(member, false);
    const State state = member.word.phase == Phase::left      ? State::left
                        : member.dead                         ? State::dead
                        : !by.empty()                         ? State::suspect
                        : member.word.phase == Phase::joining ? State::joining
                                                              : State::alive;
    if (by.empty())
        doubted_.erase(member.word.name);
    else
        doubted_.insert(member.word.name);
    if (state == member.shown) return;
    changes_.push_back({member.word.name, member.shown, state, by});
    member.shown = state;
    member.since = now_;
    size_ = 0;
}

void Membership::judge_all() {
    const std::vector<std::string> some(doubted_.begin(), doubted_.end());
    for (const std::string& name : some) {
        Member& member = members_.at(name);
        // A doubt that its owner no longer says has lapsed, though word of the end of it was lost; soon,
        // where the member has answered it meanwhile. It is kept as ended, so that others' old word of it is
        // known.
        for (auto& [by, voice] : member.voices) {
            const bool answered = voice.doubt.incarnation < member.word.incarnation;
            const Micros since = answered ? std::max(voice.counted_at, member.word_at) : voice.counted_at;
            if (by != self_.name && now_ - since > (answered ? 1 : kLapse) * renew_after())
                voice.doubt.active = false;
        }
        judge(member);
    }
}

// In which a doubt that holds is said anew: in a suspicion that others share, at least once.
Micros Membership::renew_after() const {
    return static_cast<Micros>(options_.suspicion * log_size() * static_cast<double>(options_.period));
}

void Membership::spread(const std::string& key) {
    const auto old = news_.find(key);
    if (old != news_.end()) {
        order_.erase({-old->second, key});
        news_.erase(old);
    }
    const int times = static_cast<int>(std::ceil(options_.retransmit * log_size()));
    news_[key] = times;
    order_.insert({-times, key});
}

void Membership::send(Member& to, Datagram datagram, SendPriority urgency) {
    datagram.from = self_.name;
    datagram.to = to.word.name;
    datagram.records.push_back(self_);
    std::size_t used = kFrameRoom + datagram.from.size() + datagram.to.size() + datagram.subject.size() +
                       max_encoded_size(self_);
    // The buddy: who is doubted hears of it with the first datagram that reaches it. A dead one hears it too,
    // and so can say that it lives.
    if (options_.lifeguard || to.dead)
        for (const auto& [by, voice] : to.voices)
            if (voice.counts && voice.doubt.active && voice.doubt.incarnation >= to.word.incarnation) {
                datagram.suspicions.push_back(voice.doubt);
                used += max_encoded_size(voice.doubt);
                break;
            }
    add_news(to, datagram, used);
    out_.push_back({to.word.address, std::move(datagram), urgency});
}

// News, the least told first; it ends once it was told as often as it is owed, or there is nothing left to
// tell.
void Membership::add_news(const Member& to, Datagram& datagram, std::size_t used) {
    if (to.dead) return;  // it would be told to nobody
    std::vector<std::pair<int, std::string>> told, over;
    for (const auto& [times, key] : order_) {
        if (key.starts_with("w ")) {
            const auto member = members_.find(key.substr(2));
            if (member == members_.end()) {
                over.emplace_back(times, key);
                continue;
            }
            const MemberRecord& word = member->second.word;
            if (used + max_encoded_size(word) > kMaxDatagramBytes) break;
            if (word.name != to.word.name) datagram.records.push_back(word), used += max_encoded_size(word);
        } else {
            const auto gap = key.find(' ', 2);
            const auto member = members_.find(key.substr(2, gap - 2));
            const auto* voice =
                member == members_.end() ? nullptr : voice_of(member->second, key.substr(gap + 1));
            if (!voice || !voice->counts) {
                over.emplace_back(times, key);
                continue;
            }
            if (used + max_encoded_size(voice->doubt) > kMaxDatagramBytes) break;
            datagram.suspicions.push_back(voice->doubt), used += max_encoded_size(voice->doubt);
        }
        told.emplace_back(times, key);
    }
    for (const auto& item : told) {
        order_.erase(item);
        if (--news_[item.second] <= 0)
            news_.erase(item.second);
        else
            order_.insert({item.first + 1, item.second});
    }
    for (const auto& item : over) order_.erase(item), news_.erase(item.second);
}

const Membership::Voice* Membership::voice_of(const Member& member, const std::string& by) {
    const auto found = member.voices.find(by);
    return found == member.voices.end() ? nullptr : &found->second;
}

std::uint64_t Membership::digest() const {
    std::map<std::string_view, const MemberRecord*> words{{self_.name, &self_}};
    for (const auto& [name, member] : members_)
        if (!member.forgotten) words[name] = &member.word;
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const auto& [name, word] : words) {
        hash = mixed(hash, name);
        hash = mixed(hash, std::to_string(word->incarnation.start) + ' ' +
                               std::to_string(word->incarnation.refutations) + ' ' +
                               std::to_string(static_cast<int>(word->phase)));
        const auto member = members_.find(word->name);
        if (member != members_.end() && member->second.dead) hash = mixed(hash, "dead");
    }
    return hash;
}

FullState Membership::full_state() const {
    FullState state{.from = self_.name, .records = {self_}, .suspicions = {}};
    for (const auto& [name, member] : members_) {
        if (member.forgotten) continue;
        state.records.push_back(member.word);
        for (const auto& [by, voice] : member.voices)
            if (voice.counts) state.suspicions.push_back(voice.doubt);
    }
    return state;
}

void Membership::pick_exchange() {
    next_exchange_ = now_ + jittered(options_.exchange_every);
    std::vector<std::string> all;
    for (const auto& [name, member] : members_)
        if (probed(member)) all.push_back(name);
    if (!all.empty()) exchange_ = all[rng_() % all.size()];
}

std::optional<std::string> Membership::take_exchange() {
    return std::exchange(exchange_, std::nullopt);
}

void Membership::mark_joined(Micros now) {
    notice(now);
    if (self_.phase != Phase::joining) return;
    self_.phase = Phase::alive;
    ++self_.incarnation.refutations;
}

void Membership::leave(Micros now) {
    notice(now);
    if (displaced_ || self_.phase == Phase::left) return;
    self_.phase = Phase::left;
    ++self_.incarnation.refutations;
    std::vector<std::string> all;
    for (const auto& [name, member] : members_)
        if (probed(member)) all.push_back(name);
    std::shuffle(all.begin(), all.end(), rng_);
    if (all.size() > kLeaveTold) all.resize(kLeaveTold);
    for (const std::string& name : all)
        send(members_.at(name), {.kind = MessageKind::gossip}, SendPriority::ping);
}

std::vector<MemberView> Membership::members() const {
    std::vector<MemberView> all;
    for (const auto& [name, member] : members_)
        if (!member.forgotten)
            all.push_back({.record = member.word,
                           .state = member.shown,
                           .since = member.since,
                           .last_heard = member.heard,
                           .suspectors = doubters(member, false),
                           .directly_reachable = member.direct});
    return all;
}

std::optional<State> Membership::state_of(const std::string& name) const {
    const auto found = members_.find(name);
    if (found == members_.end() || found->second.forgotten) return std::nullopt;
    return found->second.shown;
}

std::string Membership::address_of(const std::string& name) const {
    const auto found = members_.find(name);
    return found == members_.end() ? "" : found->second.word.address;
}

std::size_t Membership::member_count() const {
    if (size_ == 0) {
        size_ = 1;
        for (const auto& [name, member] : members_)
            size_ += !member.forgotten && member.word.phase != Phase::left ? 1 : 0;
    }
    return size_;
}

std::size_t Membership::reachable_count() const {
    std::size_t count = 1;
    for (const auto& [name, member] : members_) {
        if (!probed(member)) continue;
        // Of one that is doubted by anybody, only what we heard or asked ourselves since says otherwise.
        const bool heard = member.heard >= member.since || (member.direct && member.asked_at >= member.since);
        count += member.shown != State::suspect || (heard && !doubts(member)) ? 1 : 0;
    }
    return count;
}

PartitionSide Membership::side() const {
    if (member_count() <= 1) return PartitionSide::alone;
    return reachable_count() * 2 > member_count() ? PartitionSide::majority : PartitionSide::minority;
}

std::size_t Membership::votes() const {
    if (!options_.lifeguard) return 1;
    return std::min(static_cast<std::size_t>(options_.votes), std::max<std::size_t>(1, member_count() - 1));
}

bool Membership::probed(const Member& member) const {
    return !member.dead && !member.forgotten && member.word.phase != Phase::left;
}

double Membership::log_size() const {
    return std::max(1.0, std::log10(static_cast<double>(member_count())));
}

void Membership::worse(int by) {
    if (options_.lifeguard) local_health_ = std::min(kWorstHealth, local_health_ + by);
}

// Up to a tenth less: members that start together do not stay in step.
Micros Membership::jittered(Micros span) {
    return span - static_cast<Micros>(rng_() % static_cast<std::uint64_t>(std::max<Micros>(1, span / 10)));
}

}  // namespace sumackeel::cluster
