#ifndef RHUBARBLANE_DAEMON_SETTINGS_H
#define RHUBARBLANE_DAEMON_SETTINGS_H

#include "base/clock.h"
#include "wire/peeraddress.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rhubarblane
{

enum class Role {
    Balancer,
    Agent,
};

/** Start-up settings of a process. */
struct Settings {
    Role role = Role::Balancer;
    std::string name;
    PeerAddress listen;
    /** Address at which peers reach this process; `listen` if empty. */
    std::optional<PeerAddress> advertise;
    std::string keyFile;
    std::string key;
    std::vector<PeerAddress> balancers;
    std::string availabilityZone;
    std::string region;
    std::optional<PeerAddress> http;
    std::string logLevel = "info";
    Milliseconds shutdownDeadline = Milliseconds(30000);
    std::int64_t seed = 1;

    // Settings of balancers only.
    std::optional<PeerAddress> fabricListen;
    std::optional<PeerAddress> store;
    std::optional<PeerAddress> peerListen;
    std::string apiKey;
    std::string configuration;
    std::int64_t flowCacheLimit = 1000000;
    Milliseconds leaveDelay = Milliseconds(1000);

    // Settings of agents only.
    std::optional<PeerAddress> fabric;
    std::optional<PeerAddress> target;
    std::string client;
    std::map<std::string, std::string> labels;
    std::int64_t slots = 1;
    std::int64_t capacityMilli = 1000;
    std::int64_t queueLimit = 64;
    std::int64_t flowLimit = 500000;

    PeerAddress advertised() const
    {
        return advertise.value_or(listen);
    }
};

/** Text that is printed instead of starting the process: help, the version or errors. */
struct SettingsMessage {
    std::string text;
    int exitCode = 0;
};

/** Returns the value of an environment variable, or null if it is not set. */
using Environment = std::function<const char *(const std::string &name)>;

/**
 * Reads the flags and the environment; a flag overrides its variable. All settings are checked, and each error names
 * the flag, the value and the allowed values. The exit code for errors is 2.
 */
std::variant<Settings, SettingsMessage> readSettings(const std::vector<std::string> &arguments,
                                                     const Environment &environment);

/** Returns the name of the environment variable of a flag, such as RHUBARBLANE_LOG_LEVEL for "log-level". */
std::string environmentNameOf(const std::string &flag);

} // namespace rhubarblane

#endif
