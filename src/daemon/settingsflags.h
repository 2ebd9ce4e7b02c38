#ifndef RHUBARBLANE_DAEMON_SETTINGSFLAGS_H
#define RHUBARBLANE_DAEMON_SETTINGSFLAGS_H

#include "daemon/settings.h"

#include <string>
#include <vector>

namespace rhubarblane
{

/** Which role takes a flag, and whether it has to be given. */
enum class FlagUse {
    Both,
    BothRequired,
    Balancer,
    BalancerRequired,
    Agent,
    AgentRequired,
};

/** One flag of rhubarblaned. */
struct FlagSpec {
    std::string name;
    FlagUse use = FlagUse::Both;
    std::string argument;
    std::string help;
    /** What is allowed, for errors. */
    std::string allowed;
    /** Stores the value; returns false if it is not allowed. */
    std::function<bool(Settings &settings, const std::string &value)> store;
};

const std::vector<FlagSpec> &flagSpecs();

bool takesFlag(Role role, FlagUse use);
bool requiresFlag(Role role, FlagUse use);

} // namespace rhubarblane

#endif
