// `sumackeel store`: an operator's words to one member of the store.
#pragma once

#include <string>
#include <vector>

namespace sumackeel::cli {

// Prints the member's answer. False: it refused.
bool store_command(const std::string& address, const std::vector<std::string>& words);

}  // namespace sumackeel::cli
