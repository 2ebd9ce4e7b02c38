#ifndef RHUBARBLANE_DAEMON_STATUSSERVER_H
#define RHUBARBLANE_DAEMON_STATUSSERVER_H

#include "wire/httpserver.h"
#include "wire/peeraddress.h"

#include <functional>
#include <optional>
#include <string>

namespace rhubarblane
{

/** Functions that return the response bodies of an agent's HTTP server. They run on HTTP threads. */
struct StatusHooks {
    std::function<std::string()> metrics;
    std::function<std::string()> dump;
};

/** Serves GET /metrics and GET /v1/dump of an agent. */
class StatusServer
{
public:
    explicit StatusServer(StatusHooks hooks);
    StatusServer(const StatusServer &) = delete;
    StatusServer &operator=(const StatusServer &) = delete;
    ~StatusServer();

    std::optional<Error> start(const PeerAddress &listen);

private:
    void handle(const web::http::http_request &request);

    StatusHooks hooks_;
    HttpServer http_;
};

} // namespace rhubarblane

#endif
