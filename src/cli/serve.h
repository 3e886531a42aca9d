// The daemon: everything put together round one loop.
#pragma once

#include <memory>

#include "config/config.h"

namespace sumackeel::cli {

class Daemon {
  public:
    explicit Daemon(const config::Config& config);
    ~Daemon();
    void run();        // until it was told to end and all that was open is answered
    void end();        // as on SIGTERM
    int port() const;  // of the platform's front

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace sumackeel::cli
