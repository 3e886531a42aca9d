#include "daemon/expectation_gate.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

#include "base/log.h"
#include "config/read.h"
#include "daemon/daemon_error.h"

namespace sumackeel::daemon {

SuiteRun run_suite(const expectations::FleetModel& fleet, const expectations::Suite& suite, int threads,
                   const std::function<bool(std::size_t, std::size_t)>& should_continue) {
    SuiteRun run;
    run.worlds = expectations::enumerate(fleet, suite);
    std::vector<std::optional<expectations::Outcome>> outcomes(run.worlds.size());
    std::atomic<std::size_t> next = 0;
    std::atomic<bool> stop = false;
    std::mutex mutex;
    std::condition_variable progress;
    std::size_t finished = 0, running = 0;  // guarded by the mutex
    std::string failure;
    const auto run_scenarios = [&] {
        for (std::size_t i = 0; !stop && (i = next++) < run.worlds.size();) {
            try {
                outcomes[i] = expectations::run_world(run.worlds[i], fleet, suite);
            } catch (const std::exception& error) {  // an exception must not leave the thread
                const std::lock_guard lock(mutex);
                failure = fmt::format("fault scenario '{}' could not be simulated: {}", run.worlds[i].title,
                                      error.what());
                stop = true;
            }
            const std::lock_guard lock(mutex);
            ++finished;
            progress.notify_one();
        }
        const std::lock_guard lock(mutex);
        --running;
        progress.notify_one();
    };
    const int cores = std::max(1, static_cast<int>(std::thread::hardware_concurrency()));
    std::vector<std::thread> workers;
    running = static_cast<std::size_t>(threads > 0 ? threads : cores);
    for (std::size_t i = running; i > 0; --i) workers.emplace_back(run_scenarios);
    {
        std::unique_lock lock(mutex);
        while (running > 0) {
            progress.wait_for(lock, std::chrono::milliseconds(50));
            const std::size_t completed = finished;
            lock.unlock();
            if (!stop && !should_continue(completed, run.worlds.size())) stop = true;
            lock.lock();
        }
    }
    for (std::thread& worker : workers) worker.join();
    if (!failure.empty()) throw DaemonError(DaemonErrorCode::expectation_run_failed, failure);
    // Summed in the order of the scenarios, whichever thread ran them.
    run.tallies.resize(suite.expectations.size());
    for (const auto& outcome : outcomes) {
        if (!outcome) continue;
        ++run.worlds_run;
        run.decisions += outcome->decisions;
        run.requests += outcome->requests;
        for (std::size_t i = 0; i < run.tallies.size(); ++i) run.tallies[i].add(outcome->tallies[i]);
    }
    return run;
}

namespace {

// Extracts the settings from the text of a configuration, as text.
std::string settings_of_text(const std::string& text, const std::string& config_file) {
    const Json::Value root = config::parse(text, config_file);
    if (!root.isObject() || !root["settings"].isObject()) config::bad(config_file, "settings is missing");
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root["settings"]);
}

}  // namespace

std::string settings_of_config(const std::string& config_file) {
    return settings_of_text(config::read_file(config_file), config_file);
}

expectations::FleetModel fleet_of_config(const std::string& config_file) {
    return fleet_of_text(config::read_file(config_file), config_file);
}

expectations::FleetModel fleet_of_text(const std::string& text, const std::string& config_file) {
    return expectations::make_fleet(settings_of_text(text, config_file), config::parse_config(text).known);
}

expectations::Suite load_suite(const std::string& file, const expectations::FleetModel& fleet) {
    return expectations::read_suite(config::read_toml(config::read_file(file), file), file, fleet);
}

GateVerdict check_expectations(const expectations::FleetModel& fleet, const config::Expectations& setup,
                               int threads, const std::atomic<bool>& stop) {
    const expectations::Suite suite = load_suite(setup.file, fleet);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::microseconds(setup.budget);
    const SuiteRun run = run_suite(fleet, suite, threads, [&](std::size_t, std::size_t) {
        return !stop && std::chrono::steady_clock::now() < deadline;
    });
    GateVerdict verdict{{}, run.worlds_run, run.worlds.size()};
    for (std::size_t i = 0; i < suite.expectations.size(); ++i) {
        const expectations::Expectation& expectation = suite.expectations[i];
        const expectations::Counts& tally = run.tallies[i];
        const expectations::Evaluation evaluation = expectations::verdict_of(expectation, tally);
        if (evaluation.holds != expectations::Conclusion::broken) continue;
        verdict.broken.push_back(fmt::format(
            "{}, because {}: {}", expectation.name, expectation.reason,
            tally.first ? fmt::format("{}: {}", run.worlds[tally.first->world].title, tally.first->what)
                        : evaluation.text));
    }
    return verdict;
}

bool log_verdict(const GateVerdict& verdict, const config::Expectations& setup) {
    for (const std::string& line : verdict.broken) log::error("expectations: broken expectation={}", line);
    if (verdict.worlds_run < verdict.worlds)
        log::warn("expectations: time budget exhausted checked={} scenarios={} budget_s={}",
                  verdict.worlds_run, verdict.worlds, static_cast<double>(setup.budget) / 1e6);
    else if (verdict.broken.empty())
        log::info("expectations: all hold scenarios={}", verdict.worlds_run);
    return verdict.broken.empty();
}

}  // namespace sumackeel::daemon
