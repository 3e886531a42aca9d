#include "consensus/acknowledgement_recorder.h"

#include <utility>

#include "base/log.h"
#include "consensus/slow_write.h"

namespace sumackeel::consensus {

void AcknowledgementRecorder::on_loaded(std::uint64_t history, LogPosition last, std::shared_ptr<void> lock) {
    lock_ = std::move(lock);
    std::string fault;
    acknowledged_ = file_.read(fault);
    if (!fault.empty())
        log::error("consensus: acknowledged position unreadable reason={}; treating the log as complete",
                   fault);
    behind_ = acknowledged_.history == history && last < acknowledged_.position;
    if (behind_) {
        const auto& [term, index] = acknowledged_.position;
        log::error(
            "consensus: log behind last_term={} last_index={} acknowledged_term={} acknowledged_index={} "
            "reason=entries were lost on disk; not voting until a leader has sent them",
            last.term, last.index, term, index);
        return;
    }
    acknowledged_ = {history, last};
}

std::string AcknowledgementRecorder::record_loaded() const {
    return behind_ ? std::string{} : file_.write(acknowledged_);
}

// While the log is behind, the position on disk is kept: it is the one the log has to reach.
void AcknowledgementRecorder::add(FinishedWrite write_done) {
    const LogPosition end = write_done.end;
    finished_.push_back(std::move(write_done));
    if (behind_ && end >= acknowledged_.position) {
        behind_ = false;
        log::info("consensus: log complete again last_term={} last_index={}", end.term, end.index);
    }
    behind_ ? report(finished_.size()) : write();
}

// Writes that finish while a position is being written are covered by the next one.
void AcknowledgementRecorder::write() {
    if (writer_.busy() || finished_.empty() || stopped_) return;
    acknowledged_.position = finished_.back().end;
    const auto error = std::make_shared<std::string>();
    writer_.run([lock = lock_, file = file_, acknowledged = acknowledged_,
                 error] { *error = file.write(acknowledged); },
                [this, count = finished_.size(), error] { on_written(count, *error); });
}

void AcknowledgementRecorder::on_written(std::size_t count, const std::string& error) {
    warn_if_slow("acknowledged position", writer_.last_duration());
    if (stopped_) return;
    if (!error.empty()) {
        log::error("consensus: acknowledged position not written reason={}", error);
        stopped_ = true;
        return on_failed_();
    }
    report(count);
    write();
}

void AcknowledgementRecorder::report(std::size_t count) {
    for (; count > 0 && !finished_.empty(); --count) {
        const FinishedWrite next = std::move(finished_.front());
        finished_.pop_front();
        next.report(0);
    }
}

void AcknowledgementRecorder::cancel(Status status) {
    stopped_ = true;
    lock_.reset();
    for (const FinishedWrite& write : std::exchange(finished_, {})) write.report(status);
}

}  // namespace sumackeel::consensus
