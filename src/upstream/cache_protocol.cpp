#include "upstream/cache_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace sumackeel::upstream {

using routing::AttemptStatus;
using routing::CacheStatus;

namespace {

constexpr std::size_t kLongestHead = 1024;
constexpr std::size_t kLongestBody = 240'000;
constexpr std::size_t kCompactAt = 64 * 1024;

// In the order of the notes; the first stands for CacheStatus::hit.
constexpr std::array<std::string_view, 10> kNotes{"local",    "pulled",      "pulled_far", "rode",
                                                  "expired",  "turned_away", "cut_off",    "not_there",
                                                  "no_place", "far_fault"};

base::Micros whole_ms(base::Micros time, base::Micros least) {
    return std::max(least, time / 1000);
}

double number(std::string_view text) {
    double value = -1;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size() || !std::isfinite(value)) return -1;
    return value;
}

// Calls `each` with the parts of `text` between separators.
template <typename Each>
void split(std::string_view text, char separator, Each each) {
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        each(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

void read_meter(std::string_view text, routing::LoadReport& load) {
    split(text, ';', [&](std::string_view part) {
        const auto colon = part.find(':');
        if (colon == std::string_view::npos) return;
        const std::string_view name = part.substr(0, colon);
        const double value = number(part.substr(colon + 1));
        if (value < 0) return;
        if (name == "inflight" || name == "outstanding") load.in_flight = value;
        if (name == "x1") load.ingress_utilization = value;
    });
}

void read_field(std::string_view field, core::AttemptResult& ending) {
    const auto equals = field.find('=');
    if (equals == std::string_view::npos) throw ProtocolError("an answer's field has no value");
    const std::string_view name = field.substr(0, equals), value = field.substr(equals + 1);
    if (name == "tell") {
        const auto place = std::find(kNotes.begin(), kNotes.end(), value);
        if (place != kNotes.end())
            ending.cache_status = static_cast<CacheStatus>(1 + (place - kNotes.begin()));
    } else if (name == "first") {
        ending.time_to_first_byte = static_cast<base::Micros>(std::clamp(number(value), 0.0, 1e7) * 1000);
    } else if (name == "meter") {
        read_meter(value, ending.load);
    } else if (name == "digest") {
        ending.etag = value;
    } else if (name == "dated") {
        ending.origin_date_ms = static_cast<std::int64_t>(std::clamp(number(value), 0.0, 9e15));
    }
}

AttemptStatus read_word(std::string_view word) {
    if (word == "DONE" || word == "KEEP") return AttemptStatus::served;
    if (word == "LACK") return AttemptStatus::not_found;
    if (word == "WAIT") return AttemptStatus::overloaded;
    if (word == "BROKE") return AttemptStatus::error;
    if (word == "PAST") return AttemptStatus::not_sent;
    throw ProtocolError("an answer begins with no known word");
}

}  // namespace

RequestEncoder::RequestEncoder(const core::AttemptRequest& sending) : deadline_(sending.deadline) {
    const core::Request& ask = *sending.request;
    before_limit_ = "REQ " + ask.id + " cls=" + ask.class_name;
    if (!ask.object.empty()) before_limit_ += ",item=" + ask.object + ",chunk=" + std::to_string(ask.part);
    before_limit_ += ",limit=";
    std::string& text = behind_limit_;
    if (!ask.idempotency_key.empty()) text += ",nonce=" + ask.idempotency_key;
    if (!sending.source.empty()) text += ",parent=" + sending.source;
    if (sending.cache_priority > 0) text += ",shelf=" + std::to_string(sending.cache_priority);
    // Rounded down: a copy that is a part of a millisecond too old must not pass.
    if (sending.max_age > 0) text += ",accept=" + std::to_string(whole_ms(sending.max_age, 1));
    std::string hints;
    const auto hint = [&](bool on, const char* word) {
        if (on) hints += (hints.empty() ? "" : "+") + std::string(word);
    };
    hint(sending.coalesce, "coalesce");
    hint(sending.source_cached_only, "shallow");
    hint(sending.parent_bypasses_cache, "transit");
    hint(sending.revalidate, "freshen");
    if (!hints.empty()) text += ",hints=" + hints;
    if (!ask.client_etag.empty()) text += ",got=" + ask.client_etag;
    text += ' ' + std::to_string(ask.body.size()) + "\r\n" + ask.body + "\r\n";
}

std::string RequestEncoder::encode_at(base::Micros now) const {
    return before_limit_ + std::to_string(whole_ms(deadline_ - now, 1)) + behind_limit_;
}

std::string encode_cancel(const std::string& id) {
    return "STOP " + id + "\r\n";
}

void ResponseReader::append(std::string_view bytes) {
    // Many connections are held, most of them idle: none keeps the room of its largest answer.
    if (at_ == buffer_.size() && buffer_.capacity() > kCompactAt) buffer_ = {};
    if (at_ > kCompactAt || at_ >= buffer_.size()) {
        buffer_.erase(0, at_);
        at_ = 0;
    }
    buffer_ += bytes;
}

bool ResponseReader::read_head() {
    const auto end = buffer_.find("\r\n", at_);
    if (end == std::string::npos) {
        if (buffer_.size() - at_ > kLongestHead) throw ProtocolError("an answer's line has no end");
        // Noise shows before its line ends, and may never end it.
        const auto readable = [](unsigned char c) { return (c >= ' ' && c <= '~') || c == '\r'; };
        if (!std::all_of(buffer_.begin() + static_cast<std::ptrdiff_t>(at_), buffer_.end(), readable))
            throw ProtocolError("an answer's line is no text");
        return false;
    }
    if (end - at_ > kLongestHead) throw ProtocolError("an answer's line is too long");
    std::vector<std::string_view> words;
    split(std::string_view(buffer_).substr(at_, end - at_), ' ', [&](auto word) { words.push_back(word); });
    if (words.size() != 4) throw ProtocolError("an answer has not four words");
    answer_ = {};
    answer_.id = words[0];
    answer_.result.status = read_word(words[1]);
    answer_.result.not_modified = words[1] == "KEEP";
    if (words[2] != "-") split(words[2], ',', [&](auto field) { read_field(field, answer_.result); });
    const char* stop = words[3].data() + words[3].size();
    const auto read = std::from_chars(words[3].data(), stop, length_);
    if (read.ec != std::errc{} || read.ptr != stop || length_ > kLongestBody)
        throw ProtocolError("an answer's length can't be");
    at_ = end + 2;
    in_body_ = true;
    return true;
}

bool ResponseReader::next(CacheResponse& answer) {
    if (!in_body_ && !read_head()) return false;
    if (buffer_.size() - at_ < length_ + 2) return false;
    if (buffer_.compare(at_ + length_, 2, "\r\n") != 0) throw ProtocolError("an answer's body has no end");
    answer = std::move(answer_);
    answer.result.body = buffer_.substr(at_, length_);
    at_ += length_ + 2;
    in_body_ = false;
    return true;
}

}  // namespace sumackeel::upstream
