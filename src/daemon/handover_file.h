// The file in which a proxy's bans and its drain cross over to the process that replaces it.
//
// It is put in place whole: whoever reads it finds the old text or the new one. A write that fails is tried
// again until it is done, since an operator was told yes. The loop never waits for the disk.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "net/background_task.h"
#include "net/latest_value_writer.h"
#include "net/loop.h"

namespace sumackeel::daemon {

class HandoverFile {
  public:
    // An empty path: nothing is read or kept.
    HandoverFile(net::Loop& loop, std::string path);

    bool used() const { return !path_.empty(); }
    // `then` gets what is there: empty where there is no file, nothing where it can't be read just now. Not
    // called where the disk hangs, nor while another read is under way.
    void read(std::function<void(const std::optional<std::string>& text)> then);
    void keep(std::string text);
    net::LatestValueWriter& disk() { return writes_; }
    bool disk_busy() const { return writes_.writing() || reads_.busy(); }

  private:
    std::string path_;
    net::LatestValueWriter writes_;
    net::BackgroundTask reads_;
};

}  // namespace sumackeel::daemon
