#ifndef RHUBARBLANE_BASE_OUTCOME_H
#define RHUBARBLANE_BASE_OUTCOME_H

#include <string>
#include <utility>
#include <variant>

namespace rhubarblane
{

enum class ErrorCode {
    InvalidArgument, ///< Input that no retry makes valid.
    NotFound,
    Conflict, ///< A newer version exists.
    Unavailable, ///< Nothing was done; a retry may succeed.
    Unknown, ///< It may or may not have been done.
    Unauthorized,
};

/** Why an operation has no value. `field` names the input at fault, if any. */
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string field;
    std::string message;
};

/** A value or the reason why there is none. */
template<typename T>
using Outcome = std::variant<T, Error>;

template<typename T>
bool isOk(const Outcome<T> &outcome)
{
    return std::holds_alternative<T>(outcome);
}

template<typename T>
const T &valueOf(const Outcome<T> &outcome)
{
    return std::get<T>(outcome);
}

template<typename T>
T takeValue(Outcome<T> &&outcome)
{
    return std::get<T>(std::move(outcome));
}

template<typename T>
const Error &errorOf(const Outcome<T> &outcome)
{
    return std::get<Error>(outcome);
}

} // namespace rhubarblane

#endif
