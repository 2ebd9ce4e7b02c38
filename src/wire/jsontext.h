#ifndef RHUBARBLANE_WIRE_JSONTEXT_H
#define RHUBARBLANE_WIRE_JSONTEXT_H

#include "base/outcome.h"

#include <cpprest/json.h>

#include <string>

namespace rhubarblane
{

/**
 * Parses JSON that another process wrote. Returns InvalidArgument, with the reason as message, if the text is not valid
 * JSON. Text from other processes must be parsed by this function, because the parser of cpprestsdk throws exceptions
 * for some texts even if it is given an error code.
 */
Outcome<web::json::value> parseJson(const std::string &text);

} // namespace rhubarblane

#endif
