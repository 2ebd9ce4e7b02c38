#include "wire/httpserver.h"

#include "wire/peeraddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rhubarblane
{

namespace
{

using web::http::experimental::listener::http_listener;

/** Lets the kernel select a free port; 0 on failure. The listener itself treats port 0 as port 80. */
std::uint16_t freePort(std::uint32_t address)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (handle < 0) {
        return 0;
    }
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(address);
    socklen_t size = sizeof(name);
    std::uint16_t port = 0;
    if (bind(handle, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) == 0
        && getsockname(handle, reinterpret_cast<sockaddr *>(&name), &size) == 0) {
        port = ntohs(name.sin_port);
    }
    close(handle);
    return port;
}

} // namespace

std::optional<Error> HttpServer::start(const std::string &address, const Handler &handler)
{
    const std::size_t colon = address.rfind(':');
    const Outcome<std::uint32_t> host = parseIpv4(address.substr(0, colon));
    if (colon == std::string::npos || !isOk(host)) {
        return Error {ErrorCode::InvalidArgument, "listenAddress", "'" + address + "' is not IP:PORT"};
    }
    const bool anyPort = address.substr(colon + 1) == "0";
    std::string reason;
    // Another process may bind the free port before the listener opens it, so this is retried.
    for (int attempt = 0; attempt < (anyPort ? 20 : 1); ++attempt) {
        const std::string port = anyPort ? std::to_string(freePort(valueOf(host))) : address.substr(colon + 1);
        try {
            listener_ =
                std::make_unique<http_listener>(web::uri("http://" + address.substr(0, colon) + ":" + port + "/"));
            listener_->support(handler);
            listener_->open().wait();
            port_ = static_cast<std::uint16_t>(std::stoul(port));
            return std::nullopt;
        } catch (const std::exception &exception) {
            reason = exception.what();
            listener_.reset();
        }
    }
    return Error {ErrorCode::Unavailable, "listenAddress", "cannot listen on " + address + ": " + reason};
}

void HttpServer::stop()
{
    if (!listener_) {
        return;
    }
    try {
        listener_->close().wait();
    } catch (const std::exception &) {
        // Errors are ignored, because the listener is discarded in any case.
    }
    listener_.reset();
    port_ = 0;
}

} // namespace rhubarblane
