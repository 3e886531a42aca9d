// The file in which a proxy's bans and its drain cross over to the process that replaces it.
//
// It is put in place whole: whoever reads it finds the old text or the new one. A write that fails is tried
// again until it is done, since an operator was told yes.
#pragma once

#include <optional>
#include <string>

#include "net/loop.h"

namespace sumackeel::daemon {

class HandOverFile {
  public:
    // An empty path: nothing is read or kept.
    HandOverFile(net::Loop& loop, std::string path);
    ~HandOverFile();
    HandOverFile(const HandOverFile&) = delete;
    HandOverFile& operator=(const HandOverFile&) = delete;

    bool used() const { return !path_.empty(); }
    const std::string& path() const { return path_; }
    // Empty where there is none; nothing where it is there and can't be read just now.
    std::optional<std::string> read() const;
    // Empty: it is on disk. Else the reason why it is not yet; it is tried again from the loop.
    std::string keep(std::string text);

  private:
    std::string write();
    void try_later();

    net::Loop& loop_;
    std::string path_, text_;
    std::optional<base::Deadlines::Key> again_;
};

}  // namespace sumackeel::daemon
