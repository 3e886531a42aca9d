// Records and suspicions still to be passed on, each a bounded number of times, the least sent first.
// Internal to src/cluster.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>

#include "cluster/member_table.h"

namespace sumackeel::cluster {

// Names one record or suspicion; its newest form is looked up when it is sent. The order of the fields is the
// order in which items that are owed as often are sent.
struct GossipKey {
    enum class Kind { suspicion, record };
    Kind kind = Kind::record;
    std::string subject;
    std::string suspector = {};  // of a suspicion
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted operator
    auto operator<=>(const GossipKey&) const = default;
};

class GossipQueue {
  public:
    GossipQueue(const Options& options, const MemberTable& members) : options_(options), members_(members) {}

    // Owes it the full number of transmissions from now on.
    void add(const GossipKey& key);
    // Fills the datagram up to kMaxDatagramBytes, of which `used` are taken.
    void append_to(Datagram& datagram, const Member& to, std::size_t used);

  private:
    enum class AppendResult { appended, full, obsolete };
    struct Entry {
        int transmissions_left = 0;
        GossipKey key;
        // Those owed most often come first.
        bool operator<(const Entry& other) const;
    };

    AppendResult append(const GossipKey& key, Datagram& datagram, const Member& to, std::size_t& used) const;
    AppendResult append_record(const GossipKey& key, Datagram& datagram, const Member& to,
                               std::size_t& used) const;
    AppendResult append_suspicion(const GossipKey& key, Datagram& datagram, std::size_t& used) const;
    void on_transmitted(const Entry& entry);
    void remove(const Entry& entry);

    const Options& options_;
    const MemberTable& members_;
    std::map<GossipKey, int> transmissions_left_;
    std::set<Entry> order_;  // the same, in the order of sending
};

}  // namespace sumackeel::cluster
