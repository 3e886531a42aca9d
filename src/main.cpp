// The command line.
#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>

#include "cli/serve.h"
#include "config/config.h"
#include "net/log.h"

namespace {

constexpr const char* kVersion = "sumackeel 0.2.0";
constexpr const char* kUsage =
    "usage: sumackeel [serve] [--config FILE] [--log-level LEVEL]\n"
    "       sumackeel check-config [--config FILE]\n"
    "       sumackeel version\n"
    "FILE is the configuration that the platform gives (default: $GW_CONFIG).\n"
    "LEVEL is debug, info, warn or error.\n";

int wrong(const std::string& what) {
    fmt::print(stderr, "sumackeel: {}\n", what);
    return 2;
}

struct Flags {
    std::string config;
    std::string level = "info";
    bool help = false;
};

// Empty: the flags are sound; else what is wrong with them.
std::string read_flags(int argc, char** argv, Flags& flags) {
    static const option known[] = {{"config", required_argument, nullptr, 'c'},
                                   {"log-level", required_argument, nullptr, 'l'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
    if (const char* given = std::getenv("GW_CONFIG")) flags.config = given;
    opterr = 0;
    for (int found; (found = getopt_long(argc, argv, "c:l:h", known, nullptr)) != -1;) {
        if (found == 'c')
            flags.config = optarg;
        else if (found == 'l')
            flags.level = optarg;
        else if (found == 'h')
            flags.help = true;
        else
            return std::string("unknown flag or missing value: ") + argv[optind - 1];
    }
    if (optind < argc) return std::string("one word too many: ") + argv[optind];
    if (!sumackeel::log::set_level(flags.level)) return "no such log level: " + flags.level;
    return {};
}

int run(int argc, char** argv) {
    std::string command = "serve";
    if (argc > 1 && argv[1][0] != '-') {
        command = argv[1];
        --argc, ++argv;
    }
    Flags flags;
    if (const std::string fault = read_flags(argc, argv, flags); !fault.empty()) return wrong(fault);
    if (flags.help || command == "help") return fmt::print("{}", kUsage), 0;
    if (command == "version") return fmt::print("{}\n", kVersion), 0;
    if (command != "serve" && command != "check-config") return wrong("no such command: " + command);
    if (flags.config.empty()) return wrong("no configuration: give --config or set GW_CONFIG");
    const auto config = sumackeel::config::load_config(flags.config);
    if (command == "check-config") return fmt::print("{}: sound\n", flags.config), 0;
    std::signal(SIGPIPE, SIG_IGN);
    sumackeel::cli::Daemon daemon(config);
    daemon.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& fault) {
        return wrong(fault.what());
    }
}
