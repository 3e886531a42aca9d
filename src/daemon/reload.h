// Reads the configuration anew and checks its expectations, off the loop: a disk may hang, and the worlds of
// a check take seconds.
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
    using TakeUp = std::function<void(const config::Config& config, const config::Operator& setup)>;

    // `take_up` gets what was read, where it can be used and breaks no expectation that it must hold.
    Reload(net::Loop& loop, Files files, TakeUp take_up);
    ~Reload();  // ends a check that is under way
    Reload(const Reload&) = delete;
    Reload& operator=(const Reload&) = delete;

    // One at a time: asked for while one is under way, a further one follows it.
    void start();
    bool busy() const { return reading_.busy(); }
    std::uint64_t decided() const { return decided_; }  // taken up or not; from any thread

  private:
    // What was read, and what was found when its expectations were checked.
    struct Fresh {
        config::Config config;
        config::Operator setup;
        GateVerdict verdict;
        bool checks = false;             // the expectations were to be checked
        std::string fault, check_fault;  // of the files, of the expectations
    };
    static void read(const Files& files, const std::atomic<bool>& ending, Fresh& fresh);
    void decide(const Fresh& fresh);

    const Files files_;
    const TakeUp take_up_;
    net::BackgroundTask reading_;
    std::shared_ptr<std::atomic<bool>> ending_ = std::make_shared<std::atomic<bool>>(false);
    bool again_ = false;
    std::atomic<std::uint64_t> decided_ = 0;
};

}  // namespace sumackeel::daemon
