#ifndef RHUBARBLANE_MODEL_CONFIGURATIONINDEX_H
#define RHUBARBLANE_MODEL_CONFIGURATIONINDEX_H

#include "model/configuration.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** Finds services by id and rules by one of their conditions. It owns copies of its data, so it can be shared. */
class ConfigurationIndex
{
public:
    explicit ConfigurationIndex(const Configuration &configuration);

    /** Returns the name of the service; nullptr if it does not exist. */
    const std::string *serviceName(ServiceId service) const;

    /** Returns the service of the first matching rule in the order of rule names; ServiceId() if no rule matches. */
    ServiceId serviceOf(const wire::TargetEntry &target) const;

private:
    struct Rule {
        RuleSpec spec;
        ServiceId service;
    };

    const Rule *firstMatch(std::uint64_t condition, const wire::TargetEntry &target) const;

    std::unordered_map<ServiceId, std::string> serviceNames_;
    std::vector<Rule> rules_;
    /** Ascending positions in rules_. The key is the hash of that condition of the rule that the fewest rules have. */
    std::unordered_map<std::uint64_t, std::vector<std::size_t>> rulesByCondition_;
};

/** Returns true if the target meets every condition of the rule's selector. */
bool matches(const RuleSpec &rule, const wire::TargetEntry &target);

} // namespace rhubarblane

#endif
