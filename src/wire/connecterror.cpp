#include "wire/connecterror.h"

#include <system_error>

namespace rhubarblane
{

bool isConnectError(const web::http::http_exception &exception)
{
    return exception.error_code() == std::errc::host_unreachable
        || exception.error_code() == std::errc::connection_refused;
}

} // namespace rhubarblane
