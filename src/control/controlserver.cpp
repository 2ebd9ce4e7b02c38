#include "control/controlserver.h"

#include "wire/httpserver.h"

#include <utility>

namespace rhubarblane
{

class ControlServer::Private
{
public:
    Private(ControlSettings settings, ControlHooks hooks)
        : settings_(std::move(settings))
        , hooks_(std::move(hooks))
    {
    }

    void handle(const web::http::http_request &request)
    {
        const std::string path = request.relative_uri().path();
        if (path == "/metrics") {
            request.reply(web::http::status_codes::OK, hooks_.metrics(), "text/plain; version=0.0.4");
        } else if (path == "/v1/dump") {
            request.reply(web::http::status_codes::OK, hooks_.dump(), "application/json");
        } else if (path == "/v1/targets") {
            request.reply(web::http::status_codes::OK, hooks_.targets(), "application/json");
        } else {
            request.reply(web::http::status_codes::NotFound,
                          R"({"error":{"code":"notFound","message":"no such path"}})",
                          "application/json");
        }
    }

    ControlSettings settings_;
    ControlHooks hooks_;
    HttpServer http_;
};

ControlServer::ControlServer(ControlSettings settings, ControlHooks hooks)
    : d_(std::make_unique<Private>(std::move(settings), std::move(hooks)))
{
}

ControlServer::~ControlServer()
{
    stop();
}

std::optional<Error> ControlServer::start()
{
    return d_->http_.start(d_->settings_.listenAddress,
                           [this](const web::http::http_request &request) { d_->handle(request); });
}

void ControlServer::stop()
{
    d_->http_.stop();
}

std::uint16_t ControlServer::httpPort() const
{
    return d_->http_.port();
}

std::uint16_t ControlServer::peerPort() const
{
    return 0;
}

} // namespace rhubarblane
