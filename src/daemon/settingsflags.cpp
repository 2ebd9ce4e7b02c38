#include "daemon/settingsflags.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <iterator>

namespace rhubarblane
{

namespace
{

using ValueSetter = std::function<bool(Settings &, const std::string &)>;

const std::string addressAllowed = "an IPv4 address and a port from 1 to 65535, as 127.0.0.1:7000";
const std::string nameAllowed = "1 to 63 letters, digits, '-', '_' or '.'";
constexpr std::size_t MaxNameLength = 63;
constexpr std::size_t MinKeyBytes = 16;
constexpr std::int64_t MaxDurationMs = 7LL * 24 * 3600 * 1000;

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
}

std::optional<std::int64_t> parseInteger(const std::string &text, std::int64_t minimum, std::int64_t maximum)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end || value < minimum || value > maximum) {
        return std::nullopt;
    }
    return value;
}

std::string integerAllowed(std::int64_t minimum, std::int64_t maximum)
{
    return "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = text.find(separator, begin);
        parts.push_back(text.substr(begin, end - begin));
        if (end == std::string::npos) {
            return parts;
        }
        begin = end + 1;
    }
}

ValueSetter storeName(std::string Settings::*member)
{
    return [member](Settings &settings, const std::string &value) {
        settings.*member = value;
        return isName(value);
    };
}

ValueSetter storeAddress(std::optional<PeerAddress> Settings::*member)
{
    return [member](Settings &settings, const std::string &value) {
        const Outcome<PeerAddress> address = parsePeerAddress(value);
        if (isOk(address)) {
            settings.*member = valueOf(address);
        }
        return isOk(address);
    };
}

bool storeListen(Settings &settings, const std::string &value)
{
    const Outcome<PeerAddress> address = parsePeerAddress(value);
    if (isOk(address)) {
        settings.listen = valueOf(address);
    }
    return isOk(address);
}

ValueSetter storeDuration(Milliseconds Settings::*member)
{
    return [member](Settings &settings, const std::string &value) {
        const std::optional<std::int64_t> parsed = parseInteger(value, 0, MaxDurationMs);
        settings.*member = Milliseconds(parsed.value_or(0));
        return parsed.has_value();
    };
}

bool storeBalancers(Settings &settings, const std::string &value)
{
    for (const std::string &part : split(value, ',')) {
        const Outcome<PeerAddress> address = parsePeerAddress(part);
        if (!isOk(address)) {
            return false;
        }
        settings.balancers.push_back(valueOf(address));
    }
    return true;
}

