// `sumackeel list`: inspects a saved list and shows which endpoints would be used, without a running proxy.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/operator.h"

namespace sumackeel::cli {

struct ListFlags {
    std::vector<std::string>
        arguments;  // show FILE | verify FILE | diff OLD NEW; a directory stands for its newest file
    bool json = false;
    std::optional<config::EndpointSnapshot> settings;  // staleness limits and site; defaults if unset
    std::optional<config::Site> site;                  // gives the origin's kind
};

// Exit status. 0: success; 1: a file that a proxy would skip, or lists that differ; 2: invalid arguments.
int list_command(const ListFlags& flags);

}  // namespace sumackeel::cli
