#ifndef RHUBARBLANE_STANDINS_STOREPROGRAM_H
#define RHUBARBLANE_STANDINS_STOREPROGRAM_H

#include <string>
#include <vector>

namespace rhubarblane
{

/** Runs `rhubarblane_standin store` and returns its exit code. */
int runStoreStandin(const std::vector<std::string> &arguments);

} // namespace rhubarblane

#endif
