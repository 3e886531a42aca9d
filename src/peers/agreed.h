// The agreed log: a few of the proxies vote (the raft library, on this loop), the others ask them. What it
// holds is the state of src/rollout, who may leave, and of src/registry, keys and purges. Off unless the
// operator's file has [agreed].
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/operator.h"
#include "net/off_loop.h"
#include "peers/peers.h"
#include "peers/voter.h"
#include "registry/registry.h"
#include "rollout/rollout.h"

namespace sumackeel::peers {

struct Wanted;

class Agreed {
  public:
    using World = std::function<std::vector<rollout::Seen>(rollout::Kind)>;  // as this member sees it now
    using Changed = std::function<void(const rollout::State&)>;
    // None: no majority answered in time. It may have been agreed on all the same; asking again tells.
    using Told = std::function<void(std::optional<rollout::Answer>)>;

    // Throws where the folder or the address can't be used. Peers must outlive this. `wait_for_folder`:
    // another process of this proxy may hold it until that one is told to end.
    Agreed(net::Loop& loop, Peers& peers, const config::Agreed& setup, bool wait_for_folder, World world,
           Changed changed);
    ~Agreed();
    // The operator's file was read anew: rules hold from the next ask on; who votes is changed by the leader,
    // one after another. The folder and the time of an election wait for the next start.
    void renew(const config::Agreed& setup);
    Agreed(const Agreed&) = delete;
    Agreed& operator=(const Agreed&) = delete;

    // Each is told within a second, from the loop.
    void ask(rollout::Kind kind, const std::string& member, const std::string& by, bool forced, Told told);
    void back(rollout::Kind kind, const std::string& member, const std::string& by, Told told);

    // A turn of the release under way, for whoever changes `member`.
    void turn(const std::string& member, bool forced, Told told);
    void order(const rollout::Order& order, Told told);
    // Of a leader alone.
    void step(rollout::Step step, Told told);
    // Of the registry; `granted` with the revision, or `refused` with why.
    void change(const registry::Change& change, Told told);
    void purge(const registry::Purge& purge, Told told);
    // What a key holds now, by the leader and a majority: `granted` with its version as the number and its
    // value as the reason, or `nothing`.
    void read(const std::string& key, Told told);
    // Makes this one the leader, if it votes: `granted` with the term, or `refused`.
    void lead(Told told);
    const registry::State& registry() const;
    // Told after each change of it.
    void on_registry(std::function<void()> what) { registered_ = std::move(what); }
    // Of a leader: what is applied here is applied by all voters in touch at once, not with the next
    // heartbeat.
    void spread();
    // Of one that does not vote: asks that member for what it has, now.
    void ask_now(const std::string& member);
    // How long ago what is known here was surely all that is agreed on; none: never since the start.
    std::optional<base::Micros> sure_age() const;

    // What a leave of it would be answered now, by what this one knows; none: nobody knows it.
    std::optional<rollout::Answer> explain(const std::string& member) const;
    bool leads() const;

    // What a proxy runs, by the freshest that is known here: its word in the group, or with its last turn.
    rollout::Runs runs_of(const group::Word& word) const;

    const rollout::State& state() const;
    bool known() const;  // the state was heard from a voter, or is a voter's own that has met a leader
    std::string leader() const;  // a member's name; empty: none is known
    std::string as_json() const;
    // Stops voting, and gives the folder back once the log is closed.
    void close();
    // The same at once; the loop is run until that is done. Nothing is told any more.
    void shut();
    bool disk_hangs() const;  // shut() would wait for it

  private:
    struct Wish;

    std::unique_ptr<Voter> make_voter();
    std::string command_of(const Wanted& wanted) const;
    void propose(const Wanted& wanted, Told done);
    void want(Wanted wanted, Told told);
    rollout::Ask ask_of(const Wanted& wanted) const;
    void pursue(std::shared_ptr<Wish> wish);
    void later(std::shared_ptr<Wish> wish);
    void settle(const std::shared_ptr<Wish>& wish, std::optional<rollout::Answer> answer);
    void take(const std::string& from, const std::string& verb, const std::string& body,
              const Peers::Say& say);
    void poll();
    void ask_state(const std::string& voter, base::Micros within);
    void stop_voting();
    void vote_later();
    void tend();
    void look_alone();
    void keep_own();
    void yield(std::uint64_t history);
    void set_aside(std::uint64_t history);
    void was_set_aside(const std::string& fault);
    void take_folder();
    bool votes() const;
    bool there(const std::string& voter) const;
    void hold(const std::string& answer);

    net::Loop& loop_;
    Peers& peers_;
    config::Agreed setup_;
    std::map<std::string, std::string> voters_ever_;  // by name: also those that the file named before
    World world_;
    Changed changed_;
    net::OffLoop files_;            // what is done in the folder while no log is open there
    std::unique_ptr<Voter> voter_;  // null: this one does not vote
    rollout::State heard_;          // of one that does not vote
    registry::State heard_registry_;
    bool ask_all_ = false;  // what was told of the registry does not fit on what is here
    std::uint64_t heard_history_ = 0;
    std::optional<base::Micros> heard_at_;  // when a voter that knows a leader last answered
    std::function<void()> registered_;
    bool known_ = false;
    std::string leader_;
    base::Micros led_at_ = 0;  // of one that votes: when it last knew a leader
    bool yielding_ = false;    // its log is of an older history, and is being set aside
    bool joins_ = false;       // named as a voter while it ran: it writes no first entry of its own
    std::size_t next_voter_ = 0;
    std::optional<base::Deadlines::Key> poll_, tend_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumackeel::peers
