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

int print_error(const std::string& what) {
    fmt::print(stderr, "sumackeel: {}\n", what);
    return 2;
}

struct Flags {
    std::string config, operator_file;
    std::string level = "info";
    std::string link_key, subject_key, student_key, student, one_time, at;
    std::vector<std::string> arguments;
    double expires_in = 600;
    bool json = false, force = false;
    ExpectFlags expect;
    ReleaseFlags release;
    StoreFlags store;
    double purge_timeout_s = 60;
    RolloutFlags rollout;
};

// Prints a link or a token signed with the operator's keys, for tests of course pages and for manual use.
int sign(const Flags& flags, bool token) {
    if (flags.operator_file.empty()) return print_error("no operator's file: give --operator");
    if (flags.student.empty()) return print_error("no student: give --student");
    if (!(flags.expires_in > 0)) return print_error("--expires-in: not a number of seconds over 0");
    const auto operator_config = config::load_operator(flags.operator_file);
    if (!operator_config.signed_url_server)
        return print_error(flags.operator_file + ": signed_front is missing");
    const signed_url_server::LinkVerifier verifier(*operator_config.signed_url_server);
    const double expires =
        std::floor(static_cast<double>(base::Clock().unix_now().micros) / 1e6 + flags.expires_in);
    if (token)
        return fmt::print("{}\n", verifier.student_token(flags.student_key, flags.student, expires)), 0;
    signed_url_server::Target target;
    if (!signed_url_server::parse_target(flags.arguments.empty() ? "" : flags.arguments.front(), target))
        return print_error("a target is needed, as in /video/7f3a9c21e0b4d655/3?set=17");
    fmt::print("{}\n", verifier.sign(target, flags.link_key, flags.subject_key, flags.student, expires,
                                     flags.one_time));
    return 0;
}

int list(const Flags& flags) {
    ListFlags list{.arguments = flags.arguments, .json = flags.json, .settings = {}, .site = {}};
    if (!flags.operator_file.empty())
        list.settings = config::load_operator(flags.operator_file).endpoint_snapshot;
    if (!flags.config.empty()) list.site = config::load_config(flags.config).site;
    return list_command(list);
}

int group(const Flags& flags) {
    if (flags.at.empty()) return print_error("no proxy: give --at ADDRESS, its operators' address");
    return group_command(flags.at, flags.arguments, flags.json) ? 0 : 1;
}

int rollout(const Flags& flags) {
    if (flags.at.empty()) return print_error("no proxy: give --at ADDRESS, its operators' address");
    RolloutFlags command_flags = flags.rollout;
    command_flags.force = flags.force, command_flags.json = flags.json;
    return rollout_command(flags.at, flags.arguments, command_flags) ? 0 : 1;
}

int release(const Flags& flags) {
    if (flags.at.empty()) return print_error("no proxy: give --at ADDRESS, its operators' address");
    ReleaseFlags command_flags = flags.release;
    command_flags.at = flags.at, command_flags.arguments = flags.arguments, command_flags.force = flags.force,
    command_flags.json = flags.json;
    return release_command(command_flags);
}

int store(const Flags& flags) {
    if (flags.at.empty()) return print_error("no member: give --at ADDRESS");
    return store_command(flags.at, flags.arguments, flags.store) ? 0 : 1;
}

int purge(const Flags& flags) {
    if (flags.at.empty()) return print_error("no proxy: give --at ADDRESS, its operators' address");
    return purge_command(flags.at, flags.arguments, flags.purge_timeout_s, flags.json);
}

// Prints every configuration error, one per line.
int check_config(const Flags& flags) try {
    if (flags.config.empty()) return print_error("no configuration: give --config or set GW_CONFIG");
    config::load_config(flags.config);
    if (!flags.operator_file.empty()) {
        const auto operator_config = config::load_operator(flags.operator_file);
        if (operator_config.signed_url_server)
            signed_url_server::LinkVerifier{*operator_config.signed_url_server};
        fmt::print("{}: sound{}\n", flags.operator_file,
                   operator_config.old_form ? ", but JSON: the next version reads TOML alone" : "");
    }
    return fmt::print("{}: sound\n", flags.config), 0;
} catch (const config::ValidationErrors& all) {
    for (const std::string& line : all.lines) print_error(line);
    return 2;
}

