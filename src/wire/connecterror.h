#ifndef RHUBARBLANE_WIRE_CONNECTERROR_H
#define RHUBARBLANE_WIRE_CONNECTERROR_H

#include <cpprest/http_client.h>

namespace rhubarblane
{

/** Returns true if no connection was established, so that the server has certainly not received the request. */
bool isConnectError(const web::http::http_exception &exception);

} // namespace rhubarblane

#endif
