#include "cli/command_line.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <charconv>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "base/system_error.h"
#include "base/version.h"
#include "cli/expect_command.h"
#include "cli/group_command.h"
#include "cli/list_command.h"
#include "cli/purge_command.h"
#include "cli/recovery_command.h"
#include "cli/release_command.h"
#include "cli/rollout_command.h"
#include "cli/store_command.h"
#include "config/config.h"
#include "config/keys.h"
#include "config/operator.h"
#include "daemon/daemon.h"
#include "daemon/expectation_gate.h"
#include "signed_url_server/signed_urls.h"

namespace sumackeel::cli {

namespace {

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
    bool json = false, force = false;
    ExpectFlags expect;
    ReleaseFlags release;
    StoreFlags store;
    double purge_timeout_s = 60;
    RolloutFlags rollout;
};

// Prints a link, or a token, signed by the operator's keys: for course pages' own tests and for trying out.
int sign(const Flags& flags, bool token) {
    if (flags.setup.empty()) return wrong("no operator's file: give --operator");
    if (flags.student.empty()) return wrong("no student: give --student");
    if (!(flags.expires_in > 0)) return wrong("--expires-in: not a number of seconds over 0");
    const auto setup = config::load_operator(flags.setup);
    if (!setup.signed_url_server) return wrong(flags.setup + ": signed_front is missing");
    const signed_url_server::LinkVerifier gate(*setup.signed_url_server);
    const double expires =
        std::floor(static_cast<double>(base::Clock().unix_now().micros) / 1e6 + flags.expires_in);
    if (token) return fmt::print("{}\n", gate.student_token(flags.student_key, flags.student, expires)), 0;
    signed_url_server::Target target;
    if (!signed_url_server::parse_target(flags.words.empty() ? "" : flags.words.front(), target))
        return wrong("a target is needed, as in /video/7f3a9c21e0b4d655/3?set=17");
    fmt::print("{}\n",
               gate.sign(target, flags.link_key, flags.subject_key, flags.student, expires, flags.one_time));
    return 0;
}

int list(const Flags& flags) {
    ListFlags list{.words = flags.words, .json = flags.json, .settings = {}, .site = {}};
    if (!flags.setup.empty()) list.settings = config::load_operator(flags.setup).endpoint_snapshot;
    if (!flags.config.empty()) list.site = config::load_config(flags.config).site;
    return list_command(list);
}

int group(const Flags& flags) {
    if (flags.at.empty()) return wrong("no proxy: give --at ADDRESS, its operators' address");
    return group_command(flags.at, flags.words, flags.json) ? 0 : 1;
}

int rollout(const Flags& flags) {
    if (flags.at.empty()) return wrong("no proxy: give --at ADDRESS, its operators' address");
    RolloutFlags of = flags.rollout;
    of.force = flags.force, of.json = flags.json;
    return rollout_command(flags.at, flags.words, of) ? 0 : 1;
}

int release(const Flags& flags) {
    if (flags.at.empty()) return wrong("no proxy: give --at ADDRESS, its operators' address");
    ReleaseFlags of = flags.release;
    of.at = flags.at, of.words = flags.words, of.force = flags.force, of.json = flags.json;
    return release_command(of);
}

int store(const Flags& flags) {
    if (flags.at.empty()) return wrong("no member: give --at ADDRESS");
    return store_command(flags.at, flags.words, flags.store) ? 0 : 1;
}

int purge(const Flags& flags) {
    if (flags.at.empty()) return wrong("no proxy: give --at ADDRESS, its operators' address");
    return purge_command(flags.at, flags.words, flags.purge_timeout_s, flags.json);
}

// All that is wrong with a file, a line each.
int check_config(const Flags& flags) try {
    if (flags.config.empty()) return wrong("no configuration: give --config or set GW_CONFIG");
    config::load_config(flags.config);
    if (!flags.setup.empty()) {
        const auto setup = config::load_operator(flags.setup);
        if (setup.signed_url_server) signed_url_server::LinkVerifier{*setup.signed_url_server};
        fmt::print("{}: sound{}\n", flags.setup,
                   setup.old_form ? ", but JSON: the next version reads TOML alone" : "");
    }
    return fmt::print("{}: sound\n", flags.config), 0;
} catch (const config::ValidationErrors& all) {
    for (const std::string& line : all.lines) wrong(line);
    return 2;
}

// What the platform sets beside the file: the operators' address and the clients' listener, handed in.
void from_platform(config::Config& config) {
    if (const char* ops = std::getenv("GW_OPS"); ops && *ops) config.ops = ops;
    const char* fd = std::getenv("GW_INHERITED_FD");
    if (!fd || !*fd) return;
    const std::string_view text(fd);
    int number = -1;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size() || number < 0)
        throw config::ConfigError("GW_INHERITED_FD: not a descriptor's number: " + std::string(text));
    config.inherited_fd = number;
}