// Applies settings from the environment: the admin API address and the inherited client listener.
void apply_platform_environment(config::Config& config) {
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

// Path of the handover file, through which the old and the new process of an upgrade exchange state.
// Depends only on TMPDIR and the proxy's name, so that both processes find it.
std::string handover_path(const config::Config& config) {
    const char* folder = std::getenv("TMPDIR");
    const std::string name = config.name.empty() ? "proxy" : config.name;
    return std::string(folder && *folder ? folder : "/tmp") + "/sumackeel-" + name + ".handover";
}

// Blocks SIGHUP and SIGTERM for this thread and the threads it starts until the daemon's loop handles them:
// their default action, also that of the reload signal, would terminate the process during startup.
void block_signals() {
    sigset_t blocked;
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGHUP);
    sigaddset(&blocked, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
}

// Retries while descriptors are exhausted; errors in a file are reported immediately.
template <typename Load>
auto load_with_startup_retry(Load load) {
    std::optional<decltype(load())> loaded;
    std::string error;
    base::retry_at_startup([&] {
        try {
            loaded = load();
            return 0;
        } catch (const config::TransientError& shortage) {
            error = shortage.what();
            return shortage.error();
        }
    });
    if (!loaded) throw config::ConfigError(error);
    return std::move(*loaded);
}

int serve(const Flags& flags) {
    block_signals();
    const log::AsyncWriter log_thread;  // after block_signals: its thread must not take them
    if (flags.config.empty()) return print_error("no configuration: give --config or set GW_CONFIG");
    auto config = load_with_startup_retry([&] { return config::load_config(flags.config); });
    apply_platform_environment(config);
    const auto operator_config = load_with_startup_retry([&] {
        return flags.operator_file.empty() ? config::Operator{} : config::load_operator(flags.operator_file);
    });
    if (operator_config.signed_url_server)
        signed_url_server::LinkVerifier{*operator_config.signed_url_server};  // throws if a key is unusable
    if (operator_config.test_clock_offset_s != 0)
        base::Clock::set_wall_offset(static_cast<base::Micros>(operator_config.test_clock_offset_s * 1e6));
    if (operator_config.old_form)
        log::warn("{}: JSON is read for this version only, the next one reads TOML", flags.operator_file);
    if (operator_config.expectations) {
        const std::atomic<bool> stop_requested = false;
        const auto verdict = daemon::check_expectations(daemon::fleet_of_config(flags.config),
                                                        *operator_config.expectations, 0, stop_requested);
        if (!daemon::log_verdict(verdict, *operator_config.expectations) &&
            operator_config.expectations->gate != config::Expectations::Gate::warn)
            return print_error("not started: expectations of " + operator_config.expectations->file +
                               " break");
    }
    daemon::Daemon daemon(config, operator_config,
                          {flags.config, flags.operator_file, handover_path(config)});
    daemon.run();
    if (daemon.disk_busy()) std::_Exit(0);  // all requests are answered; a hung disk must not delay the exit
    return 0;
}

// Generates the bash completion script from the registered commands and options.
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
        add_file_options(app_), add_log_level_option(app_);
        command(
            "serve", "Serve requests (the default)", [this] { return serve(flags_); },
            [this](CLI::App& sub) { add_file_options(sub), add_log_level_option(sub); });
        command(
            "check-config", "Say what is wrong with the files, a line each",
            [this] { return check_config(flags_); }, [this](CLI::App& sub) { add_file_options(sub); });
        command(
            "sign-url", "Sign a link with the operator's keys", [this] { return sign(flags_, false); },
            [this](CLI::App& sub) {
                add_signing_options(sub);
                sub.add_option("--link-key", flags_.link_key, "Key id that signs the link");
                sub.add_option("--subject-key", flags_.subject_key, "Key id that hides the student's name");
                sub.add_option("--one-time", flags_.one_time, "The link's id; it holds for one use");
                sub.add_option("target", flags_.arguments,
                               "As in /video/7f3a9c21e0b4d655/3?set=17&need=412.5");
            });
        command(
            "sign-token", "Sign a student's token with the operator's keys",
            [this] { return sign(flags_, true); },
            [this](CLI::App& sub) {
                add_signing_options(sub);
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
                sub.add_option("words", flags_.arguments,
                               "get KEY, set KEY VALUE, remove KEY, list [PREFIX] or promote");
            });
        command(
            "purge", "Purges for all proxies: object GROUP ID, group NUMBER, status, wait NUMBER",
            [this] { return purge(flags_); },
            [this](CLI::App& sub) {
                add_json_option(sub);
                sub.add_option("-a,--at", flags_.at, "The operators' address of a proxy");
                sub.add_option("--timeout", flags_.purge_timeout_s, "wait: seconds; default: 60");
                sub.add_option("words", flags_.arguments,
                               "object GROUP ID, group NUMBER, status (the default) or wait NUMBER");
            });
        command(
            "list", "What a saved list holds: show FILE, verify FILE, diff OLD NEW",
            [this] { return list(flags_); },
            [this](CLI::App& sub) {
                add_file_options(sub), add_json_option(sub);
                sub.add_option("words", flags_.arguments, "show FILE, verify FILE or diff OLD NEW");
            });
        command(
            "group", "The group of edge proxies as one of them sees it: show, watch or leave",
            [this] { return group(flags_); },
            [this](CLI::App& sub) {
                add_json_option(sub);
                sub.add_option("-a,--at", flags_.at, "The operators' address of that proxy");
                sub.add_option("words", flags_.arguments, "show (the default), watch or leave");
            });
        command(
            "rollout", "Who is out and why, and leaves: show, down ID, up ID, drain, undrain",
            [this] { return rollout(flags_); },
            [this](CLI::App& sub) {
                add_json_option(sub);
                sub.add_option("-a,--at", flags_.at, "The operators' address of a proxy");
                sub.add_flag("--force", flags_.force, "Also where the rules say no; kept on record");
                sub.add_option(
                    "words", flags_.arguments,
                    "show (the default), explain MEMBER, simulate PLAN, down ID, up ID, drain or undrain");
                sub.add_option("--change-s", flags_.rollout.change_s,
                               "simulate: seconds from a turn to serving");
                sub.add_option("--requests-per-s", flags_.rollout.requests_per_s, "simulate: of each proxy");
            });
        command(
            "release", "Releases in waves: start PLAN, status, list, halt, resume, back, wait",
            [this] { return release(flags_); },
            [this](CLI::App& sub) {
                add_json_option(sub);
                sub.add_option("-a,--at", flags_.at, "The operators' address of a proxy");
                sub.add_option("-m,--member", flags_.release.member, "wait: for whose turn");
                sub.add_option("--timeout", flags_.release.timeout_s, "wait: seconds; default: 3600");
                sub.add_flag("--force", flags_.force, "wait: also where the rules say no; kept on record");
                sub.add_option("words", flags_.arguments,
                               "start PLAN, status (the default), list, halt, resume, back or wait");
            });
        command(
            "recovery", "The way back from a power loss: show, go STAGE, verify FOLDER, force FOLDER",
            [this] { return recovery_command(flags_.at, flags_.arguments, flags_.json); },
            [this](CLI::App& sub) {
                add_json_option(sub);
                sub.add_option("-a,--at", flags_.at, "The operators' address of a proxy");
                sub.add_option("words", flags_.arguments,
                               "show (the default), go STAGE, verify FOLDER or force FOLDER");
            });
        add_expect_commands();
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
        } catch (const CLI::ParseError& error) {
            std::string what = error.what();
            std::replace(what.begin(), what.end(), '\n', ' ');
            return print_error(what);
        }
        if (!log::set_level(flags_.level)) return print_error("no such log level: " + flags_.level);
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
    void add_file_options(CLI::App& sub) {
        sub.add_option("-c,--config", flags_.config, "What the platform gives; default: $GW_CONFIG");
        sub.add_option("-o,--operator", flags_.operator_file, "The operator's file; default: none");
    }
    void add_log_level_option(CLI::App& sub) {
        sub.add_option("-l,--log-level", flags_.level, "debug, info, warn or error");
    }
    void add_json_option(CLI::App& sub) { sub.add_flag("--json", flags_.json, "For tools"); }
    void add_signing_options(CLI::App& sub) {
        sub.add_option("-o,--operator", flags_.operator_file, "The operator's file");
        sub.add_option("--student", flags_.student, "Whom it is for");
        sub.add_option("--expires-in", flags_.expires_in, "Seconds; default: 600");
    }
    void add_fleet_options(CLI::App& sub, FleetSource& from, const std::string& prefix) {
        auto* list =
            sub.add_option("--" + prefix + "list", from.list, "The fleet of a saved list or its folder");
        auto* changes =
            sub.add_option("--" + prefix + "changes", from.changes, "The fleet of a change log's file");
        auto* described =
            sub.add_option("--" + prefix + "fleet", from.fleet, "The fleet of a description in TOML");
        list->excludes(changes)->excludes(described);
        changes->excludes(described);
    }
    void add_expect_commands() {
        CLI::App* expect = app_.add_subcommand("expect", "Check routing expectations without traffic");
        expect->set_help_flag("-h,--help", "Print this and end");
        expect->require_subcommand(1);
        ExpectFlags& flags = flags_.expect;
        const auto of_fleet = [this, &flags](CLI::App& sub) {
            sub.add_option("-c,--config", flags_.config, "Settings and, unless another is named, the fleet");
            add_fleet_options(sub, flags.source, "");
        };
        const auto file = [&flags](CLI::App& sub) {
            sub.add_option("file", flags.file, "The file of expectations")->required();
        };
        const auto action_of = [this](int (*what)(const ExpectFlags&)) {
            return [this, what] {
                flags_.expect.source.config = flags_.config;
                if (flags_.expect.new_source.config.empty()) flags_.expect.new_source.config = flags_.config;
                flags_.expect.json = flags_.json;
                return what(flags_.expect);
            };
        };
        command(
            "run", "Run all worlds; status 0 holds, 1 broken, 2 can't be checked", action_of(expect_run),
            [&](CLI::App& sub) {
                of_fleet(sub), file(sub), add_json_option(sub);
                sub.add_option("--threads", flags.threads, "Default: one a core")->check(CLI::Range(0, 1024));
                sub.add_option("--junit", flags.junit, "Write a report for CI here");
                sub.add_option("--cases", flags.cases, "Write counterexamples into this folder");
                sub.add_flag("--quiet", flags.quiet, "No progress");
            },
            expect);
        command(
            "list", "Print the expectations in words", action_of(expect_list),
            [&](CLI::App& sub) { of_fleet(sub), file(sub); }, expect);
        command(
            "explain", "Print what one expectation is about", action_of(expect_explain),
            [&](CLI::App& sub) {
                of_fleet(sub), file(sub);
                sub.add_option("name", flags.name, "Its name")->required();
            },
            expect);
        command(
            "replay", "Play a counterexample step by step", action_of(expect_replay),
            [&](CLI::App& sub) { sub.add_option("file", flags.file, "A .case.json file")->required(); },
            expect);
        command(
            "diff", "What another fleet or configuration would move", action_of(expect_diff),
            [&](CLI::App& sub) {
                of_fleet(sub), add_json_option(sub);
                sub.add_option("--expectations", flags.file, "Takes its [traffic]");
                sub.add_option("--new-config", flags.new_source.config, "Default: the same");
                add_fleet_options(sub, flags.new_source, "new-");
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
    } catch (const std::exception& error) {
        return print_error(error.what());
    }
}

}  // namespace sumackeel::cli
