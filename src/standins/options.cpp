#include "standins/options.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>

namespace rhubarblane
{

namespace
{

constexpr int ExitUsage = 2;
constexpr int HelpOption = 1;
constexpr int FirstOption = 2;

void printHelp(const std::string &role, const std::vector<OptionSpec> &specs)
{
    std::cout << "usage: rhubarblane_standin " << role << " [FLAG...]\n";
    for (const OptionSpec &spec : specs) {
        std::cout << "  --" << spec.name << "=VALUE  " << spec.help << " (default: '" << spec.defaultValue << "')\n";
    }
}

} // namespace

Options::Options(const std::string &role,
                 const std::vector<std::string> &arguments,
                 const std::vector<OptionSpec> &specs)
    : role_(role)
{
    std::vector<poptOption> options {{"help", '\0', POPT_ARG_NONE, nullptr, HelpOption, nullptr, nullptr}};
    for (std::size_t i = 0; i < specs.size(); ++i) {
        values_[specs[i].name] = specs[i].defaultValue;
        const int value = FirstOption + static_cast<int>(i);
        options.push_back({specs[i].name.c_str(), '\0', POPT_ARG_STRING, nullptr, value, nullptr, nullptr});
    }
    options.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
    std::vector<const char *> argv {"rhubarblane_standin"};
    for (const std::string &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext(argv[0], static_cast<int>(argv.size()), argv.data(), options.data(), 0), poptFreeContext);
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        if (option == HelpOption) {
            printHelp(role, specs);
            std::exit(EXIT_SUCCESS);
        }
        const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()), &std::free);
        values_[specs[static_cast<std::size_t>(option - FirstOption)].name] = value.get();
    }
    const char *extra = poptGetArg(context.get());
    if (option < -1 || extra != nullptr) {
        const char *bad = extra != nullptr ? extra : poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
        std::cerr << role << ": " << bad << " is not allowed; see --help\n";
        std::exit(ExitUsage);
    }
}

const std::string &Options::text(const std::string &name) const
{
    return values_.at(name);
}

std::int64_t Options::integer(const std::string &name) const
{
    std::istringstream text(values_.at(name));
    std::int64_t value = 0;
    if (!(text >> value) || !text.eof() || value < 0) {
        fail(name, "an integer of 0 or more");
    }
    return value;
}

double Options::number(const std::string &name) const
{
    std::istringstream text(values_.at(name));
    double value = 0;
    if (!(text >> value) || !text.eof() || value < 0) {
        fail(name, "a number of 0 or more");
    }
    return value;
}

PeerAddress Options::address(const std::string &name) const
{
    const Outcome<PeerAddress> address = parsePeerAddress(values_.at(name));
    if (!isOk(address)) {
        fail(name, "an IPv4 address and a port, as 127.0.0.1:7000");
    }
    return valueOf(address);
}

std::uint32_t Options::host(const std::string &name) const
{
    const Outcome<std::uint32_t> address = parseIpv4(values_.at(name));
    if (!isOk(address)) {
        fail(name, "an IPv4 address");
    }
    return valueOf(address);
}

std::vector<PeerAddress> Options::addresses(const std::string &name) const
{
    std::vector<PeerAddress> result;
    std::istringstream text(values_.at(name));
    std::string part;
    while (std::getline(text, part, ',')) {
        const Outcome<PeerAddress> address = parsePeerAddress(part);
        if (!isOk(address)) {
            fail(name, "a comma-separated list of IPv4 addresses and ports");
        }
        result.push_back(valueOf(address));
    }
    return result;
}

void Options::fail(const std::string &name, const std::string &allowed) const
{
    std::cerr << role_ << ": --" << name << ": '" << values_.at(name) << "' is not allowed; allowed: " << allowed
              << "\n";
    std::exit(ExitUsage);
}

} // namespace rhubarblane
