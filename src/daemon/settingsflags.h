#ifndef RHUBARBLANE_DAEMON_SETTINGSFLAGS_H
#define RHUBARBLANE_DAEMON_SETTINGSFLAGS_H

#include "daemon/settings.h"

#include <string>
#include <vector>

namespace rhubarblane
{

/** Role that accepts a flag, and whether the flag is required. */
enum class FlagUse {
    Both,
    BothRequired,
    Balancer,
    BalancerRequired,
    Agent,
    AgentRequired,
};

/** A command-line flag of rhubarblaned. */
struct FlagSpec {
    std::string name;
    FlagUse use = FlagUse::Both;
    std::string argument;
    std::string help;
    /** Description of the allowed values for error messages and help. */
    std::string allowed;
    /** Parses the value and stores it in the settings; returns false if it is not allowed. */
    std::function<bool(Settings &settings, const std::string &value)> store;
};

const std::vector<FlagSpec> &flagSpecs();

bool takesFlag(Role role, FlagUse use);
bool requiresFlag(Role role, FlagUse use);

} // namespace rhubarblane

#endif
