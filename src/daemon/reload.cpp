#include "daemon/reload.h"

#include <utility>

#include "base/log.h"
#include "signed_url_server/signed_url_server.h"

namespace sumackeel::daemon {

Reload::Reload(net::Loop& loop, Files files, TakeUp take_up)
    : files_(std::move(files)), take_up_(std::move(take_up)), reading_(loop) {}

Reload::~Reload() {
    *ending_ = true;
}

void Reload::start() {
    if (files_.config.empty()) return log::warn("reload: ignored reason=started without a file");
    if (reading_.busy()) {  // what the files say then counts
        again_ = true;
        return;
    }
    const auto fresh = std::make_shared<Fresh>();
    reading_.run([fresh, files = files_, ending = ending_] { read(files, *ending, *fresh); },
                 [this, fresh] {
                     decide(*fresh);
                     ++decided_;
                     if (std::exchange(again_, false)) start();
                 });
}

void Reload::read(const Files& files, const std::atomic<bool>& ending, Fresh& fresh) try {
    // The file is read once: read again it could differ from what was checked.
    const std::string text = config::read_file(files.config);
    fresh.config = config::parse_config(text);
    if (!files.setup.empty()) fresh.setup = config::load_operator(files.setup);
    if (fresh.setup.signed_url_server)
        signed_url_server::LinkVerifier{*fresh.setup.signed_url_server};  // its keys must be usable
    fresh.checks =
        fresh.setup.expectations && fresh.setup.expectations->gate != config::Expectations::Gate::start;
    if (!fresh.checks) return;
    try {
        fresh.verdict =
            check_expectations(fleet_of_text(text, files.config), *fresh.setup.expectations, 1, ending);
    } catch (const std::exception& wrong) {
        fresh.check_fault = wrong.what();
    }
} catch (const std::exception& wrong) {
    fresh.fault = wrong.what();
}

void Reload::decide(const Fresh& fresh) {
    if (!fresh.fault.empty()) return log::error("reload: rejected reason={}", fresh.fault);
    if (!fresh.checks) return take_up_(fresh.config, fresh.setup);
    const config::Expectations& setup = *fresh.setup.expectations;
    const bool hold = fresh.check_fault.empty() && log_verdict(fresh.verdict, setup);
    if (!fresh.check_fault.empty())
        log::error("reload: expectations_not_checked reason={}", fresh.check_fault);
    if (hold || setup.gate == config::Expectations::Gate::warn) return take_up_(fresh.config, fresh.setup);
    log::error("reload: rejected reason=expectations are broken");
}

}  // namespace sumackeel::daemon
