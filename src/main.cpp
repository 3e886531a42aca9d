// The command line.
#include <getopt.h>

#include <cmath>
#include <cstdlib>
#include <exception>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "cli/list_command.h"
#include "cli/store_command.h"
#include "config/config.h"
#include "config/keys.h"
#include "config/operator.h"
#include "daemon/daemon.h"
#include "front_signed/links.h"

namespace {

constexpr const char* kVersion = "sumackeel 0.3.0";
constexpr const char* kUsage =
    "usage: sumackeel [serve] [--config FILE] [--operator FILE] [--log-level LEVEL]\n"
    "       sumackeel check-config [--config FILE] [--operator FILE]\n"
    "       sumackeel sign-url --operator FILE --link-key KID --subject-key KID --student NAME\n"
    "                          [--expires-in SECONDS] [--one-time JTI] TARGET\n"
    "       sumackeel sign-token --operator FILE --student-key KID --student NAME [--expires-in SECONDS]\n"
    "       sumackeel store --at ADDRESS promote | get KEY | set KEY VALUE\n"
    "       sumackeel list show FILE | verify FILE | diff OLD NEW  [--json] [--operator FILE]\n"
    "       sumackeel keys\n"
    "       sumackeel version\n"
    "The configuration is what the platform gives (default: $GW_CONFIG); the operator's file turns the "
    "front\n"
    "for signed links on (default: none). TARGET is as in /video/7f3a9c21e0b4d655/3?set=17&need=412.5.\n"
    "A FILE of 'list' may be the folder it lies in; 'keys' prints the page on the operator's file.\n"
    "LEVEL is debug, info, warn or error.\n";

int wrong(const std::string& what) {
    fmt::print(stderr, "sumackeel: {}\n", what);
    return 2;
}

struct Flags {
    std::string config, setup;
    std::string level = "info";
    std::string link_key, subject_key, student_key, student, one_time, at;
    std::vector<std::string> words;
    double expires_in = 600;
    bool help = false, json = false;
};

// Empty: the flags are sound; else what is wrong with them.
std::string read_flags(int argc, char** argv, Flags& flags) {
    static const option known[] = {{"config", required_argument, nullptr, 'c'},
                                   {"operator", required_argument, nullptr, 'o'},
                                   {"log-level", required_argument, nullptr, 'l'},
                                   {"link-key", required_argument, nullptr, 'k'},
                                   {"subject-key", required_argument, nullptr, 'u'},
                                   {"student-key", required_argument, nullptr, 't'},
                                   {"student", required_argument, nullptr, 's'},
                                   {"one-time", required_argument, nullptr, 'j'},
                                   {"at", required_argument, nullptr, 'a'},
                                   {"expires-in", required_argument, nullptr, 'e'},
                                   {"json", no_argument, nullptr, 'J'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
    if (const char* given = std::getenv("GW_CONFIG")) flags.config = given;
    opterr = 0;
    for (int found; (found = getopt_long(argc, argv, "c:o:l:h", known, nullptr)) != -1;) {
        if (found == 'c')
            flags.config = optarg;
        else if (found == 'a')
            flags.at = optarg;
        else if (found == 'o')
            flags.setup = optarg;
        else if (found == 'l')
            flags.level = optarg;
        else if (found == 'k')
            flags.link_key = optarg;
        else if (found == 'u')
            flags.subject_key = optarg;
        else if (found == 't')
            flags.student_key = optarg;
        else if (found == 's')
            flags.student = optarg;
        else if (found == 'j')
            flags.one_time = optarg;
        else if (found == 'e')
            flags.expires_in = std::atof(optarg);
        else if (found == 'J')
            flags.json = true;
        else if (found == 'h')
            flags.help = true;
        else
            return std::string("unknown flag or missing value: ") + argv[optind - 1];
    }
    flags.words.assign(argv + optind, argv + argc);
    if (!sumackeel::log::set_level(flags.level)) return "no such log level: " + flags.level;
    return {};
}

// Prints a link, or a token, signed by the operator's keys: for course pages' own tests and for trying out.
int sign(const std::string& command, const Flags& flags) {
    if (flags.setup.empty()) return wrong("no operator's file: give --operator");
    if (flags.student.empty()) return wrong("no student: give --student");
    if (!(flags.expires_in > 0)) return wrong("--expires-in: not a number of seconds over 0");
    const auto setup = sumackeel::config::load_operator(flags.setup);
    if (!setup.signed_front) return wrong(flags.setup + ": signed_front is missing");
    const sumackeel::front_signed::Gate gate(*setup.signed_front);
    const double expires =
        std::floor(static_cast<double>(sumackeel::base::Clock().now()) / 1e6 + flags.expires_in);
    if (command == "sign-token")
        return fmt::print("{}\n", gate.student_token(flags.student_key, flags.student, expires)), 0;
    sumackeel::front_signed::Target target;
    if (!sumackeel::front_signed::read_target(flags.words.empty() ? "" : flags.words.front(), target))
        return wrong("a target is needed, as in /video/7f3a9c21e0b4d655/3?set=17");
    fmt::print("{}\n",
               gate.sign(target, flags.link_key, flags.subject_key, flags.student, expires, flags.one_time));
    return 0;
}

int list(const Flags& flags) {
    sumackeel::cli::ListFlags list{.words = flags.words, .json = flags.json, .settings = {}, .site = {}};
    if (!flags.setup.empty()) list.settings = sumackeel::config::load_operator(flags.setup).saved_list;
    if (!flags.config.empty()) list.site = sumackeel::config::load_config(flags.config).site;
    return sumackeel::cli::list_command(list);
}

// All that is wrong with a file, a line each.
int check_config(const Flags& flags) try {
    sumackeel::config::load_config(flags.config);
    if (!flags.setup.empty()) {
        const auto setup = sumackeel::config::load_operator(flags.setup);
        if (setup.signed_front) sumackeel::front_signed::Gate{*setup.signed_front};
        fmt::print("{}: sound{}\n", flags.setup,
                   setup.old_form ? ", but JSON: the next version reads TOML alone" : "");
    }
    return fmt::print("{}: sound\n", flags.config), 0;
} catch (const sumackeel::config::Complaints& all) {
    for (const std::string& line : all.lines) wrong(line);
    return 2;
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
    if (command == "sign-url" || command == "sign-token") return sign(command, flags);
    if (command == "keys") return fmt::print("{}", sumackeel::config::keys_as_markdown()), 0;
    if (command == "list") return list(flags);
    if (command == "store") {
        if (flags.at.empty()) return wrong("no member: give --at ADDRESS");
        return sumackeel::cli::store_command(flags.at, flags.words) ? 0 : 1;
    }
    if (!flags.words.empty()) return wrong("one word too many: " + flags.words.front());
    if (command != "serve" && command != "check-config") return wrong("no such command: " + command);
    if (flags.config.empty()) return wrong("no configuration: give --config or set GW_CONFIG");
    if (command == "check-config") return check_config(flags);
    const auto config = sumackeel::config::load_config(flags.config);
    const auto setup =
        flags.setup.empty() ? sumackeel::config::Operator{} : sumackeel::config::load_operator(flags.setup);
    if (setup.signed_front) sumackeel::front_signed::Gate{*setup.signed_front};  // its keys must be usable
    if (setup.old_form)
        sumackeel::log::warn("{}: JSON is read for this version only, the next one reads TOML", flags.setup);
    sumackeel::daemon::Daemon daemon(config, setup, {flags.config, flags.setup});
    daemon.run();
    if (daemon.disk_busy()) std::_Exit(0);  // all is answered; a disk that hangs must not keep us
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
