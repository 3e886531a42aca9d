// This member's own record: its contents, how it refutes suspicions, and what happens when another process
// uses its name. Internal to src/cluster.
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

    // Handles a suspicion of this member: refuted if it is about the newest record.
    void on_suspicion(const Suspicion& suspicion);
    // Handles a record with this member's name, received from `source`: its own, or of another process.
    void on_record(const MemberRecord& record, const std::string& source);

    // Another process uses this name with a later start.
    bool is_displaced() const { return displaced_; }
    // The start number that this member needs; 0: it keeps the current one.
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
