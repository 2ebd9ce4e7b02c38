#include "wire/jsontext.h"

#include <exception>
#include <system_error>

namespace rhubarblane
{

Outcome<web::json::value> parseJson(const std::string &text)
{
    std::error_code failure;
    try {
        web::json::value json = web::json::value::parse(text, failure);
        if (!failure) {
            return json;
        }
    } catch (const std::exception &exception) {
        // Escaped UTF-16 surrogates that do not match cause std::range_error.
        return Error {ErrorCode::InvalidArgument, {}, exception.what()};
    }
    return Error {ErrorCode::InvalidArgument, {}, failure.message()};
}

} // namespace rhubarblane
