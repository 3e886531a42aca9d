// Who of the group of edge proxies is there, as one of them sees it: SWIM's probes and suspicion with
// Lifeguard's local health, and voices instead of verdicts (docs/design/group.md).
//
// Pure: times are microseconds of any clock that only runs on, chance comes from the seed, what is to be sent
// is taken out by the caller. The same calls give the same messages.
//
// Promises: nobody is called dead before `votes` different members have said for a whole suspicion that they
// can't reach it; a member's own fresher word wins over any number of voices; a dead member does not come
// back by an old word; after a pause of its own a member asks anew before it believes a death.
// Bounds: kMostMembers members, kMostVoices voices about each.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/cluster_size.h"
#include "cluster/messages.h"

namespace sumackeel::cluster {

constexpr std::size_t kMaxMembers = 4'096;
constexpr std::size_t kMaxSuspectors = 8;
constexpr int kWorstHealth = 8;  // the local health count goes from 0, sound, to this

enum class State { joining, alive, suspect, dead, left };
const char* name_of(State state);

struct Options {
    Micros period = 1'000'000;       // between two probes
    Micros probe_timeout = 400'000;  // for a direct answer; well under the period
    int indirect = 3;                // members asked to try where the direct answer fails to come
    int votes = 2;                   // voices that a death needs
    double suspicion = 4;            // shortest suspicion: this times log10 of the size, in periods
    double suspicion_stretch = 6;    // longest over shortest, with no other voice
    int retransmit = 4;              // news is told this many times log10 of the size
    Micros forget = 3'600'000'000;   // a dead or left member is remembered this long
    Micros exchange_every = 30'000'000;
    Micros settle = 60'000'000;  // in which a count that falls would fall to nothing (share.h)
    // Off: plain SWIM, the baseline of docs/bench/group.md. No local health, no shortened suspicion, no
    // buddy, no evidence by hearing, no care after pauses, and one voice is enough.
    bool lifeguard = true;
};

// One member for those who look.
struct MemberView {
    MemberRecord record;
    State state = State::joining;
    Micros since = 0;                     // in this state
    Micros last_heard = -1;               // when a datagram of its own came last; -1: never
    std::vector<std::string> suspectors;  // whose voices count now
    bool directly_reachable = true;       // answers our own probes; false: only through others, or not at all
};

enum class PartitionSide { alone, minority, majority };  // alone: no other member is known

struct MemberChange {  // for the log
    std::string member;
    State from = State::joining, to = State::joining;
    std::vector<std::string> suspectors;
};

struct Metrics {
    std::uint64_t probes = 0, failed = 0, indirect = 0, refuted = 0, pauses = 0, deaths = 0, revived = 0,
                  merged = 0, refused = 0;  // refused: words or doubts that could not be kept
};

class Membership {
  public:
    Membership(const Options& options, const MemberRecord& self, std::uint64_t seed, Micros now);

    // Does what is due. Call it at due(); late calls are noticed and read as a pause.
    void tick(Micros now);
    Micros due() const { return due_; }
    // An authenticated datagram to this member, not seen before.
    void receive(Micros now, const Datagram& datagram);
    // Exchanges of whole states. The digest is equal for members that know the same.
    std::uint64_t digest() const;
    FullState full_state() const;
    void merge(Micros now, const FullState& state);
    // With whom to exchange states now: set when one is due; taken once.
    std::optional<std::string> take_exchange();
    // The first exchange is done, or there is nobody to have one with.
    void mark_joined(Micros now);
    // Tells all reachable members, as far as a few datagrams go, that this one leaves.
    void leave(Micros now);

    std::vector<OutgoingDatagram> take_outgoing() { return std::exchange(out_, {}); }
    std::vector<MemberChange> take_changes() { return std::exchange(changes_, {}); }

    const MemberRecord& self() const { return self_; }
    // Another process uses this name with a later start; this one has gone silent.
    bool is_displaced() const { return displaced_; }
    // Its own start number is to be raised to this on disk, after which restarted() is called; 0: no.
    std::uint64_t requested_start() const { return wants_start_; }
    void set_start(Micros now, std::uint64_t start);
    // Runs another version from now on: a fresher word of its own.
    void set_software_version(Micros now, const std::string& version);
    int local_health() const { return local_health_; }
    std::vector<MemberView> members() const;
    std::optional<State> state_of(const std::string& name) const;
    std::string address_of(const std::string& name) const;  // empty: not known
    std::size_t member_count() const;     // members that neither left nor were forgotten, this one too
    std::size_t reachable_count() const;  // those of them that neither are dead nor doubted by this one
    PartitionSide side() const;
    const ClusterSize& cluster_size() const { return cluster_size_; }
    // What the settings say by zone, until the group knows better.
    void seed_cluster_size(const std::map<std::string, int>& by_zone) { cluster_size_.seed(by_zone); }
    const Metrics& metrics() const { return metrics_; }

