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

/** An HTTP listener at an "IP:PORT" address; port 0 selects a free port. */
class HttpServer
{
public:
    using Handler = std::function<void(const web::http::http_request &)>;

    /** The handler is called concurrently on the threads of a pool. */
    std::optional<Error> start(const std::string &address, const Handler &handler);

    /**
     * Waits for running handlers. As long as the process has other servers, cpprestsdk keeps the port open and responds
     * to requests with 404.
     */
    void stop();

    /** Returns the port in use; 0 if the server is not started. */
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
