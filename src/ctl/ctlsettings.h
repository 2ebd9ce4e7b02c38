#ifndef RHUBARBLANE_CTL_CTLSETTINGS_H
#define RHUBARBLANE_CTL_CTLSETTINGS_H

#include "base/clock.h"
#include "base/outcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Settings from the command line and the environment. */
struct CtlSettings {
    /** "IP:PORT" of balancers, tried in this order. */
    std::vector<std::string> servers;
    std::string apiKeyFile;
    /** Timeout of the whole command. */
    Milliseconds timeout = Milliseconds(30000);
    /** File with the resources of `apply`. */
    std::string file;
    /** Generation that `watch` waits for; 0 selects the current one. */
    std::uint64_t generation = 0;
    /** Version that `delete` expects; empty selects the current one. */
    std::string resourceVersion;
    /** Write token of an earlier attempt whose outcome is unknown. */
    std::string token;
    std::string command;
    std::vector<std::string> arguments;
};

/** Looks up an environment variable; nullptr if it is not set. */
using Environment = std::function<const char *(const char *)>;

/** Returns the help text of the command line. */
std::string ctlUsage();

/** Parses arguments without the program name. The error names the flag, its value and the allowed values. */
Outcome<CtlSettings> parseCtlSettings(const std::vector<std::string> &arguments, const Environment &environment);

} // namespace rhubarblane

#endif
