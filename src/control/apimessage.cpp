#include "control/apimessage.h"

#include <openssl/crypto.h>

namespace rhubarblane
{

using web::json::value;

std::string ApiRequest::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

ApiResponse jsonResponse(int status, const value &body)
{
    ApiResponse response;
    response.status = status;
    response.body = body.serialize();
    return response;
}

value errorBody(const std::string &code, const Error &error)
{
    value detail = value::object();
    detail["code"] = value(code);
    if (!error.field.empty()) {
        detail["field"] = value(error.field);
    }
    detail["message"] = value(error.message);
    value body = value::object();
    body["error"] = detail;
    return body;
}

ApiResponse errorResponse(const Error &error)
{
    switch (error.code) {
    case ErrorCode::InvalidArgument:
        return jsonResponse(400, errorBody("invalid", error));
    case ErrorCode::NotFound:
        return jsonResponse(404, errorBody("notFound", error));
    case ErrorCode::Conflict:
        return jsonResponse(409, errorBody("conflict", error));
    case ErrorCode::Unavailable:
        return jsonResponse(503, errorBody("notStored", error));
    case ErrorCode::Unknown:
        return jsonResponse(503, errorBody("outcomeUnknown", error));
    case ErrorCode::Unauthorized:
        break;
    }
    return jsonResponse(401, errorBody("unauthorized", error));
}

ApiResponse errorResponse(int status, const std::string &code, const std::string &message)
{
    return jsonResponse(status, errorBody(code, {ErrorCode::InvalidArgument, {}, message}));
}

bool isSameSecret(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace rhubarblane
