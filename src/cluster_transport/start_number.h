// The number of a member's start, kept on its disk: a process that comes back under its name is a later life
// at once, whatever the clocks say.
#pragma once

#include <cstdint>
#include <string>

namespace sumackeel::cluster_transport {

class StartNumber {
  public:
    // Makes the folder if it is missing.
    explicit StartNumber(std::string folder) : folder_(std::move(folder)) {}

    // The number of the last start; 0: none was kept. `fault` where a file is there that can't be used: it is
    // set aside, and the number is learned from the others.
    std::uint64_t read(std::string& fault) const;
    // On disk before it returns. Empty: done; else what went wrong.
    std::string write(std::uint64_t number) const;

  private:
    std::string folder_;
};

}  // namespace sumackeel::cluster_transport
