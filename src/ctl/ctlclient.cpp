#include "ctl/ctlclient.h"

#include "wire/connecterror.h"
#include "wire/jsontext.h"

#include <cpprest/http_client.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rhubarblane
{

std::string errorCodeOf(const CtlResponse &answer)
{
    const Outcome<web::json::value> parsed = parseJson(answer.body);
    if (!isOk(parsed)) {
        return {};
    }
    const web::json::value &json = valueOf(parsed);
    if (!json.is_object() || !json.has_object_field("error") || !json.at("error").has_string_field("code")) {
        return {};
    }
    return json.at("error").at("code").as_string();
}

CtlClient::CtlClient(std::vector<std::string> servers, std::string apiKey, Milliseconds timeout)
    : servers_(std::move(servers))
    , apiKey_(std::move(apiKey))
    , deadline_(clock_.now() + timeout)
{
}

Milliseconds CtlClient::remaining() const
{
    return std::max(Milliseconds(0), deadline_ - clock_.now());
}

Outcome<CtlResponse> CtlClient::send(const CtlRequest &request) const
{
    Outcome<CtlResponse> last = Error {ErrorCode::Unavailable, "--server", "no server responded"};
    for (const std::string &server : servers_) {
        last = sendTo(server, request);
        const bool unreachable = !isOk(last) && errorOf(last).code == ErrorCode::Unavailable;
        const bool notStored = isOk(last) && valueOf(last).status == 503 && errorCodeOf(valueOf(last)) == "notStored";
        if (!unreachable && !notStored) {
            return last;
        }
    }
    return last;
}

Outcome<CtlResponse> CtlClient::sendTo(const std::string &server, const CtlRequest &request) const
{
    const Milliseconds left = remaining();
    if (left == Milliseconds(0)) {
        return Error {ErrorCode::Unavailable, "--timeout-ms", "the timeout has expired"};
    }
    const ErrorCode uncertainCode = request.method == "GET" ? ErrorCode::Unavailable : ErrorCode::Unknown;
    try {
        web::http::client::http_client_config config;
        config.set_timeout(std::chrono::milliseconds(left.count()));
        // Each request has its own connection, because cpprestsdk resends a request by itself if a reused connection
        // was closed.
        web::http::client::http_client client("http://" + server, config);
        web::http::http_request message(request.method);
        message.set_request_uri(request.path);
        message.headers().add("Connection", "close");
        for (const auto &[name, value] : request.headers) {
            message.headers().add(name, value);
        }
        if (!apiKey_.empty() && request.method != "GET") {
            message.headers().add("Authorization", "Bearer " + apiKey_);
        }
        if (!request.body.empty()) {
            message.set_body(request.body, "application/json");
        }
        const web::http::http_response response = client.request(message).get();
        return CtlResponse {static_cast<int>(response.status_code()), response.extract_utf8string(true).get()};
    } catch (const web::http::http_exception &exception) {
        return Error {isConnectError(exception) ? ErrorCode::Unavailable : uncertainCode,
                      "--server",
                      server + ": " + exception.what()};
    } catch (const std::exception &exception) {
        return Error {uncertainCode, "--server", server + ": " + exception.what()};
    }
}

} // namespace rhubarblane
