// Reloads the configuration and checks its expectations on a background thread: a disk may hang, and the
// fault scenarios of a check take seconds.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "config/config.h"
#include "config/operator.h"
#include "daemon/daemon.h"
#include "daemon/expectation_gate.h"
#include "net/background_task.h"

namespace sumackeel::daemon {

class Reload {
  public:
    using ApplyConfig = std::function<void(const config::Config& config, const config::Operator& setup)>;

    // `apply_config` is called with the configuration that was read if it is valid and breaks no expectation
    // that it is required to hold.
    Reload(net::Loop& loop, Files files, ApplyConfig apply_config);
    ~Reload();  // ends a check that is in progress
    Reload(const Reload&) = delete;
    Reload& operator=(const Reload&) = delete;

    // Runs one reload at a time: if called during one, another one follows it.
    void start();
    bool busy() const { return reading_.busy(); }
    std::uint64_t completed() const { return completed_; }  // reloads applied or rejected; from any thread

  private:
    // The configuration that was read, and the result of the check of its expectations.
    struct ReadResult {
        config::Config config;
        config::Operator setup;
        GateVerdict verdict;
        bool check_required = false;     // the expectations have to be checked
        std::string error, check_error;  // from reading the files, from checking the expectations
    };
    static void read(const Files& files, const std::atomic<bool>& cancelled, ReadResult& result);
    void finish(const ReadResult& result);

    const Files files_;
    const ApplyConfig apply_config_;
    net::BackgroundTask reading_;
    std::shared_ptr<std::atomic<bool>> cancelled_ = std::make_shared<std::atomic<bool>>(false);
    bool reload_again_ = false;
    std::atomic<std::uint64_t> completed_ = 0;
};

}  // namespace sumackeel::daemon