bool storeLabels(Settings &settings, const std::string &value)
{
    for (const std::string &part : split(value, ',')) {
        const std::size_t equals = part.find('=');
        if (equals == std::string::npos || !isName(part.substr(0, equals)) || !isName(part.substr(equals + 1))) {
            return false;
        }
        settings.labels[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return true;
}

bool storeKeyFile(Settings &settings, const std::string &value)
{
    std::ifstream file(value, std::ios::binary);
    settings.keyFile = value;
    settings.key.assign(std::istreambuf_iterator<char>(file), {});
    while (!settings.key.empty() && settings.key.back() == '\n') {
        settings.key.pop_back();
    }
    return settings.key.size() >= MinKeyBytes;
}

ValueSetter storeContent(std::string Settings::*member)
{
    return [member](Settings &settings, const std::string &value) {
        std::ifstream file(value, std::ios::binary);
        (settings.*member).assign(std::istreambuf_iterator<char>(file), {});
        return !(settings.*member).empty();
    };
}

ValueSetter storeReadableFile(std::string Settings::*member)
{
    return [member](Settings &settings, const std::string &value) {
        settings.*member = value;
        return std::ifstream(value).good();
    };
}

bool storeLogLevel(Settings &settings, const std::string &value)
{
    settings.logLevel = value;
    return value == "debug" || value == "info" || value == "warn" || value == "error";
}

FlagSpec integerFlag(const std::string &name,
                     FlagUse use,
                     const std::string &help,
                     std::int64_t Settings::*member,
                     std::int64_t minimum,
                     std::int64_t maximum)
{
    return {name,
            use,
            "NUMBER",
            help,
            integerAllowed(minimum, maximum),
            [member, minimum, maximum](Settings &settings, const std::string &value) {
                const std::optional<std::int64_t> parsed = parseInteger(value, minimum, maximum);
                settings.*member = parsed.value_or(0);
                return parsed.has_value();
            }};
}

FlagSpec
addressFlag(const std::string &name, FlagUse use, const std::string &help, std::optional<PeerAddress> Settings::*member)
{
    return {name, use, "ADDRESS:PORT", help, addressAllowed, storeAddress(member)};
}

FlagSpec nameFlag(const std::string &name, FlagUse use, const std::string &help, std::string Settings::*member)
{
    return {name, use, "NAME", help, nameAllowed, storeName(member)};
}

FlagSpec durationFlag(const std::string &name, FlagUse use, const std::string &help, Milliseconds Settings::*member)
{
    return {name, use, "MS", help, integerAllowed(0, MaxDurationMs), storeDuration(member)};
}

std::vector<FlagSpec> sharedFlags()
{
    return {
        nameFlag("name", FlagUse::BothRequired, "name of this process, unique in the deployment", &Settings::name),
        {"listen",
         FlagUse::BothRequired,
         "ADDRESS:PORT",
         "UDP address for other processes of the deployment",
         addressAllowed,
         storeListen},
        addressFlag("advertise", FlagUse::Both, "address that peers use, if not --listen", &Settings::advertise),
        {"key-file",
         FlagUse::BothRequired,
         "FILE",
         "file with the deployment's key",
         "a readable file with at least " + std::to_string(MinKeyBytes) + " bytes",
         storeKeyFile},
        {"balancers",
         FlagUse::Both,
         "ADDRESS:PORT,...",
         "balancers to contact first",
         "a comma-separated list, each " + addressAllowed,
         storeBalancers},
        nameFlag("availability-zone", FlagUse::Both, "availability zone of this VM", &Settings::availabilityZone),
        nameFlag("region", FlagUse::Both, "region of this VM", &Settings::region),
        addressFlag("http", FlagUse::Both, "TCP address of metrics, dump and API", &Settings::http),
        {"log-level",
         FlagUse::Both,
         "LEVEL",
         "least level that is logged",
         "debug, info, warn or error",
         storeLogLevel},
        durationFlag(
            "shutdown-deadline-ms", FlagUse::Both, "time for open flows after SIGTERM", &Settings::shutdownDeadline),
        integerFlag("seed", FlagUse::Both, "seed of the random generator", &Settings::seed, 0, INT64_MAX),
    };
}

std::vector<FlagSpec> balancerFlags()
{
    return {
        addressFlag("fabric-listen",
                    FlagUse::BalancerRequired,
                    "UDP address for IP packets from the fabric",
                    &Settings::fabricListen),
        addressFlag("store", FlagUse::Balancer, "etcd JSON gateway of the store", &Settings::store),
        addressFlag("peer-listen",
                    FlagUse::Balancer,
                    "TCP address where other balancers fetch the configuration",
                    &Settings::peerListen),
        {"api-key-file",
         FlagUse::Balancer,
         "FILE",
         "file with the operators' API key",
         "a readable file that is not empty",
         storeContent(&Settings::apiKey)},
        {"configuration",
         FlagUse::Balancer,
         "FILE",
         "JSON file with the first configuration, for use without a store",
         "a readable file",
         storeReadableFile(&Settings::configuration)},
        integerFlag("flow-cache-limit",
                    FlagUse::Balancer,
                    "flows whose owner is cached",
                    &Settings::flowCacheLimit,
                    1,
                    100000000),
        durationFlag("leave-delay-ms",
                     FlagUse::Balancer,
                     "time in which packets are still forwarded after SIGTERM",
                     &Settings::leaveDelay),
    };
}

std::vector<FlagSpec> agentFlags()
{
    return {
        addressFlag("fabric", FlagUse::AgentRequired, "where IP packets to callers are sent", &Settings::fabric),
        addressFlag("target", FlagUse::AgentRequired, "UDP address of the local target", &Settings::target),
        nameFlag("client", FlagUse::Agent, "client that the target serves", &Settings::client),
        {"labels",
         FlagUse::Agent,
         "KEY=VALUE,...",
         "labels that rules select",
         "a comma-separated list of KEY=VALUE, each part " + nameAllowed,
         storeLabels},
        integerFlag("slots", FlagUse::Agent, "requests that the target serves at once", &Settings::slots, 1, 65536),
        integerFlag("capacity-milli",
                    FlagUse::Agent,
                    "relative service rate, 1000 is one reference VM",
                    &Settings::capacityMilli,
                    1,
                    1000000),
        integerFlag("queue-limit",
                    FlagUse::Agent,
                    "requests that wait at the target before new ones are refused",
                    &Settings::queueLimit,
                    0,
                    1000000),
        integerFlag("flow-limit", FlagUse::Agent, "open flows of the target", &Settings::flowLimit, 1, 10000000),
    };
}

} // namespace

const std::vector<FlagSpec> &flagSpecs()
{
    static const std::vector<FlagSpec> specs = [] {
        std::vector<FlagSpec> all = sharedFlags();
        for (const std::vector<FlagSpec> &more : {balancerFlags(), agentFlags()}) {
            all.insert(all.end(), more.begin(), more.end());
        }
        return all;
    }();
    return specs;
}

bool takesFlag(Role role, FlagUse use)
{
    switch (use) {
    case FlagUse::Both:
    case FlagUse::BothRequired:
        return true;
    case FlagUse::Balancer:
    case FlagUse::BalancerRequired:
        return role == Role::Balancer;
    case FlagUse::Agent:
    case FlagUse::AgentRequired:
        return role == Role::Agent;
    }
    return false;
}

bool requiresFlag(Role role, FlagUse use)
{
    const bool required =
        use == FlagUse::BothRequired || use == FlagUse::BalancerRequired || use == FlagUse::AgentRequired;
    return required && takesFlag(role, use);
}

} // namespace rhubarblane
