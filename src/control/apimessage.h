#ifndef RHUBARBLANE_CONTROL_APIMESSAGE_H
#define RHUBARBLANE_CONTROL_APIMESSAGE_H

#include "base/outcome.h"

#include <cpprest/json.h>

#include <map>
#include <string>

namespace rhubarblane
{

/** A request to the operators' API, independent of the HTTP library. */
struct ApiRequest {
    std::string method;
    std::string path;
    /** Header values by header name; the names are in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;

    /** Returns the value of a header given by its lower-case name; empty if it is absent. */
    std::string header(const std::string &name) const;
};

struct ApiResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
};

ApiResponse jsonResponse(int status, const web::json::value &body);

/** Returns the body of an error response: `error` has the code, the message and, if known, the invalid field. */
web::json::value errorBody(const std::string &code, const Error &error);

/** Returns an error response with the HTTP status and the code string that correspond to the error's code. */
ApiResponse errorResponse(const Error &error);

/** Returns an error response with an HTTP status for which ErrorCode has no value. */
ApiResponse errorResponse(int status, const std::string &code, const std::string &message);

/** Compares two secrets in a time that does not depend on their content, only on their lengths. */
bool isSameSecret(const std::string &a, const std::string &b);

} // namespace rhubarblane

#endif
