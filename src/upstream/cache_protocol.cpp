#include "upstream/cache_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

#include "base/resident_memory.h"

namespace sumackeel::upstream {

using routing::AttemptStatus;
using routing::CacheStatus;

namespace {

constexpr std::size_t kMaxHeaderSize = 1024;
constexpr std::size_t kMaxBodySize = 240'000;
constexpr std::size_t kMaxKeptBuffer =
    4 * 1024;  // bytes of memory, of a connection without a partial response
// Room behind a stored body for what servers write around it.
constexpr std::size_t kBodySlack = 512;
constexpr std::string_view kLineEnd = "\r\n";

// In the order of CacheStatus, from CacheStatus::hit on.
constexpr std::array<std::string_view, 10> kCacheStatusNames{
    "local",       "pulled",  "pulled_far", "rode",     "expired",
    "turned_away", "cut_off", "not_there",  "no_place", "far_fault"};

base::Micros to_milliseconds(base::Micros time, base::Micros minimum) {
    return std::max(minimum, time / 1000);
}

double parse_number(std::string_view text) {
    double value = -1;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size() || !std::isfinite(value)) return -1;
    return value;
}

// Calls `each` with each part of `text` between separators.
template <typename Each>
void split(std::string_view text, char separator, Each each) {
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        each(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

void parse_load_report(std::string_view text, routing::LoadReport& load) {
    split(text, ';', [&](std::string_view part) {
        const auto colon = part.find(':');
        if (colon == std::string_view::npos) return;
        const std::string_view name = part.substr(0, colon);
        const double value = parse_number(part.substr(colon + 1));
        if (value < 0) return;
        if (name == "inflight" || name == "outstanding") load.in_flight = value;
        if (name == "x1") load.ingress_utilization = value;
    });
}

void parse_field(std::string_view field, core::AttemptResult& result) {
    const auto equals = field.find('=');
    if (equals == std::string_view::npos) throw ProtocolError("an answer's field has no value");
    const std::string_view name = field.substr(0, equals), value = field.substr(equals + 1);
    if (name == "tell") {
        const auto position = std::find(kCacheStatusNames.begin(), kCacheStatusNames.end(), value);
        if (position != kCacheStatusNames.end())
            result.cache_status = static_cast<CacheStatus>(1 + (position - kCacheStatusNames.begin()));
    } else if (name == "first") {
        result.time_to_first_byte =
            static_cast<base::Micros>(std::clamp(parse_number(value), 0.0, 1e7) * 1000);
    } else if (name == "meter") {
        parse_load_report(value, result.load);
    } else if (name == "digest") {
        result.etag = value;
    } else if (name == "dated") {
        result.origin_date_ms = static_cast<std::int64_t>(std::clamp(parse_number(value), 0.0, 9e15));
    }
}

AttemptStatus parse_status(std::string_view word) {
    if (word == "DONE" || word == "KEEP") return AttemptStatus::served;
    if (word == "LACK") return AttemptStatus::not_found;
    if (word == "WAIT") return AttemptStatus::overloaded;
    if (word == "BROKE") return AttemptStatus::error;
    if (word == "PAST") return AttemptStatus::not_sent;
    throw ProtocolError("an answer begins with no known word");
}

}  // namespace

RequestEncoder::RequestEncoder(const core::AttemptRequest& attempt_request)
    : deadline_(attempt_request.deadline) {
    const core::Request& request = *attempt_request.request;
    before_limit_ = "REQ " + request.id + " cls=" + request.class_name;
    if (!request.object.empty())
        before_limit_ += ",item=" + request.object + ",chunk=" + std::to_string(request.part);
    before_limit_ += ",limit=";
    if (!request.idempotency_key.empty()) before_max_age_ += ",nonce=" + request.idempotency_key;
    if (!attempt_request.source.empty()) before_max_age_ += ",parent=" + attempt_request.source;
    if (attempt_request.cache_priority > 0)
        before_max_age_ += ",shelf=" + std::to_string(attempt_request.cache_priority);
    std::string& text = after_max_age_;
    std::string hints;
    const auto hint = [&](bool on, const char* word) {
        if (on) hints += (hints.empty() ? "" : "+") + std::string(word);
    };
    hint(attempt_request.coalesce, "coalesce");
    hint(attempt_request.source_cached_only, "shallow");
    hint(attempt_request.parent_bypasses_cache, "transit");
    hint(attempt_request.revalidate, "freshen");
    if (!hints.empty()) text += ",hints=" + hints;
    if (!request.client_etag.empty()) text += ",got=" + request.client_etag;
    text += ' ' + std::to_string(request.body.size()) + "\r\n";
}

std::string RequestEncoder::encode_at(base::Micros now, base::Micros max_age, std::string_view body) const {
    std::string text = before_limit_ + std::to_string(to_milliseconds(deadline_ - now, 1)) + before_max_age_;
    // Rounded down, so that a copy that is too old by a fraction of a millisecond is not accepted.
    if (max_age > 0) text += ",accept=" + std::to_string(to_milliseconds(max_age, 1));
    text.reserve(text.size() + after_max_age_.size() + body.size() + kLineEnd.size());
    return text.append(after_max_age_).append(body).append(kLineEnd);
}

std::string encode_cancel(const std::string& id) {
    return "STOP " + id + "\r\n";
}

void ResponseReader::append(std::string_view bytes) {
    buffer_.erase(0, std::exchange(position_, 0));
    buffer_ += bytes;
    if (in_body_ && !awaits_room_) take_body_bytes();
}

bool ResponseReader::read_header() {
    const auto end = buffer_.find("\r\n", position_);
    if (end == std::string::npos) {
        if (buffer_.size() - position_ > kMaxHeaderSize) throw ProtocolError("an answer's line has no end");
        // Invalid bytes are detected before the end of the line, which may never come.
        const auto readable = [](unsigned char c) { return (c >= ' ' && c <= '~') || c == '\r'; };
        if (!std::all_of(buffer_.begin() + static_cast<std::ptrdiff_t>(position_), buffer_.end(), readable))
            throw ProtocolError("an answer's line is no text");
        return false;
    }
    if (end - position_ > kMaxHeaderSize) throw ProtocolError("an answer's line is too long");
    std::vector<std::string_view> words;
    split(std::string_view(buffer_).substr(position_, end - position_), ' ',
          [&](auto word) { words.push_back(word); });
    if (words.size() != 4) throw ProtocolError("an answer has not four words");
    response_ = {};
    response_.id = words[0];
    response_.result.status = parse_status(words[1]);
    response_.result.not_modified = words[1] == "KEEP";
    if (words[2] != "-") split(words[2], ',', [&](auto field) { parse_field(field, response_.result); });
    const char* stop = words[3].data() + words[3].size();
    const auto read = std::from_chars(words[3].data(), stop, body_length_);
    if (read.ec != std::errc{} || read.ptr != stop || body_length_ > kMaxBodySize)
        throw ProtocolError("an answer's length can't be");
    position_ = end + kLineEnd.size();
    in_body_ = true;
    awaits_room_ = true;
    body_received_ = 0;
    return true;
}

// False: there is no room for the body now.
bool ResponseReader::begin_body() {
    const BodyHandling handling =
        handle_body_ ? handle_body_(response_.id, body_length_) : BodyHandling::store;
    if (handling == BodyHandling::await_room) return false;
    awaits_room_ = false;
    stores_body_ = handling == BodyHandling::store;
    if (stores_body_ && body_length_ > 0) response_.result.body.reserve(body_length_ + kBodySlack);
    take_body_bytes();
    return true;
}

void ResponseReader::take_body_bytes() {
    const std::size_t count = std::min(body_length_ - body_received_, buffer_.size() - position_);
    if (stores_body_) response_.result.body.append(buffer_, position_, count);
    body_received_ += count;
    position_ += count;
}

void ResponseReader::discard(const std::string& id) {
    if (!in_body_ || response_.id != id) return;
    stores_body_ = false;
    base::release(response_.result.body);
}

bool ResponseReader::next(CacheResponse& response) {
    if (!in_body_ && !read_header()) return false;
    if (awaits_room_ && !begin_body()) return false;
    if (body_received_ < body_length_ || buffer_.size() - position_ < kLineEnd.size()) return false;
    if (buffer_.compare(position_, kLineEnd.size(), kLineEnd) != 0)
        throw ProtocolError("an answer's body has no end");
    response = std::move(response_);
    position_ += kLineEnd.size();
    in_body_ = false;
    // Most of the many connections are idle, so none keeps the memory of its largest response.
    if (position_ == buffer_.size() && buffer_.capacity() > kMaxKeptBuffer) {
        base::release(buffer_);
        position_ = 0;
    }
    return true;
}

}  // namespace sumackeel::upstream
