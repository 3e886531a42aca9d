#include "cli/store_command.h"

#include <fmt/format.h>

#include "base/json_line.h"
#include "config/config.h"
#include "net/stream.h"

namespace sumackeel::cli {

namespace {

constexpr base::Micros kTimeout = 5'000'000;

struct StoreClient : net::Stream::Handler {
    net::Loop& loop;
    std::string question, answer;

    StoreClient(net::Loop& l, std::string q) : loop(l), question(std::move(q)) {}
    void on_open(net::Stream& stream) override { stream.write(question); }
    void on_data(net::Stream& stream, std::string_view bytes) override {
        answer += bytes;
        if (answer.find('\n') == std::string::npos) return;
        stream.close();
        loop.stop();
    }
    void on_close(net::Stream&, net::DisconnectCause) override { loop.stop(); }
};

Json::Value question_of(const std::vector<std::string>& words, const StoreFlags& flags) {
    Json::Value question;
    const std::string word = words.empty() ? "" : words[0];
    if (words.size() == 1 && word == "promote") {
        question["promote"] = true;
    } else if (words.size() <= 2 && word == "list") {
        question["list"] = words.size() == 2 ? words[1] : "";
    } else if (words.size() == 2 && word == "get") {
        question["get"] = words[1];
        if (flags.sure) question["sure"] = true;
    } else if (words.size() == 2 && word == "remove") {
        question["remove"] = words[1];
    } else if (words.size() == 3 && word == "set") {
        question["set"] = words[1];
        question["value"] = words[2];
        if (flags.lasts_s > 0) question["lasts_s"] = flags.lasts_s;
    } else {
        throw config::ConfigError("store takes get KEY, set KEY VALUE, remove KEY, list [PREFIX] or promote");
    }
    if (flags.version) question["version"] = Json::UInt64{*flags.version};
    return question;
}

}  // namespace

bool store_command(const std::string& address, const std::vector<std::string>& words,
                   const StoreFlags& flags) {
    const std::string question = base::to_json_line(question_of(words, flags));
    net::Loop loop;
    net::SocketBudget budget(4);
    StoreClient client(loop, question);
    sockaddr_in to{};
    if (!net::parse_address(address, to)) throw config::ConfigError("no address of a member: " + address);
    if (!net::Stream::connect(loop, budget, to, client))
        throw config::ConfigError("no connection to " + address);
    loop.timers().schedule(loop.clock().now() + kTimeout, [&loop] { loop.stop(); });
    loop.run();
    const auto end = client.answer.find('\n');
    if (end == std::string::npos) throw config::ConfigError(address + " does not answer");
    const std::string line = client.answer.substr(0, end);
    fmt::print("{}\n", line);
    const Json::Value answer = config::parse(line, address);
    return !answer.isMember("refused") && (!answer.isMember("outcome") || answer["outcome"] == "done");
}

}  // namespace sumackeel::cli
