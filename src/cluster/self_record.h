// This member's own record: what it says of itself, how it refutes suspicions, and what it does when another
// process uses its name. Internal to src/cluster.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/local_state.h"
#include "cluster/member_table.h"

namespace sumackeel::cluster {

class SelfRecord {
  public:
    SelfRecord(LocalState& local, const MemberTable& members) : local_(local), members_(members) {}

    void set_start(std::uint64_t start);
    void set_software_version(const std::string& version);
    void set_phase(Phase phase);
    // This member has received the full state of another one.
    void on_state_merged() { state_merged_ = true; }

    // A suspicion of this member: refuted where it is of the newest record.
    void on_suspicion(const Suspicion& suspicion);
    // A record under this member's name, as `source` sent it: its own, or of another process.
    void on_record(const MemberRecord& record, const std::string& source);

    // Another process uses this name with a later start.
    bool is_displaced() const { return displaced_; }
    // The start number that this member needs; 0: its present one.
    std::uint64_t requested_start() const { return requested_start_; }

  private:
    void refute(std::uint64_t refutations);
    void request_start_after(std::uint64_t start);

    LocalState& local_;
    const MemberTable& members_;
    std::uint64_t requested_start_ = 0;
    bool state_merged_ = false;
    bool displaced_ = false;
    std::vector<std::string> displaced_sources_;
};

}  // namespace sumackeel::cluster
