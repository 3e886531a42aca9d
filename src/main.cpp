#include "cli/command_line.h"

int main(int argc, char** argv) {
    return sumackeel::cli::run(argc, argv);
}
