#ifndef RHUBARBLANE_RUNTIME_ESCAPEDTEXT_H
#define RHUBARBLANE_RUNTIME_ESCAPEDTEXT_H

#include <string>

namespace rhubarblane
{

/** Escapes line feeds, double quotes and backslashes for quoted values in logs and metrics. */
std::string escapedText(const std::string &text);

} // namespace rhubarblane

#endif
