#ifndef RHUBARBLANE_WIRE_CONNECTERROR_H
#define RHUBARBLANE_WIRE_CONNECTERROR_H

#include <cpprest/http_client.h>

namespace rhubarblane
{

/** Whether no connection could be made, so that the server has certainly not seen the request. */
bool isConnectError(const web::http::http_exception &exception);

} // namespace rhubarblane

#endif
