#ifndef RHUBARBLANE_STANDINS_STOREPROGRAM_H
#define RHUBARBLANE_STANDINS_STOREPROGRAM_H

#include <string>
#include <vector>

namespace rhubarblane
{

/** The program `rhubarblane_standin store`. */
int runStoreStandin(const std::vector<std::string> &arguments);

} // namespace rhubarblane

#endif
