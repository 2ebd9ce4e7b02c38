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
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;

    /** Empty if absent. */
    std::string header(const std::string &name) const;
};

struct ApiResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
};

ApiResponse jsonResponse(int status, const web::json::value &body);

/** An error answer: `error` has code, message and, if known, the field at fault. */
web::json::value errorBody(const std::string &code, const Error &error);

/** The status and code word that belong to the error's code. */
ApiResponse errorResponse(const Error &error);

/** An error answer with a status that has no error code of its own. */
ApiResponse errorResponse(int status, const std::string &code, const std::string &message);

/** Compares two secrets in a time that does not depend on their content. */
bool isSameSecret(const std::string &a, const std::string &b);

} // namespace rhubarblane

#endif
