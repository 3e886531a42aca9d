// `sumackeel list`: what a saved list holds and what would be used of it, without a running proxy.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/operator.h"

namespace sumackeel::cli {

struct ListFlags {
    std::vector<std::string>
        words;  // show FILE | verify FILE | diff OLD NEW; a folder stands for its newest file
    bool json = false;
    std::optional<config::EndpointSnapshot> settings;  // bands and site; the defaults where nothing is given
    std::optional<config::Site> site;                  // tells which kind is the origin's
};

// 0: done and sound; 1: a file that would be passed over, or lists that differ; 2: wrong words.
int list_command(const ListFlags& flags);

}  // namespace sumackeel::cli
