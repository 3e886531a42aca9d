// Codec for the fields that commands and the replicated state share. Internal to the rollout codec.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/msgpack.h"
#include "rollout/codec.h"

namespace sumackeel::rollout::fields {

using base::MsgpackReader;
using base::MsgpackWriter;

constexpr int kVersion = 1;

// Throws CodecError unless the condition holds.
void require(bool condition, CodecError::Code code);
// Throws CodecError unless the next value is kVersion.
void require_version(MsgpackReader& reader);

// Parses `bytes` as an array of at least `min_size` values and calls `decode` with a reader for it. Reader
// exceptions are converted to CodecError::Code::malformed.
template <typename Decode>
auto decode_array(std::string_view bytes, std::size_t min_size, Decode decode) {
    try {
        const base::MsgpackDocument document =
            base::parse_msgpack(bytes, 2 * kMaxMembers, 4 * kMaxNameLength);
        MsgpackReader reader = document.reader(min_size);
        return decode(reader);
    } catch (const CodecError&) {
        throw;
    } catch (const std::runtime_error&) {
        throw CodecError(CodecError::Code::malformed);
    }
}

// Each read_... function reads the values in the order in which the matching write() adds them.
void write(MsgpackWriter& writer, const Lease& lease);
Lease read_lease(MsgpackReader reader);

void write(MsgpackWriter& writer, const std::optional<MetricsSum>& sum);
std::optional<MetricsSum> read_metrics_sum(MsgpackReader reader);

void write(MsgpackWriter& writer, const Plan& plan);
Plan read_plan(MsgpackReader reader);

void write(MsgpackWriter& writer, const Release& release);
Release read_release(MsgpackReader reader);

// Reads the next two values.
RunningVersion read_running_version(MsgpackReader& reader);
// Reads all remaining values.
std::vector<std::string> read_names(MsgpackReader reader);

// Array sizes as encoded by the first version that supported them; later versions append fields.
constexpr std::size_t kMinLeaseSize = 7;
constexpr std::size_t kPlanSize = 13;
constexpr std::size_t kReleaseSize = 12;

}  // namespace sumackeel::rollout::fields
