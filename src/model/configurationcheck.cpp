#include "model/configurationcheck.h"

#include "wire/peeraddress.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

constexpr std::size_t MaximumNameLength = 253;

bool isLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool differ(const std::string &a, const std::string &b)
{
    return !a.empty() && !b.empty() && a != b;
}

/** Returns true if one target can match both selectors. */
bool canMatchSameTarget(const RuleSpec &a, const RuleSpec &b)
{
    if (differ(a.client, b.client) || differ(a.availabilityZone, b.availabilityZone)) {
        return false;
    }
    return std::none_of(a.labels.begin(), a.labels.end(), [&](const auto &label) {
        const auto other = b.labels.find(label.first);
        return other != b.labels.end() && other->second != label.second;
    });
}

} // namespace

std::optional<Error> checkName(const std::string &name)
{
    const bool valid = !name.empty() && name.size() <= MaximumNameLength && isLetterOrDigit(name.front())
        && std::all_of(
            name.begin(), name.end(), [](char c) { return isLetterOrDigit(c) || c == '.' || c == '_' || c == '-'; });
    if (valid) {
        return std::nullopt;
    }
    return Error {ErrorCode::InvalidArgument,
                  "metadata.name",
                  "must be 1 to 253 letters, digits, '.', '_' or '-', starting with a letter or digit"};
}

std::optional<Error> checkService(const Configuration &configuration, const ServiceSpec &service)
{
    for (const auto &[name, other] : configuration.services) {
        if (name != service.name && other.address == service.address && other.port == service.port
            && other.protocol == service.protocol) {
            return Error {ErrorCode::Conflict,
                          "spec.address",
                          formatIpv4(service.address) + " port " + std::to_string(service.port)
                              + " with this protocol belongs to service '" + name + "'"};
        }
    }
    return std::nullopt;
}

std::optional<Error> checkRule(const Configuration &configuration, const RuleSpec &rule)
{
    if (configuration.services.count(rule.service) == 0) {
        return Error {ErrorCode::Conflict, "spec.service", "there is no service '" + rule.service + "'"};
    }
    for (const auto &[name, other] : configuration.rules) {
        if (name != rule.name && other.service != rule.service && canMatchSameTarget(other, rule)) {
            return Error {ErrorCode::Conflict,
                          "spec.selector",
                          "can match the same target as rule '" + name + "' of service '" + other.service + "'"};
        }
    }
    return std::nullopt;
}

std::optional<Error> checkServiceRemoval(const Configuration &configuration, const std::string &name)
{
    for (const auto &[ruleName, rule] : configuration.rules) {
        if (rule.service == name) {
            return Error {ErrorCode::Conflict, "metadata.name", "the service is in use by rule '" + ruleName + "'"};
        }
    }
    return std::nullopt;
}

} // namespace rhubarblane
