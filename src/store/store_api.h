// Where `sumackeel store` asks: one JSON object a line, an answer a line, any number a connection. Knows no
// store; who owns it answers, at once or later.
#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/listener.h"
#include "net/stream.h"

namespace sumackeel::store {

class StoreApi {
  public:
    using Answer = std::function<void(const Json::Value&)>;  // dropped where the caller has gone
    using QuestionHandler = std::function<void(const Json::Value& question, const Answer& answer)>;

    // Throws where `listen` can't be used.
    StoreApi(net::Loop& loop, net::SocketBudget& budget, const std::string& listen, QuestionHandler take);
    ~StoreApi();
    StoreApi(const StoreApi&) = delete;
    StoreApi& operator=(const StoreApi&) = delete;
    int port() const { return listener_.port(); }

  private:
    struct Caller;
    void took(Caller& caller);

    net::Loop& loop_;
    net::SocketBudget& budget_;
    QuestionHandler take_;
    std::vector<std::shared_ptr<Caller>> callers_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::Listener listener_;
};

}  // namespace sumackeel::store
