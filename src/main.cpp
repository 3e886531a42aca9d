#include "base/resident_memory.h"
#include "cli/command_line.h"

int main(int argc, char** argv) {
    sumackeel::base::limit_allocator_retention();
    return sumackeel::cli::run(argc, argv);
}
