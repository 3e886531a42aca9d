// The daemon: everything put together round one loop.
#pragma once

#include <cstdint>
#include <memory>

#include "config/config.h"
#include "config/operator.h"

namespace sumackeel::daemon {

// Where the configuration came from and is read anew from on SIGHUP; empty: there is no such file.
struct Files {
    std::string config, setup;
    // What crosses an upgrade (the operators' bans and drain), in $TMPDIR; empty: nothing is handed over.
    std::string hand_over;
};

class Daemon {
  public:
    // Config and setup must outlive the daemon.
    Daemon(const config::Config& config, const config::Operator& setup, Files files = {});
    ~Daemon();
    void run();     // until it was told to end and all that was open is answered
    void end();     // as on SIGTERM; from any thread
    void reload();  // as on SIGHUP; from any thread
    void stop();    // at once, with all that is open; from any thread
    // A read or write of a disk is under way, and may hang; ending in the usual way would wait for it. Ask
    // after run() only.
    bool disk_busy() const;
    std::uint64_t reloads() const;  // read and decided since the start; from any thread
    int port() const;               // of the platform's front
    int signed_port() const;        // of the front for signed links; -1: it is off
    int ops_port() const;           // of the operators' address; -1: there is none

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace sumackeel::daemon
