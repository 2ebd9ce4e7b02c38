#ifndef RHUBARBLANE_DAEMON_STATUSSERVER_H
#define RHUBARBLANE_DAEMON_STATUSSERVER_H

#include "wire/peeraddress.h"

#include <cpprest/http_listener.h>
#include <cpprest/json.h>

#include <functional>
#include <string>

namespace rhubarblane
{

/** What an agent's HTTP server answers with. The functions run on HTTP threads. */
struct StatusHooks {
    std::function<std::string()> metrics;
    std::function<web::json::value()> dump;
};

/** Serves GET /metrics and GET /v1/dump of an agent. */
class StatusServer
{
public:
    /** Throws web::http::http_exception if the address cannot be bound. */
    StatusServer(const PeerAddress &listen, StatusHooks hooks);
    StatusServer(const StatusServer &) = delete;
    StatusServer &operator=(const StatusServer &) = delete;
    ~StatusServer();

private:
    void handle(const web::http::http_request &request);

    StatusHooks hooks_;
    web::http::experimental::listener::http_listener listener_;
};

} // namespace rhubarblane

#endif
