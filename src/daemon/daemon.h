// The edge proxy as a whole: its parts, running on one event loop.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "config/config.h"
#include "config/operator.h"

namespace sumackeel::daemon {

// Files that the process was started with. An empty path: there is no such file.
struct Files {
    std::string config;     // the platform's configuration, read again by reload()
    std::string setup;      // the operator's settings, read again by reload()
    std::string hand_over;  // administrative state that outlives an upgrade; empty: nothing is handed over
};

class Daemon {
  public:
    // Listens and starts all parts. Both configurations must outlive the daemon. Throws what the parts throw
    // if an address or a file can't be used.
    Daemon(const config::Config& config, const config::Operator& setup, Files files = {});
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Runs the loop until the process was shut down gracefully or stopped.
    void run();

    // From any thread.
    void end();     // graceful shutdown, as on SIGTERM
    void reload();  // reads the configuration again, as on SIGHUP
    void stop();    // ends run() at once, whatever is open

    // A disk read or write is in progress, and may hang; destroying the daemon would wait for it. Valid
    // once run() has returned.
    bool disk_busy() const;
    // Reloads completed since the start, whether applied or rejected; from any thread.
    std::uint64_t reloads() const;

    int port() const;         // of the platform's server
    int signed_port() const;  // of the server for signed URLs; -1: it is off
    int ops_port() const;     // of the admin API; -1: it is off

  private:
    class Process;
    std::unique_ptr<Process> process_;
};

}  // namespace sumackeel::daemon
