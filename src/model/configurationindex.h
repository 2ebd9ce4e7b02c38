#ifndef RHUBARBLANE_MODEL_CONFIGURATIONINDEX_H
#define RHUBARBLANE_MODEL_CONFIGURATIONINDEX_H

#include "model/configuration.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** Finds services by id and rules by one of their conditions. Keeps its own copies, so it can be shared. */
class ConfigurationIndex
{
public:
    explicit ConfigurationIndex(const Configuration &configuration);

    /** Name of the service; nullptr if there is none. */
    const std::string *serviceName(ServiceId service) const;

    /** The service of the first rule by name that matches the target; ServiceId() if none matches. */
    ServiceId serviceOf(const wire::TargetEntry &target) const;

private:
    struct Rule {
        RuleSpec spec;
        ServiceId service;
    };

    const Rule *firstMatch(std::uint64_t condition, const wire::TargetEntry &target) const;

    std::unordered_map<ServiceId, std::string> serviceNames_;
    std::vector<Rule> rules_;
    /** Positions in rules_, in ascending order, by the hash of the rule's condition that the fewest rules have. */
    std::unordered_map<std::uint64_t, std::vector<std::size_t>> rulesByCondition_;
};

/** True if the target meets every condition of the rule's selector. */
bool matches(const RuleSpec &rule, const wire::TargetEntry &target);

} // namespace rhubarblane

#endif
