#ifndef RHUBARBLANE_RUNTIME_ESCAPEDTEXT_H
#define RHUBARBLANE_RUNTIME_ESCAPEDTEXT_H

#include <string>

namespace rhubarblane
{

/** The text as it stands between double quotes in logs and metrics: line feeds, quotes and backslashes are escaped. */
std::string escapedText(const std::string &text);

} // namespace rhubarblane

#endif
