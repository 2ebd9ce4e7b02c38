#include "ctl/ctlsettings.h"

#include "wire/peeraddress.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <optional>
#include <sstream>

namespace rhubarblane
{

namespace
{

constexpr long MaximumTimeoutMs = 3600000;
/** Longest accepted write token in bytes; the server has the same limit. */
constexpr std::size_t MaximumTokenLength = 64;

struct ContextDeleter {
    void operator()(poptContext_s *context) const
    {
        poptFreeContext(context);
    }
};

struct Command {
    const char *name;
    std::size_t arguments;
};

constexpr std::array<Command, 7> Commands = {
    {{"get", 2}, {"list", 1}, {"apply", 0}, {"delete", 2}, {"watch", 2}, {"status", 0}, {"dump", 0}}};

Error usageError(const std::string &field, const std::string &message)
{
    return {ErrorCode::InvalidArgument, field, message};
}

/** Takes ownership of an option's string, which popt allocated with malloc(). Returns `fallback` if it is null. */
std::string takeText(char *text, const std::string &fallback)
{
    const std::unique_ptr<char, decltype(&std::free)> owner(text, &std::free);
    return text == nullptr ? fallback : std::string(text);
}

std::string fromEnvironment(const Environment &environment, const char *name)
{
    const char *value = environment(name);
    return value == nullptr ? std::string() : std::string(value);
}

std::optional<Error> checkCommand(const CtlSettings &settings)
{
    std::string names;
    for (const Command &command : Commands) {
        if (settings.command == command.name) {
            if (settings.arguments.size() != command.arguments) {
                return usageError(settings.command,
                                  "needs " + std::to_string(command.arguments) + " arguments, has "
                                      + std::to_string(settings.arguments.size()));
            }
            if (settings.command == "apply" && settings.file.empty()) {
                return usageError("--file", "is needed by apply");
            }
            return std::nullopt;
        }
        names += names.empty() ? command.name : std::string(", ") + command.name;
    }
    return usageError("command", "'" + settings.command + "' is unknown; allowed: " + names);
}

} // namespace

std::string ctlUsage()
{
    return "usage: rhubarblanectl [FLAG...] COMMAND\n"
           "  get KIND NAME       print a resource\n"
           "  list KIND           print all resources of a kind; also for targets\n"
           "  apply -f FILE       create or change the resources of a JSON file\n"
           "  delete KIND NAME    delete a resource\n"
           "  watch KIND NAME     wait until a generation is in force on every balancer\n"
           "  status              print the revisions of all balancers\n"
           "  dump                print the state of one balancer\n"
           "KIND is service, rule, drain or target.\n"
           "  --server=IP:PORT[,IP:PORT...]  balancers (RHUBARBLANE_SERVER)\n"
           "  --api-key-file=FILE            needed for writes (RHUBARBLANE_API_KEY_FILE)\n"
           "  --timeout-ms=N                 bounds the command, 30000 by default (RHUBARBLANE_TIMEOUT_MS)\n"
           "  -f, --file=FILE                a resource, an array of them, or an object with items; - is standard "
           "input\n"
           "  --generation=N                 what watch waits for; the current one by default\n"
           "  --resource-version=V           what delete expects; the current one by default\n"
           "  --token=TOKEN                  repeats a write whose outcome was unknown\n"
           "exit codes: 0 done, 1 refused, 2 usage, 3 unavailable or not in force in time\n";
}

Outcome<CtlSettings> parseCtlSettings(const std::vector<std::string> &arguments, const Environment &environment)
{
    char *server = nullptr;
    char *keyFile = nullptr;
    char *timeout = nullptr;
    char *file = nullptr;
    char *version = nullptr;
    char *token = nullptr;
    long generation = 0;
    const std::array<poptOption, 8> options = {{
        {"server", 0, POPT_ARG_STRING, &server, 0, nullptr, nullptr},
        {"api-key-file", 0, POPT_ARG_STRING, &keyFile, 0, nullptr, nullptr},
        {"timeout-ms", 0, POPT_ARG_STRING, &timeout, 0, nullptr, nullptr},
        {"file", 'f', POPT_ARG_STRING, &file, 0, nullptr, nullptr},
        {"generation", 0, POPT_ARG_LONG, &generation, 0, nullptr, nullptr},
        {"resource-version", 0, POPT_ARG_STRING, &version, 0, nullptr, nullptr},
        {"token", 0, POPT_ARG_STRING, &token, 0, nullptr, nullptr},
        {nullptr, 0, 0, nullptr, 0, nullptr, nullptr},
    }};
    std::vector<const char *> argv {"rhubarblanectl"};
    for (const std::string &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    const std::unique_ptr<poptContext_s, ContextDeleter> context(
        poptGetContext(nullptr, static_cast<int>(argv.size()), argv.data(), options.data(), 0));
    const int result = poptGetNextOpt(context.get());

    CtlSettings settings;
    const std::string servers = takeText(server, fromEnvironment(environment, "RHUBARBLANE_SERVER"));
    settings.apiKeyFile = takeText(keyFile, fromEnvironment(environment, "RHUBARBLANE_API_KEY_FILE"));
    const std::string timeoutText = takeText(timeout, fromEnvironment(environment, "RHUBARBLANE_TIMEOUT_MS"));
    settings.file = takeText(file, {});
    settings.resourceVersion = takeText(version, {});
    settings.token = takeText(token, {});
    if (result < -1) {
        return usageError(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(result));
    }
    if (const char *command = poptGetArg(context.get())) {
        settings.command = command;
    }
    while (const char *argument = poptGetArg(context.get())) {
        settings.arguments.emplace_back(argument);
    }
    std::istringstream list(servers);
    for (std::string entry; std::getline(list, entry, ',');) {
        if (!isOk(parsePeerAddress(entry))) {
            return usageError("--server", "is '" + entry + "'; allowed: IP:PORT, or several separated by commas");
        }
        settings.servers.push_back(entry);
    }
    if (settings.servers.empty()) {
        return usageError("--server", "is needed; allowed: IP:PORT, or several separated by commas");
    }
    if (!timeoutText.empty()) {
        char *end = nullptr;
        const long value = std::strtol(timeoutText.c_str(), &end, 10);
        if (*end != '\0' || value < 1 || value > MaximumTimeoutMs) {
            return usageError("--timeout-ms",
                              "is '" + timeoutText + "'; allowed: 1 to " + std::to_string(MaximumTimeoutMs));
        }
        settings.timeout = Milliseconds(value);
    }
    if (generation < 0) {
        return usageError("--generation", "is " + std::to_string(generation) + "; allowed: 0 or more");
    }
    settings.generation = static_cast<std::uint64_t>(generation);
    if (settings.token.size() > MaximumTokenLength) {
        return usageError("--token",
                          "is too long; allowed: up to " + std::to_string(MaximumTokenLength) + " characters");
    }
    if (std::optional<Error> error = checkCommand(settings)) {
        return *error;
    }
    return settings;
}

} // namespace rhubarblane
