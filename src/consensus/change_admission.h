// Decides on the leader whether a change is still wanted when it arrives, and still meant for what it finds.
//
// A caller first gets a token from the leader: a reading of the leader's monotonic clock, and the sequence
// number of the last change that the leader admitted. It sends the token back with the change and the time
// that it had left when the token came. So the leader knows by its own clock alone how old the change is,
// however long the change was on its way and whichever process was stopped meanwhile: the reading was taken
// before the token came, so the leader's deadline is never later than the caller's.
//
// Guarantees for a change with a guard: it is not admitted later than its caller's deadline, nor if another
// change of the same target was admitted since its token was issued. A token holds for one term of one
// process. Pure: time is an argument, and nothing is stored beyond the term.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace sumackeel::consensus {

// Callers are answered within 1 s; a change that is not committed by then is reported as failed.
constexpr base::Micros kRequestTimeout = 850'000;

// Why the leader did not carry out a request; the numeric values are the ones on the wire. Except after
// `undecided` it is certain that the request has had no effect and will have none.
enum class Refusal : std::uint8_t {
    not_leading,   // not the leader, or without a majority
    token_needed,  // the request has no token of this leader and term
    expired,       // the caller's deadline has passed, or would before the commit
    superseded,    // another change of the same target was admitted since the token was issued
    busy,          // too many changes are open
    undecided,     // the leader lost its leadership before the commit was known
};
const char* name_of(Refusal refusal);  // for the log

// A leader's process in one term.
struct LeaderTerm {
    std::uint64_t start = 0;  // start number of the process
    std::uint64_t term = 0;
    bool operator==(const LeaderTerm&) const = default;
};

// Issued by a leader, and sent back to it with a change.
struct AdmissionToken {
    LeaderTerm issuer;
    base::Micros reading = 0;    // of the leader's monotonic clock when it was issued
    std::uint64_t sequence = 0;  // of the last change that was admitted before
    bool operator==(const AdmissionToken&) const = default;
};

// The same for all attempts of one change.
struct ChangeId {
    std::string caller;
    std::uint64_t start = 0;  // start number of the caller's process
    std::uint64_t number = 0;
    auto operator<=>(const ChangeId&) const = default;
};

struct ChangeGuard {
    ChangeId id;
    std::optional<AdmissionToken> token;  // none: the caller has none yet
    base::Micros time_left = 0;           // from when the token came to the caller's deadline
};

// The caller's deadline by the leader's clock. Only for a guard with a token.
base::Micros deadline_of(const ChangeGuard& guard);

class ChangeAdmission {
  public:
    static constexpr std::size_t kMaxTargets = 4'096;

    AdmissionToken issue(const LeaderTerm& leader, base::Micros now);
    // None: the change is in time and of this term.
    std::optional<Refusal> check_time(const ChangeGuard& guard, const LeaderTerm& leader,
                                      base::Micros now) const;
    // Whether another change of the target was admitted since the token was issued. `target`: what the change
    // replaces; empty: such changes may replace each other.
    bool is_superseded(const std::string& target, const AdmissionToken& token) const;
    // To be called with each change before it is proposed.
    void admit(const std::string& target, const LeaderTerm& leader);

  private:
    void begin_term(const LeaderTerm& leader);

    LeaderTerm leader_;
    std::uint64_t sequence_ = 0;                          // of the last admitted change of this term
    std::map<std::string, std::uint64_t> last_admitted_;  // sequence numbers by target
    std::uint64_t forgotten_ = 0;  // the highest sequence number dropped from last_admitted_
};

}  // namespace sumackeel::consensus
