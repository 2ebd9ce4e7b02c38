#ifndef RHUBARBLANE_WIRE_HTTPSERVER_H
#define RHUBARBLANE_WIRE_HTTPSERVER_H

#include "base/outcome.h"

#include <cpprest/http_listener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rhubarblane
{

/** Opens an HTTP listener at an "IP:PORT" address; port 0 selects a free port. */
class HttpServer
{
public:
    using Handler = std::function<void(const web::http::http_request &)>;

    /** The handler runs on pool threads, several at a time. */
    std::optional<Error> start(const std::string &address, const Handler &handler);

    /**
     * Waits for running handlers. While the process has other servers the library keeps the port open and answers 404
     * there.
     */
    void stop();

    /** 0 when stopped. */
    std::uint16_t port() const
    {
        return port_;
    }

private:
    std::unique_ptr<web::http::experimental::listener::http_listener> listener_;
    std::uint16_t port_ = 0;
};

} // namespace rhubarblane

#endif
