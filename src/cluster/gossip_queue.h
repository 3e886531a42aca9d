// Records and suspicions to be gossiped, each a bounded number of times, the least transmitted first.
// Internal to src/cluster.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>

#include "cluster/member_table.h"

namespace sumackeel::cluster {

// Identifies one record or suspicion; its newest version is looked up when it is sent. The order of the
// fields decides between items with the same number of transmissions left.
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

    // Schedules the full number of transmissions, also for an item that is already queued.
    void add(const GossipKey& key);
    // Fills the datagram up to kMaxDatagramBytes, of which `used` are taken.
    void append_to(Datagram& datagram, const Member& to, std::size_t used);

  private:
    enum class AppendResult { appended, full, obsolete };
    struct Entry {
        int transmissions_left = 0;
        GossipKey key;
        // Items with the most transmissions left come first.
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
    std::set<Entry> order_;  // the same items in sending order
};

}  // namespace sumackeel::cluster
