#ifndef RHUBARBLANE_BASE_OUTCOME_H
#define RHUBARBLANE_BASE_OUTCOME_H

#include <string>
#include <utility>
#include <variant>

namespace rhubarblane
{

enum class ErrorCode {
    InvalidArgument, ///< The input is invalid; a retry cannot succeed.
    NotFound,
    Conflict, ///< A newer version exists.
    Unavailable, ///< The operation was not executed; a retry may succeed.
    Unknown, ///< The operation may or may not have been executed.
    Unauthorized,
};

/** The reason why an operation has no value. `field` names the invalid input, if any. */
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string field;
    std::string message;
};

/** The result of an operation: a value, or the error that explains why there is none. */
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
