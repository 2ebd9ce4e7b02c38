#include "daemon/settings.h"

#include "daemon/settingsflags.h"

#include <popt.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <sstream>

namespace rhubarblane
{

namespace
{

constexpr int ExitUsage = 2;
constexpr const char *Version = "0.1.0";
constexpr int HelpOption = 1;
constexpr int VersionOption = 2;
constexpr int FirstFlagOption = 3;

const char *const usageText = "usage: rhubarblaned balancer|agent [FLAG...]\n";

/** Values of the flags on the command line, by flag name. */
using FlagValues = std::map<std::string, std::string>;

SettingsMessage usageError(const std::string &text)
{
    return {text + "\n" + usageText + "See rhubarblaned --help.\n", ExitUsage};
}

std::string helpText()
{
    std::ostringstream text;
    text << usageText << "\nEach flag can also be given as an environment variable; the flag wins.\n";
    for (const FlagSpec &spec : flagSpecs()) {
        text << "\n  --" << spec.name << "=" << spec.argument << "  (" << environmentNameOf(spec.name) << ")\n      ";
        if (!takesFlag(Role::Agent, spec.use)) {
            text << "balancer: ";
        } else if (!takesFlag(Role::Balancer, spec.use)) {
            text << "agent: ";
        }
        text << spec.help;
        if (requiresFlag(Role::Agent, spec.use) || requiresFlag(Role::Balancer, spec.use)) {
            text << " (required)";
        }
        text << "\n      allowed: " << spec.allowed << "\n";
    }
    text << "\n  --help\n  --version\n";
    return text.str();
}

std::variant<FlagValues, SettingsMessage> readFlags(const std::vector<std::string> &arguments)
{
    const std::vector<FlagSpec> &specs = flagSpecs();
    std::vector<poptOption> options;
    options.push_back({"help", '\0', POPT_ARG_NONE, nullptr, HelpOption, nullptr, nullptr});
    options.push_back({"version", '\0', POPT_ARG_NONE, nullptr, VersionOption, nullptr, nullptr});
    for (std::size_t i = 0; i < specs.size(); ++i) {
        const int value = FirstFlagOption + static_cast<int>(i);
        options.push_back({specs[i].name.c_str(), '\0', POPT_ARG_STRING, nullptr, value, nullptr, nullptr});
    }
    options.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});

    std::vector<const char *> argv {"rhubarblaned"};
    for (const std::string &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("rhubarblaned", static_cast<int>(argv.size()), argv.data(), options.data(), 0), poptFreeContext);

    FlagValues flagValues;
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        if (option == HelpOption) {
            return SettingsMessage {helpText(), 0};
        }
        if (option == VersionOption) {
            return SettingsMessage {std::string("rhubarblaned ") + Version + "\n", 0};
        }
        const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()), &std::free);
        flagValues[specs[static_cast<std::size_t>(option - FirstFlagOption)].name] = value.get();
    }
    if (option < -1) {
        return usageError(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": "
                          + poptStrerror(option) + "; allowed: the flags of rhubarblaned --help");
    }
    if (const char *extra = poptGetArg(context.get())) {
        return usageError(std::string("'") + extra + "': unexpected argument; allowed: flags only");
    }
    return flagValues;
}

void applyValue(Settings &settings,
                const FlagSpec &spec,
                const FlagValues &flagValues,
                const Environment &environment,
                std::string &errors)
{
    const std::string variable = environmentNameOf(spec.name);
    const auto flag = flagValues.find(spec.name);
    const char *fromEnvironment = environment(variable);
    if (flag == flagValues.end() && (fromEnvironment == nullptr || !takesFlag(settings.role, spec.use))) {
        if (requiresFlag(settings.role, spec.use)) {
            errors += "--" + spec.name + " (" + variable + "): missing; allowed: " + spec.allowed + "\n";
        }
        return;
    }
    const std::string source = flag != flagValues.end() ? "--" + spec.name : variable;
    const std::string value = flag != flagValues.end() ? flag->second : fromEnvironment;
    if (!takesFlag(settings.role, spec.use)) {
        const char *other = settings.role == Role::Agent ? "balancer" : "agent";
        errors += source + ": '" + value + "' is not allowed here; allowed: only for the role " + other + "\n";
    } else if (!spec.store(settings, value)) {
        errors += source + ": '" + value + "' is not allowed; allowed: " + spec.allowed + "\n";
    }
}

} // namespace

std::string environmentNameOf(const std::string &flag)
{
    std::string name = "RHUBARBLANE_";
    for (const char c : flag) {
        name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
    }
    return name;
}

std::variant<Settings, SettingsMessage> readSettings(const std::vector<std::string> &arguments,
                                                     const Environment &environment)
{
    std::vector<std::string> flags = arguments;
    Settings settings;
    const bool hasRole = !flags.empty() && (flags[0] == "balancer" || flags[0] == "agent");
    if (hasRole) {
        settings.role = flags[0] == "agent" ? Role::Agent : Role::Balancer;
        flags.erase(flags.begin());
    }
    std::variant<FlagValues, SettingsMessage> flagValues = readFlags(flags);
    if (SettingsMessage *message = std::get_if<SettingsMessage>(&flagValues)) {
        return std::move(*message);
    }
    if (!hasRole) {
        return usageError("role: missing; allowed: balancer or agent as the first argument");
    }
    std::string errors;
    for (const FlagSpec &spec : flagSpecs()) {
        applyValue(settings, spec, std::get<FlagValues>(flagValues), environment, errors);
    }
    if (settings.role == Role::Agent && settings.balancers.empty() && errors.find("balancers") == std::string::npos) {
        errors += "--balancers (RHUBARBLANE_BALANCERS): missing; allowed: at least one balancer's address\n";
    }
    if (settings.role == Role::Balancer && !settings.http && (settings.store || settings.peerListen)
        && errors.find("--http") == std::string::npos) {
        errors += "--http (RHUBARBLANE_HTTP): missing; allowed: an address, required by --store and --peer-listen\n";
    }
    if (!errors.empty()) {
        errors.pop_back();
        return usageError(errors);
    }
    return settings;
}

} // namespace rhubarblane