  private:
    struct Voice {
        Suspicion doubt;                   // as it counts
        Suspicion told;                    // the newest heard of, which may not count yet
        std::vector<std::string> tellers;  // who told of that, up to as many as count
        Micros counted_at = 0;
        bool counts = false;
    };
    struct Member {
        MemberRecord word;
        std::map<std::string, Voice> voices;  // by whose they are
        State shown = State::joining;
        Micros since = 0, heard = -1, word_at = 0;
        Micros asked_at = -1;   // when a probe of ours last ended, one way or the other
        Micros pressed = 0;     // since when voices about the newest word count; 0: none
        Micros gone_since = 0;  // dead, or left
        Micros doubted_at = 0;  // our own last doubt
        bool dead = false, direct = true, forgotten = false, missed = false;
        std::string through;  // who reached it last where we did not
        MemberRecord rumour;  // a later start, or a leave, that too few have told yet
        std::vector<std::string> rumour_tellers;
    };
    struct Probe {
        std::string target;
        Micros sent = 0, ask_at = 0, ends = 0;
        std::vector<std::string> asked;
        int nacks = 0;
        bool asked_others = false;
        std::string for_whom;  // a probe on another's behalf; empty: our own
        std::uint64_t their_number = 0;
    };

    void notice(Micros now);
    void probe(const std::string& target);
    void next_probe();
    void count();
    void look_at_probes();
    void failed(const Probe& probe);
    void answered(Member& member, const std::string& through);
    void send(Member& to, Datagram datagram, SendPriority urgency);
    void add_news(const Member& to, Datagram& datagram, std::size_t used);
    static const Voice* voice_of(const Member& member, const std::string& by);
    void take_word(const MemberRecord& word, const std::string& teller);
    void take_own_name(const MemberRecord& word, const std::string& teller);
    void take_doubt(const Suspicion& doubt, const std::string& teller);
    void own_doubt(Member& about, bool on);
    bool doubts(const Member& member) const;  // this one, by a voice of its own
    void set_voice(Member& about, const Suspicion& doubt, const std::string& teller);
    void judge(Member& member);
    void show(Member& member);
    void judge_all();
    void refute(std::uint64_t over);
    void spread(const std::string& key);
    void pick_exchange();
    // Whose voices about it count: about any word of it, or about its newest alone.
    std::vector<std::string> doubters(const Member& member, bool newest_word) const;
    Micros suspicion_of(std::size_t voices) const;
    Micros renew_after() const;
    std::size_t votes() const;
    bool probed(const Member& member) const;
    std::vector<std::string> helpers(const std::string& but, const std::string& first);
    double log_size() const;
    Micros slow(Micros span) const { return span * (1 + local_health_); }
    void worse(int by);
    Micros jittered(Micros span);

    const Options options_;
    MemberRecord self_;
    std::mt19937_64 rng_;
    Micros now_ = 0, due_ = 0, next_probe_ = 0, next_exchange_ = 0, asked_anew_ = 0;
    std::map<std::string, Member> members_;  // all but this one
    std::vector<std::string> round_;         // of the round under way, the next one last
    std::vector<std::string> missed_;        // failed once, to be asked again in the next turn
    std::map<std::uint64_t, Probe> probes_;
    std::uint64_t numbers_ = 0, doubts_ = 0;
    std::set<std::string> doubted_;    // members about which a voice counts
    std::map<std::string, int> news_;  // "w NAME" a word, "d ABOUT BY" a doubt: times still to be told
    std::set<std::pair<int, std::string>> order_;  // the same, the least told first
    std::optional<std::string> exchange_;
    std::vector<OutgoingDatagram> out_;
    std::vector<MemberChange> changes_;
    int local_health_ = 0;
    bool displaced_ = false, met_ = false;  // met_: has heard all that another one knows
    std::vector<std::string> displaced_tellers_;
    std::uint64_t wants_start_ = 0, turn_ = 0;
    mutable std::size_t size_ = 0;  // 0: to be counted anew
    ClusterSize cluster_size_;
    Metrics metrics_;
};

}  // namespace sumackeel::cluster
