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

/** Everything that a process is told at start. */
struct Settings {
    Role role = Role::Balancer;
    std::string name;
    PeerAddress listen;
    /** Where peers reach this process; equal to `listen` unless set. */
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

    // Balancer.
    std::optional<PeerAddress> fabricListen;
    std::optional<PeerAddress> store;
    std::optional<PeerAddress> peerListen;
    std::string apiKey;
    std::string configuration;
    std::int64_t flowCacheLimit = 1000000;
    Milliseconds leaveDelay = Milliseconds(1000);

    // Agent.
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

/** Text to print instead of starting: help, the version or the errors. */
struct SettingsMessage {
    std::string text;
    int exitCode = 0;
};

/** Reads the value of an environment variable; null if it is not set. */
using Environment = std::function<const char *(const std::string &name)>;

/**
 * Reads flags and the environment; a flag wins over its variable. All settings are checked, and each error names the
 * flag, the value and what is allowed; the exit code for errors is 2.
 */
std::variant<Settings, SettingsMessage> readSettings(const std::vector<std::string> &arguments,
                                                     const Environment &environment);

/** The variable that stands for a flag: "--log-level" is RHUBARBLANE_LOG_LEVEL. */
std::string environmentNameOf(const std::string &flag);

} // namespace rhubarblane

#endif
