#include "daemon/statusserver.h"

#include <utility>

namespace rhubarblane
{

StatusServer::StatusServer(StatusHooks hooks)
    : hooks_(std::move(hooks))
{
}

StatusServer::~StatusServer()
{
    http_.stop();
}

std::optional<Error> StatusServer::start(const PeerAddress &listen)
{
    return http_.start(formatPeerAddress(listen), [this](const web::http::http_request &request) { handle(request); });
}

void StatusServer::handle(const web::http::http_request &request)
{
    const std::string path = request.relative_uri().path();
    if (path == "/metrics") {
        request.reply(web::http::status_codes::OK, hooks_.metrics(), "text/plain; version=0.0.4");
    } else if (path == "/v1/dump") {
        request.reply(web::http::status_codes::OK, hooks_.dump(), "application/json");
    } else {
        request.reply(web::http::status_codes::NotFound, "no such path; allowed: /metrics, /v1/dump\n");
    }
}

} // namespace rhubarblane
