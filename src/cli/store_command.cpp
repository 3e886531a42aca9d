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
    std::string request, response;

    StoreClient(net::Loop& l, std::string q) : loop(l), request(std::move(q)) {}
    void on_open(net::Stream& stream) override { stream.write(request); }
    void on_data(net::Stream& stream, std::string_view bytes) override {
        response += bytes;
        if (response.find('\n') == std::string::npos) return;
        stream.close();
        loop.stop();
    }
    void on_close(net::Stream&, net::DisconnectCause) override { loop.stop(); }
};

Json::Value build_request(const std::vector<std::string>& arguments, const StoreFlags& flags) {
    Json::Value request;
    const std::string subcommand = arguments.empty() ? "" : arguments[0];
    if (arguments.size() == 1 && subcommand == "promote") {
        request["promote"] = true;
    } else if (arguments.size() <= 2 && subcommand == "list") {
        request["list"] = arguments.size() == 2 ? arguments[1] : "";
    } else if (arguments.size() == 2 && subcommand == "get") {
        request["get"] = arguments[1];
        if (flags.sure) request["sure"] = true;
    } else if (arguments.size() == 2 && subcommand == "remove") {
        request["remove"] = arguments[1];
    } else if (arguments.size() == 3 && subcommand == "set") {
        request["set"] = arguments[1];
        request["value"] = arguments[2];
        if (flags.lasts_s > 0) request["lasts_s"] = flags.lasts_s;
    } else {
        throw config::ConfigError("store takes get KEY, set KEY VALUE, remove KEY, list [PREFIX] or promote");
    }
    if (flags.version) request["version"] = Json::UInt64{*flags.version};
    return request;
}

}  // namespace

bool store_command(const std::string& address, const std::vector<std::string>& arguments,
                   const StoreFlags& flags) {
    const std::string request = base::to_json_line(build_request(arguments, flags));
    net::Loop loop;
    net::SocketBudget budget(4);
    StoreClient client(loop, request);
    sockaddr_in to{};
    if (!net::parse_address(address, to)) throw config::ConfigError("no address of a member: " + address);
    if (!net::Stream::connect(loop, budget, to, client))
        throw config::ConfigError("no connection to " + address);
    loop.timers().schedule(loop.clock().now() + kTimeout, [&loop] { loop.stop(); });
    loop.run();
    const auto end = client.response.find('\n');
    if (end == std::string::npos) throw config::ConfigError(address + " does not answer");
    const std::string line = client.response.substr(0, end);
    fmt::print("{}\n", line);
    const Json::Value response = config::parse(line, address);
    return !response.isMember("refused") && (!response.isMember("outcome") || response["outcome"] == "done");
}

}  // namespace sumackeel::cli
