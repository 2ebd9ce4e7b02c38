#include "daemon/statusserver.h"

#include <utility>

namespace rhubarblane
{

StatusServer::StatusServer(const PeerAddress &listen, StatusHooks hooks)
    : hooks_(std::move(hooks))
    , listener_("http://" + formatPeerAddress(listen))
{
    listener_.support(web::http::methods::GET, [this](const web::http::http_request &request) { handle(request); });
    listener_.open().wait();
}

StatusServer::~StatusServer()
{
    try {
        listener_.close().wait();
    } catch (const std::exception &) {
        // The process ends; a listener that fails to close has no one left to tell.
    }
}

void StatusServer::handle(const web::http::http_request &request)
{
    const std::string path = request.relative_uri().path();
    if (path == "/metrics") {
        request.reply(web::http::status_codes::OK, hooks_.metrics(), "text/plain; version=0.0.4");
    } else if (path == "/v1/dump") {
        request.reply(web::http::status_codes::OK, hooks_.dump());
    } else {
        request.reply(web::http::status_codes::NotFound, "no such path; allowed: /metrics, /v1/dump\n");
    }
}

} // namespace rhubarblane
