// The command line: sub-commands, their flags and help, and completion for bash. Decides nothing.
#pragma once

namespace sumackeel::cli {

// Status 0: done; 1: what was asked for does not hold or was refused; 2: wrong words or files, one line on
// standard error.
int run(int argc, const char* const* argv);

}  // namespace sumackeel::cli
