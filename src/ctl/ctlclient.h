#ifndef RHUBARBLANE_CTL_CTLCLIENT_H
#define RHUBARBLANE_CTL_CTLCLIENT_H

#include "base/clock.h"
#include "base/outcome.h"

#include <cpprest/json.h>

#include <map>
#include <string>
#include <vector>

namespace rhubarblane
{

struct CtlRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct CtlResponse {
    int status = 0;
    std::string body;
};

/** Sends requests to the first balancer of a list that responds. */
class CtlClient
{
public:
    CtlClient(std::vector<std::string> servers, std::string apiKey, Milliseconds timeout);

    /**
     * Sends a request. A read is retried on the next server if there is no response, a write only if it certainly had
     * no effect: the connection failed, or the response has the code "notStored". Fails with Unavailable if the request
     * had no effect, and with Unknown if a write may have taken effect.
     */
    Outcome<CtlResponse> send(const CtlRequest &request) const;

    /** Returns the time until the timeout of the command; 0 after it. */
    Milliseconds remaining() const;

private:
    Outcome<CtlResponse> sendTo(const std::string &server, const CtlRequest &request) const;

    std::vector<std::string> servers_;
    std::string apiKey_;
    SystemClock clock_;
    Timestamp deadline_;
};

/** Returns the string in `error.code` of an error response; empty if there is none. */
std::string errorCodeOf(const CtlResponse &answer);

} // namespace rhubarblane

#endif
