#define BOOST_TEST_MODULE Settings
#include "daemon/settingsflags.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <map>

using namespace rhubarblane;

namespace
{

// Invalid for every flag: no flag allows spaces, and no file has this name.
const std::string badValue = "no such value!";

struct SettingsFixture {
    std::string keyFile = "settingstest.key";
    std::map<std::string, std::string> variables;
    std::vector<std::string> balancer {
        "balancer", "--name=b1", "--listen=127.0.0.1:7000", "--fabric-listen=127.0.0.1:7001", "--key-file=" + keyFile};
    std::vector<std::string> agent {"agent",
                                    "--name=a1",
                                    "--listen=127.0.0.1:7000",
                                    "--fabric=127.0.0.1:7001",
                                    "--target=127.0.0.1:7002",
                                    "--balancers=127.0.0.1:7003,127.0.0.1:7004",
                                    "--key-file=" + keyFile};

    SettingsFixture()
    {
        std::ofstream(keyFile) << "0123456789abcdef\n";
    }
    ~SettingsFixture()
    {
        std::remove(keyFile.c_str());
    }

    std::variant<Settings, SettingsMessage> read(const std::vector<std::string> &arguments) const
    {
        return readSettings(arguments, [this](const std::string &name) {
            const auto found = variables.find(name);
            return found == variables.end() ? nullptr : found->second.c_str();
        });
    }

    std::string errorOfRead(const std::vector<std::string> &arguments) const
    {
        const auto result = read(arguments);
        BOOST_REQUIRE(std::holds_alternative<SettingsMessage>(result));
        BOOST_TEST(std::get<SettingsMessage>(result).exitCode == 2);
        return std::get<SettingsMessage>(result).text;
    }

    const std::vector<std::string> &argumentsFor(const FlagSpec &spec) const
    {
        return takesFlag(Role::Agent, spec.use) ? agent : balancer;
    }
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(SettingsTest, SettingsFixture)

// Guards against a flag that is read but not stored.
BOOST_AUTO_TEST_CASE(readSettingsWithAllRequiredFlagsStoresThem)
{
    const auto result = read(agent);
    BOOST_REQUIRE(std::holds_alternative<Settings>(result));
    const Settings &settings = std::get<Settings>(result);
    BOOST_TEST(settings.name == "a1");
    BOOST_TEST(settings.key == "0123456789abcdef");
    BOOST_TEST(settings.balancers.size() == 2u);
    BOOST_TEST(settings.target->port == 7002);
}

// Guards against errors that do not name the wrong flag, its value and the allowed values.
BOOST_AUTO_TEST_CASE(readSettingsWithBadFlagNamesFlagValueAndAllowed)
{
    for (const FlagSpec &spec : flagSpecs()) {
        std::vector<std::string> arguments = argumentsFor(spec);
        arguments.push_back("--" + spec.name + "=" + badValue);
        const std::string error = errorOfRead(arguments);
        BOOST_TEST(contains(error, "--" + spec.name + ": '" + badValue + "' is not allowed; allowed: " + spec.allowed),
                   error);
    }
}

// Guards against an environment variable that is ignored or whose error names the flag instead.
BOOST_AUTO_TEST_CASE(readSettingsWithBadVariableNamesVariableValueAndAllowed)
{
    for (const FlagSpec &spec : flagSpecs()) {
        std::vector<std::string> arguments;
        for (const std::string &argument : argumentsFor(spec)) {
            if (argument.rfind("--" + spec.name + "=", 0) != 0) {
                arguments.push_back(argument);
            }
        }
        variables = {{environmentNameOf(spec.name), badValue}};
        const std::string error = errorOfRead(arguments);
        BOOST_TEST(contains(error, environmentNameOf(spec.name) + ": '" + badValue + "' is not allowed; allowed: "),
                   error);
    }
}

// Guards against reporting only the first error, which costs the operator one attempt per error.
BOOST_AUTO_TEST_CASE(readSettingsWithoutFlagsNamesAllMissingOnes)
{
    const std::string error = errorOfRead({"agent"});
    for (const char *flag : {"name", "listen", "key-file", "fabric", "target", "balancers"}) {
        BOOST_TEST(contains(error, std::string("--") + flag + " (RHUBARBLANE_"), error);
    }
}

// Guards against out-of-range numbers that are truncated to a smaller type.
BOOST_AUTO_TEST_CASE(readSettingsWithNumberOutOfRangeNamesRange)
{
    for (const char *value : {"0", "65537", "-1", "4x", "99999999999999999999"}) {
        std::vector<std::string> arguments = agent;
        arguments.push_back(std::string("--slots=") + value);
        BOOST_TEST(contains(errorOfRead(arguments), "an integer from 1 to 65536"));
    }
}

// Guards against a flag of the other role that is silently ignored.
BOOST_AUTO_TEST_CASE(readSettingsWithFlagOfOtherRoleIsRefused)
{
    balancer.push_back("--slots=2");
    BOOST_TEST(contains(errorOfRead(balancer), "--slots: '2' is not allowed here; allowed: only for the role agent"));
}

// Guards against an environment variable that overrides a flag of the command line.
BOOST_AUTO_TEST_CASE(readSettingsWithFlagAndVariablePrefersFlag)
{
    variables = {{"RHUBARBLANE_NAME", "other"}, {"RHUBARBLANE_LOG_LEVEL", "warn"}};
    const auto result = read(balancer);
    BOOST_REQUIRE(std::holds_alternative<Settings>(result));
    BOOST_TEST(std::get<Settings>(result).name == "b1");
    BOOST_TEST(std::get<Settings>(result).logLevel == "warn");
}

// Guards against unknown flags, roles and arguments that are silently ignored.
BOOST_AUTO_TEST_CASE(readSettingsWithUnknownInputIsRefused)
{
    BOOST_TEST(contains(errorOfRead({"router"}), "allowed: "));
    BOOST_TEST(contains(errorOfRead({"balancer", "--no-such-flag=1"}), "--no-such-flag"));
    balancer.push_back("extra");
    BOOST_TEST(contains(errorOfRead(balancer), "'extra': unexpected argument"));
}

// Guards against help output that fails or omits a flag.
BOOST_AUTO_TEST_CASE(readSettingsWithHelpListsEveryFlag)
{
    const auto result = read({"--help"});
    const SettingsMessage &message = std::get<SettingsMessage>(result);
    BOOST_TEST(message.exitCode == 0);
    for (const FlagSpec &spec : flagSpecs()) {
        BOOST_TEST(contains(message.text, "--" + spec.name + "="));
    }
    BOOST_TEST(std::get<SettingsMessage>(read({"--version"})).text == "rhubarblaned 0.1.0\n");
}

BOOST_AUTO_TEST_SUITE_END()
