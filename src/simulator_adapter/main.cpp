// Reads one batch of events per line from standard input and writes one line of actions for each.
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "routing/router.h"
#include "simulator_adapter/simulator_protocol.h"

namespace {

namespace simulator_adapter = sumackeel::simulator_adapter;
using nlohmann::json;
using sumackeel::routing::Action;
using sumackeel::routing::Micros;
using sumackeel::routing::Router;

struct Instance {
    simulator_adapter::Names names;
    Router router;
};

class Adapter {
  public:
    json reply_to(const json& batch) {
        if (!batch.is_object() || !batch.contains("now") || !batch["now"].is_number_integer())
            throw simulator_adapter::ProtocolError("batch: 'now' is missing or not a whole number");
        const auto now = batch["now"].get<Micros>();
        json groups = json::array();
        if (!batch.contains("groups") || !batch["groups"].is_array())
            throw simulator_adapter::ProtocolError("batch: 'groups' is missing or not an array");
        for (const json& group : batch["groups"]) {
            json reply = process_group(now, group);
            if (!reply.is_null()) groups.push_back(std::move(reply));
        }
        return {{"groups", std::move(groups)}};
    }

  private:
    json process_group(Micros now, const json& group) {
        if (!group.is_object() || !group.contains("i") || !group["i"].is_string())
            throw simulator_adapter::ProtocolError("group: 'i' is missing or not text");
        if (!group.contains("arrivals") || !group["arrivals"].is_array())
            throw simulator_adapter::ProtocolError("group: 'arrivals' is missing or not an array");
        const auto name = group["i"].get<std::string>();
        json actions = json::array();
        for (const json& message : group["arrivals"]) handle(name, now, message, actions);
        if (actions.empty()) return nullptr;
        return {{"i", name}, {"do", std::move(actions)}};
    }

    void handle(const std::string& name, Micros now, const json& message, json& actions) {
        const std::string event = simulator_adapter::message_name(message);
        if (event == "new_instance") {
            simulator_adapter::Start start = simulator_adapter::read_start(message);
            instances_.insert_or_assign(name, Instance{start.names, Router(start.settings, start.seed)});
            return;
        }
        auto found = instances_.find(name);
        if (found == instances_.end())
            throw simulator_adapter::ProtocolError("group: unknown instance '" + name + "'");
        if (event == "exit") {
            instances_.erase(found);
            actions = json::array();  // its earlier actions in this batch are dropped too
            return;
        }
        const sumackeel::routing::Event read = simulator_adapter::read_event(message, found->second.names);
        std::vector<Action> decided;
        try {
            found->second.router.handle(now, read, decided);
        } catch (const std::exception& error) {
            actions.push_back(json::array({"panic", error.what()}));
        }
        for (const Action& action : decided) actions.push_back(simulator_adapter::write_action(action));
    }

    std::map<std::string, Instance> instances_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    Adapter adapter;
    std::string line;
    long number = 0;
    while (std::getline(std::cin, line)) {
        ++number;
        try {
            std::cout << adapter.reply_to(json::parse(line)).dump() << '\n' << std::flush;
        } catch (const std::exception& error) {
            std::cerr << "simulator_adapter: line " << number << ": " << error.what() << '\n';
            return 1;
        }
    }
    return 0;
}
