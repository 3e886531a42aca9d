#include "daemon/reload.h"

#include <utility>

#include "base/log.h"
#include "signed_url_server/signed_url_server.h"

namespace sumackeel::daemon {

Reload::Reload(net::Loop& loop, Files files, ApplyConfig apply_config)
    : files_(std::move(files)), apply_config_(std::move(apply_config)), reading_(loop) {}

Reload::~Reload() {
    *cancelled_ = true;
}

void Reload::start() {
    if (files_.config.empty()) return log::warn("reload: ignored reason=started without a file");
    if (reading_.busy()) {  // the next reload reads what the files contain by then
        reload_again_ = true;
        return;
    }
    const auto result = std::make_shared<ReadResult>();
    reading_.run([result, files = files_, cancelled = cancelled_] { read(files, *cancelled, *result); },
                 [this, result] {
                     finish(*result);
                     ++completed_;
                     if (std::exchange(reload_again_, false)) start();
                 });
}

void Reload::read(const Files& files, const std::atomic<bool>& cancelled, ReadResult& result) try {
    // The file is read only once: on a second read it could differ from what was checked.
    const std::string text = config::read_file(files.config);
    result.config = config::parse_config(text);
    if (!files.setup.empty()) result.setup = config::load_operator(files.setup);
    if (result.setup.signed_url_server)
        signed_url_server::LinkVerifier{*result.setup.signed_url_server};  // its keys must be usable
    result.check_required =
        result.setup.expectations && result.setup.expectations->gate != config::Expectations::Gate::start;
    if (!result.check_required) return;
    try {
        result.verdict =
            check_expectations(fleet_of_text(text, files.config), *result.setup.expectations, 1, cancelled);
    } catch (const std::exception& exception) {
        result.check_error = exception.what();
    }
} catch (const std::exception& exception) {
    result.error = exception.what();
}

void Reload::finish(const ReadResult& result) {
    if (!result.error.empty()) return log::error("reload: rejected reason={}", result.error);
    if (!result.check_required) return apply_config_(result.config, result.setup);
    const config::Expectations& setup = *result.setup.expectations;
    const bool expectations_hold = result.check_error.empty() && log_verdict(result.verdict, setup);
    if (!result.check_error.empty())
        log::error("reload: expectations_not_checked reason={}", result.check_error);
    if (expectations_hold || setup.gate == config::Expectations::Gate::warn)
        return apply_config_(result.config, result.setup);
    log::error("reload: rejected reason=expectations are broken");
}

}  // namespace sumackeel::daemon
