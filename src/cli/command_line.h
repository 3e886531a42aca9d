// The command line: subcommands, their flags and help, and bash completion.
#pragma once

namespace sumackeel::cli {

// Returns the exit status. 0: success; 1: the check failed or the request was refused; 2: invalid arguments
// or files, reported in one line on standard error.
int run(int argc, const char* const* argv);

}  // namespace sumackeel::cli