// The file that crosses an upgrade, one for each proxy's name, where both processes look.
std::string hand_over_path(const config::Config& config) {
    const char* folder = std::getenv("TMPDIR");
    const std::string name = config.name.empty() ? "proxy" : config.name;
    return std::string(folder && *folder ? folder : "/tmp") + "/sumackeel-" + name + ".handover";
}

// Danger: until the loop listens for them these two would end the process at once, the one for a reload too.
// They wait, for this thread and those it starts; the daemon lets them in.
void hold_signals() {
    sigset_t held;
    sigemptyset(&held);
    sigaddset(&held, SIGHUP);
    sigaddset(&held, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

// At the start a shortage of descriptors is waited out; what is wrong with a file is told at once.
template <typename Load>
auto load_at_start(Load load) {
    std::optional<decltype(load())> loaded;
    std::string fault;
    base::retry_at_startup([&] {
        try {
            loaded = load();
            return 0;
        } catch (const config::TransientError& shortage) {
            fault = shortage.what();
            return shortage.error();
        }
    });
    if (!loaded) throw config::ConfigError(fault);
    return std::move(*loaded);
}

int serve(const Flags& flags) {
    hold_signals();
    const log::AsyncWriter log_thread;  // behind the signals, which it is not to take
    if (flags.config.empty()) return wrong("no configuration: give --config or set GW_CONFIG");
    auto config = load_at_start([&] { return config::load_config(flags.config); });
    from_platform(config);
    const auto setup = load_at_start(
        [&] { return flags.setup.empty() ? config::Operator{} : config::load_operator(flags.setup); });
    if (setup.signed_url_server)
        signed_url_server::LinkVerifier{*setup.signed_url_server};  // its keys must be usable
    if (setup.test_clock_offset_s != 0)
        base::Clock::set_wall_offset(static_cast<base::Micros>(setup.test_clock_offset_s * 1e6));
    if (setup.old_form)
        log::warn("{}: JSON is read for this version only, the next one reads TOML", flags.setup);
    if (setup.expectations) {
        const std::atomic<bool> never = false;
        const auto verdict =
            daemon::check_expectations(daemon::fleet_of_config(flags.config), *setup.expectations, 0, never);
        if (!daemon::log_verdict(verdict, *setup.expectations) &&
            setup.expectations->gate != config::Expectations::Gate::warn)
            return wrong("not started: expectations of " + setup.expectations->file + " break");
    }
    daemon::Daemon daemon(config, setup, {flags.config, flags.setup, hand_over_path(config)});
    daemon.run();
    if (daemon.disk_busy()) std::_Exit(0);  // all is answered; a disk that hangs must not keep us
    return 0;
}

// Every word that bash may offer, read off the commands themselves.
void print_completion(const CLI::App& app) {
    const auto words_of = [](const CLI::App& command) {
        std::string words;
        for (const CLI::App* sub : command.get_subcommands([](const CLI::App*) { return true; }))
            words += (words.empty() ? "" : " ") + sub->get_name();
        for (const CLI::Option* option : command.get_options())
            for (const std::string& name : option->get_lnames())
                words += (words.empty() ? "--" : " --") + name;
        return words;
    };
    fmt::print(
        "# bash completion for sumackeel: source <(sumackeel completion)\n"
        "_sumackeel() {{\n"
        "    local word=${{COMP_WORDS[COMP_CWORD]}} words\n"
        "    case \"${{COMP_WORDS[1]-}} ${{COMP_WORDS[2]-}}\" in\n");
    for (const CLI::App* sub : app.get_subcommands([](const CLI::App*) { return true; })) {
        for (const CLI::App* inner : sub->get_subcommands([](const CLI::App*) { return true; }))
            fmt::print("        '{} {}'*) words='{}' ;;\n", sub->get_name(), inner->get_name(),
                       words_of(*inner));
        fmt::print("        '{} '*) words='{}' ;;\n", sub->get_name(), words_of(*sub));
    }
    fmt::print(
        "        *) words='{}' ;;\n"
        "    esac\n"
        "    COMPREPLY=($(compgen -W \"$words\" -- \"$word\") $(compgen -f -- \"$word\"))\n"
        "}}\n"
        "complete -F _sumackeel sumackeel\n",
        words_of(app));
}

class CommandLine {
  public:
    // NOLINTNEXTLINE(readability-function-size): a table of commands
    CommandLine() {
        if (const char* given = std::getenv("GW_CONFIG")) flags_.config = given;
        app_.require_subcommand(0, 1);
        app_.set_help_flag("-h,--help", "Print this and end");
        files(app_), level(app_);
        command(
            "serve", "Serve requests (the default)", [this] { return serve(flags_); },
            [this](CLI::App& sub) { files(sub), level(sub); });
        command(
            "check-config", "Say what is wrong with the files, a line each",
            [this] { return check_config(flags_); }, [this](CLI::App& sub) { files(sub); });
        command(
            "sign-url", "Sign a link with the operator's keys", [this] { return sign(flags_, false); },
            [this](CLI::App& sub) {
                signing(sub);
                sub.add_option("--link-key", flags_.link_key, "Key id that signs the link");
                sub.add_option("--subject-key", flags_.subject_key, "Key id that hides the student's name");
                sub.add_option("--one-time", flags_.one_time, "The link's id; it holds for one use");
                sub.add_option("target", flags_.words, "As in /video/7f3a9c21e0b4d655/3?set=17&need=412.5");
            });
        command(
            "sign-token", "Sign a student's token with the operator's keys",
            [this] { return sign(flags_, true); },
            [this](CLI::App& sub) {
                signing(sub);
                sub.add_option("--student-key", flags_.student_key, "Key id that signs the token");
            });
        command(
            "store", "Keys that all agree on: get KEY, set KEY VALUE, remove KEY, list [PREFIX], promote",
            [this] { return store(flags_); },
            [this](CLI::App& sub) {
                sub.add_option("-a,--at", flags_.at, "Where [store] of a proxy listens");
                sub.add_flag("--sure", flags_.store.sure,
                             "get: by the leader and a majority, not by what is here");
                sub.add_option("--version", flags_.store.version,
                               "set, remove: only if it has this one; 0: none");
                sub.add_option("--lasts", flags_.store.lasts_s, "set: seconds after which it ends by itself");
                sub.add_option("words", flags_.words,
                               "get KEY, set KEY VALUE, remove KEY, list [PREFIX] or promote");
            });
        command(
            "purge", "Purges for all proxies: object GROUP ID, group NUMBER, status, wait NUMBER",
            [this] { return purge(flags_); },
            [this](CLI::App& sub) {
                json(sub);
                sub.add_option("-a,--at", flags_.at, "The operators' address of a proxy");
                sub.add_option("--timeout", flags_.purge_timeout_s, "wait: seconds; default: 60");
                sub.add_option("words", flags_.words,
                               "object GROUP ID, group NUMBER, status (the default) or wait NUMBER");
            });
        command(
            "list", "What a saved list holds: show FILE, verify FILE, diff OLD NEW",
            [this] { return list(flags_); },
            [this](CLI::App& sub) {
                files(sub), json(sub);
                sub.add_option("words", flags_.words, "show FILE, verify FILE or diff OLD NEW");
            });
        command(
            "group", "The group of edge proxies as one of them sees it: show, watch or leave",
            [this] { return group(flags_); },
            [this](CLI::App& sub) {
                json(sub);
                sub.add_option("-a,--at", flags_.at, "The operators' address of that proxy");
                sub.add_option("words", flags_.words, "show (the default), watch or leave");
            });
        command(
            "rollout", "Who is out and why, and leaves: show, down ID, up ID, drain, undrain",
            [this] { return rollout(flags_); },
            [this](CLI::App& sub) {
                json(sub);
                sub.add_option("-a,--at", flags_.at, "The operators' address of a proxy");
                sub.add_flag("--force", flags_.force, "Also where the rules say no; kept on record");
                sub.add_option(
                    "words", flags_.words,
                    "show (the default), explain MEMBER, simulate PLAN, down ID, up ID, drain or undrain");
                sub.add_option("--change-s", flags_.rollout.change_s,
                               "simulate: seconds from a turn to serving");
                sub.add_option("--requests-per-s", flags_.rollout.requests_per_s, "simulate: of each proxy");
            });
        command(
            "release", "Releases in waves: start PLAN, status, list, halt, resume, back, wait",
            [this] { return release(flags_); },
            [this](CLI::App& sub) {
                json(sub);
                sub.add_option("-a,--at", flags_.at, "The operators' address of a proxy");
                sub.add_option("-m,--member", flags_.release.member, "wait: for whose turn");
                sub.add_option("--timeout", flags_.release.timeout_s, "wait: seconds; default: 3600");
                sub.add_flag("--force", flags_.force, "wait: also where the rules say no; kept on record");
                sub.add_option("words", flags_.words,
                               "start PLAN, status (the default), list, halt, resume, back or wait");
            });
        command(
            "recovery", "The way back from a power loss: show, go STAGE, verify FOLDER, force FOLDER",
            [this] { return recovery_command(flags_.at, flags_.words, flags_.json); },
            [this](CLI::App& sub) {
                json(sub);
                sub.add_option("-a,--at", flags_.at, "The operators' address of a proxy");
                sub.add_option("words", flags_.words,
                               "show (the default), go STAGE, verify FOLDER or force FOLDER");
            });
        expect();
        command(
            "keys", "Print the page on the operator's file",
            [] { return fmt::print("{}", config::keys_as_markdown()), 0; }, [](CLI::App&) {});
        command(
            "completion", "Print completion for bash", [this] { return print_completion(app_), 0; },
            [](CLI::App&) {});
        command(
            "version", "Print the version", [] { return fmt::print("sumackeel {}\n", base::kVersion), 0; },
            [](CLI::App&) {});
        command(
            "help", "Print this and end", [this] { return fmt::print("{}", app_.help()), 0; },
            [](CLI::App&) {});
    }

    int run(int argc, const char* const* argv) {
        try {
            app_.parse(argc, argv);
        } catch (const CLI::CallForHelp&) {
            const auto chosen = app_.get_subcommands();
            const auto inner = chosen.empty() ? chosen : chosen.front()->get_subcommands();
            const CLI::App* of = !inner.empty() ? inner.front() : !chosen.empty() ? chosen.front() : &app_;
            return fmt::print("{}", of->help()), 0;
        } catch (const CLI::ParseError& fault) {
            std::string what = fault.what();
            std::replace(what.begin(), what.end(), '\n', ' ');
            return wrong(what);
        }
        if (!log::set_level(flags_.level)) return wrong("no such log level: " + flags_.level);
        const auto chosen = app_.get_subcommands();
        if (chosen.empty()) return serve(flags_);
        const auto inner = chosen.front()->get_subcommands();
        return actions_.at(inner.empty() ? chosen.front() : inner.front())();
    }

  private:
    using Action = std::function<int()>;

    CLI::App* command(const char* name, const char* what, Action action,
                      const std::function<void(CLI::App&)>& add, CLI::App* under = nullptr) {
        CLI::App* sub = (under ? under : &app_)->add_subcommand(name, what);
        sub->set_help_flag("-h,--help", "Print this and end");
        add(*sub);
        actions_[sub] = std::move(action);
        return sub;
    }
    void files(CLI::App& sub) {
        sub.add_option("-c,--config", flags_.config, "What the platform gives; default: $GW_CONFIG");
        sub.add_option("-o,--operator", flags_.setup, "The operator's file; default: none");
    }
    void level(CLI::App& sub) {
        sub.add_option("-l,--log-level", flags_.level, "debug, info, warn or error");
    }
    void json(CLI::App& sub) { sub.add_flag("--json", flags_.json, "For tools"); }
    void signing(CLI::App& sub) {
        sub.add_option("-o,--operator", flags_.setup, "The operator's file");
        sub.add_option("--student", flags_.student, "Whom it is for");
        sub.add_option("--expires-in", flags_.expires_in, "Seconds; default: 600");
    }
    void fleet(CLI::App& sub, FleetFrom& from, const std::string& prefix) {
        auto* list =
            sub.add_option("--" + prefix + "list", from.list, "The fleet of a saved list or its folder");
        auto* changes =
            sub.add_option("--" + prefix + "changes", from.changes, "The fleet of a change log's file");
        auto* described =
            sub.add_option("--" + prefix + "fleet", from.fleet, "The fleet of a description in TOML");
        list->excludes(changes)->excludes(described);
        changes->excludes(described);
    }
    void expect() {
        CLI::App* expect = app_.add_subcommand("expect", "Check routing expectations without traffic");
        expect->set_help_flag("-h,--help", "Print this and end");
        expect->require_subcommand(1);
        ExpectFlags& flags = flags_.expect;
        const auto of_fleet = [this, &flags](CLI::App& sub) {
            sub.add_option("-c,--config", flags_.config, "Settings and, unless another is named, the fleet");
            fleet(sub, flags.from, "");
        };
        const auto file = [&flags](CLI::App& sub) {
            sub.add_option("file", flags.file, "The file of expectations")->required();
        };
        const auto with = [this](int (*what)(const ExpectFlags&)) {
            return [this, what] {
                flags_.expect.from.config = flags_.config;
                if (flags_.expect.with.config.empty()) flags_.expect.with.config = flags_.config;
                flags_.expect.json = flags_.json;
                return what(flags_.expect);
            };
        };
        command(
            "run", "Run all worlds; status 0 holds, 1 broken, 2 can't be checked", with(expect_run),
            [&](CLI::App& sub) {
                of_fleet(sub), file(sub), json(sub);
                sub.add_option("--threads", flags.threads, "Default: one a core")->check(CLI::Range(0, 1024));
                sub.add_option("--junit", flags.junit, "Write a report for CI here");
                sub.add_option("--cases", flags.cases, "Write counterexamples into this folder");
                sub.add_flag("--quiet", flags.quiet, "No progress");
            },
            expect);
        command(
            "list", "Print the expectations in words", with(expect_list),
            [&](CLI::App& sub) { of_fleet(sub), file(sub); }, expect);
        command(
            "explain", "Print what one expectation is about", with(expect_explain),
            [&](CLI::App& sub) {
                of_fleet(sub), file(sub);
                sub.add_option("name", flags.name, "Its name")->required();
            },
            expect);
        command(
            "replay", "Play a counterexample step by step", with(expect_replay),
            [&](CLI::App& sub) { sub.add_option("file", flags.file, "A .case.json file")->required(); },
            expect);
        command(
            "diff", "What another fleet or configuration would move", with(expect_diff),
            [&](CLI::App& sub) {
                of_fleet(sub), json(sub);
                sub.add_option("--expectations", flags.file, "Takes its [traffic]");
                sub.add_option("--new-config", flags.with.config, "Default: the same");
                fleet(sub, flags.with, "new-");
            },
            expect);
    }

    Flags flags_;
    CLI::App app_{"The edge proxy of Instituto Sertão Sonoro.", "sumackeel"};
    std::map<const CLI::App*, Action> actions_;
};

}  // namespace

int run(int argc, const char* const* argv) {
    try {
        return CommandLine().run(argc, argv);
    } catch (const std::exception& fault) {
        return wrong(fault.what());
    }
}

}  // namespace sumackeel::cli
