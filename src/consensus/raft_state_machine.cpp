#include "consensus/raft_state_machine.h"

#include <cstring>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/msgpack.h"

namespace sumackeel::consensus {

using rollout::CommandResult;

namespace {

constexpr std::size_t kMaxSnapshotBytes = 256 << 20;
constexpr std::size_t kEntryAlignment = 8;  // bytes
// A snapshot is [mark, state of rollouts, key-value store]. One without the mark was written by a version
// without the key-value store and is just the state of rollouts.
constexpr const char* kSnapshotMark = "sumackeel-agreed";
constexpr std::size_t kMaxMarkLength = 64;

std::string encode_snapshot(const rollout::State& state, const kv_store::State& kv_store) {
    base::MsgpackWriter out;
    return out.array(3).add(std::string(kSnapshotMark), state.encode(), kv_store.encode()).bytes();
}

// Throws on malformed input and leaves `state` unchanged then.
void decode_snapshot(std::string_view bytes, rollout::State& state, kv_store::State& kv_store) {
    const base::MsgpackDocument document = base::parse_msgpack(bytes, kMaxSnapshotBytes, kMaxSnapshotBytes);
    base::MsgpackReader reader = document.reader(3);
    try {
        if (reader.text(kMaxMarkLength) != kSnapshotMark) base::MsgpackReader::fail();
    } catch (const std::runtime_error&) {
        state = rollout::State::decode(bytes);
        kv_store = {};
        return;
    }
    const auto state_bytes = reader.next<std::string>();
    const auto kv_store_bytes = reader.next<std::string>();
    rollout::State decoded = rollout::State::decode(state_bytes);
    kv_store = kv_store::State::decode(kv_store_bytes);
    state = std::move(decoded);
}

RaftStateMachine& machine_of(raft_fsm* fsm) {
    return *static_cast<RaftStateMachine*>(fsm->data);
}

}  // namespace

raft_buffer make_raft_buffer(std::string_view bytes) {
    const std::size_t padded = (bytes.size() + kEntryAlignment - 1) / kEntryAlignment * kEntryAlignment;
    raft_buffer buffer{raft_calloc(1, padded), padded};
    if (buffer.base) std::memcpy(buffer.base, bytes.data(), bytes.size());
    return buffer;
}

RaftStateMachine::RaftStateMachine(Hooks hooks) : hooks_(std::move(hooks)) {
    fsm_.version = 1;
    fsm_.data = this;
    fsm_.apply = [](raft_fsm* fsm, const raft_buffer* buffer, void** result) {
        return machine_of(fsm).apply({static_cast<const char*>(buffer->base), buffer->len}, result);
    };
    fsm_.snapshot = [](raft_fsm* fsm, raft_buffer* buffers[], unsigned* count) {
        return machine_of(fsm).take_snapshot(buffers, count);
    };
    fsm_.restore = [](raft_fsm* fsm, raft_buffer* buffer) { return machine_of(fsm).restore(buffer); };
}

int RaftStateMachine::apply(std::string_view command, void** result) {
    const std::uint64_t state_before = state_.revision();
    const std::uint64_t kv_store_before = kv_store_.revision();
    *result = nullptr;
    try {
        if (kv_store::is_command(command)) {
            apply_kv_store_command(command);
            *result = &last_result_;
            if (kv_store_.revision() != kv_store_before) hooks_.kv_store_changed();
            return 0;
        }
        last_result_ = rollout::apply(state_, command);
        *result = &last_result_;
    } catch (const std::exception& error) {
        // Every voter rejects it in the same way, so the command changes nothing anywhere.
        log::error("consensus: command rejected reason={}", error.what());
    }
    if (state_.revision() != state_before) hooks_.state_changed();
    return 0;
}

void RaftStateMachine::apply_kv_store_command(std::string_view command) {
    kv_store::ApplyResult applied = kv_store::apply(kv_store_, command);
    last_result_ = CommandResult{applied.applied ? rollout::Outcome::granted : rollout::Outcome::rejected,
                                 applied.revision,
                                 std::move(applied.reason),
                                 {}};
}

int RaftStateMachine::take_snapshot(raft_buffer** buffers, unsigned* count) const {
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    if (!*buffers) return RAFT_NOMEM;
    (*buffers)[0] = make_raft_buffer(encode_snapshot(state_, kv_store_));
    *count = 1;
    return (*buffers)[0].base ? 0 : RAFT_NOMEM;
}

int RaftStateMachine::restore(raft_buffer* buffer) {
    try {
        decode_snapshot({static_cast<const char*>(buffer->base), buffer->len}, state_, kv_store_);
    } catch (const std::exception& error) {
        log::error("consensus: snapshot unreadable reason={}", error.what());
        return RAFT_MALFORMED;
    }
    raft_free(buffer->base);
    hooks_.state_changed();
    hooks_.kv_store_changed();
    return 0;
}

}  // namespace sumackeel::consensus
