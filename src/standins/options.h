#ifndef RHUBARBLANE_STANDINS_OPTIONS_H
#define RHUBARBLANE_STANDINS_OPTIONS_H

#include "wire/peeraddress.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Name, default value and help text of a flag. */
struct OptionSpec {
    std::string name;
    std::string defaultValue;
    std::string help;
};

/** Parsed flags of a stand-in. An invalid flag or value ends the process with exit code 2. */
class Options
{
public:
    Options(const std::string &role, const std::vector<std::string> &arguments, const std::vector<OptionSpec> &specs);

    const std::string &text(const std::string &name) const;
    std::int64_t integer(const std::string &name) const;
    double number(const std::string &name) const;
    PeerAddress address(const std::string &name) const;
    /** Returns an IPv4 address without a port. */
    std::uint32_t host(const std::string &name) const;
    /** Returns a comma-separated list of addresses. An empty value is an empty list. */
    std::vector<PeerAddress> addresses(const std::string &name) const;

private:
    [[noreturn]] void fail(const std::string &name, const std::string &allowed) const;

    std::string role_;
    std::map<std::string, std::string> values_;
};

} // namespace rhubarblane

#endif
