// The API used by `sumackeel store`: each line is a JSON object, each request gets one response line, and a
// connection can carry any number of requests. Independent of the store itself; the owner handles the
// requests and responds immediately or later.
//
// Requests are handled by all connections in turns, within a time budget in each iteration of the loop. A
// connection whose client reads no responses, or that has many requests without a response, has to wait, and
// is not read any more once a line of maximum size is waiting.
#pragma once

#include <json/json.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/listener.h"
#include "net/stream.h"

namespace sumackeel::store {

class StoreApi {
  public:
    using Answer = std::function<void(const Json::Value&)>;  // does nothing if the client has disconnected
    // `received_at`: when the request arrived. That is long ago if the process was stopped meanwhile.
    using RequestHandler =
        std::function<void(const Json::Value& request, base::Micros received_at, const Answer& respond)>;

    // Throws if `listen` can't be used.
    StoreApi(net::Loop& loop, net::SocketBudget& budget, const std::string& listen,
             RequestHandler handle_request);
    ~StoreApi();
    StoreApi(const StoreApi&) = delete;
    StoreApi& operator=(const StoreApi&) = delete;
    int port() const { return listener_.port(); }

  private:
    struct Connection;
    void remove(Connection& connection);
    void enqueue(Connection& connection);
    void schedule_handling();
    void handle_queued();
    void resume_awaiting_room();

    net::Loop& loop_;
    net::SocketBudget& budget_;
    RequestHandler handle_request_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::deque<std::shared_ptr<Connection>> queue_;  // with a request to handle, longest waiting first
    bool handling_scheduled_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::Listener listener_;
};

}  // namespace sumackeel::store
