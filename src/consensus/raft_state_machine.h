// The state machine of the replicated log (the library's raft_fsm): the state of rollouts and the key-value
// store. Deterministic: applying the same commands yields the same state on every voter.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "consensus/raft_library.h"
#include "kv_store/kv_store.h"
#include "rollout/rollout.h"

namespace sumackeel::consensus {

class RaftStateMachine {
  public:
    struct Hooks {
        std::function<void()> state_changed;  // the state of rollouts
        std::function<void()> kv_store_changed;
    };
    explicit RaftStateMachine(Hooks hooks);
    RaftStateMachine(const RaftStateMachine&) = delete;
    RaftStateMachine& operator=(const RaftStateMachine&) = delete;
    ~RaftStateMachine() = default;

    // For raft_init(). Its apply callback returns a `const rollout::CommandResult*` that is valid until the
    // next call, or null if the command can't be applied.
    raft_fsm* fsm() { return &fsm_; }
    const rollout::State& state() const { return state_; }
    const kv_store::State& kv_store() const { return kv_store_; }

  private:
    int apply(std::string_view command, void** result);
    void apply_kv_store_command(std::string_view command);
    int take_snapshot(raft_buffer** buffers, unsigned* count) const;
    int restore(raft_buffer* buffer);

    Hooks hooks_;
    raft_fsm fsm_{};
    rollout::State state_;
    kv_store::State kv_store_;
    rollout::CommandResult last_result_;
};

// Allocates a buffer with the library's allocator; its base is null if out of memory. The library's decoder
// reads the entries of a batch at offsets aligned to eight bytes, but its encoder does not pad them: a size
// that is not a multiple of eight would make the decoder read past the end. The padding follows the
// MessagePack data and is never read.
raft_buffer make_raft_buffer(std::string_view bytes);

}  // namespace sumackeel::consensus
