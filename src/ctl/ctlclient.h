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

/** Talks to the first balancer of a list that answers. */
class CtlClient
{
public:
    CtlClient(std::vector<std::string> servers, std::string apiKey, Milliseconds timeout);

    /**
     * Sends a request. A read goes to the next server if one does not answer; a write only if the server certainly did
     * nothing: no connection could be made, or the answer says "notStored". Unavailable: nothing was done. Unknown: a
     * write may have been done.
     */
    Outcome<CtlResponse> send(const CtlRequest &request) const;

    /** Time that is left for the command; 0 when it is over. */
    Milliseconds remaining() const;

private:
    Outcome<CtlResponse> sendTo(const std::string &server, const CtlRequest &request) const;

    std::vector<std::string> servers_;
    std::string apiKey_;
    SystemClock clock_;
    Timestamp deadline_;
};

/** The word in `error.code` of an error answer; empty if there is none. */
std::string errorCodeOf(const CtlResponse &answer);

} // namespace rhubarblane

#endif
