#include "model/configurationindex.h"

#include "base/hash.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

// The hash of a condition includes its kind. matches() rules out hash collisions.
enum class ConditionKind : std::uint64_t {
    Any,
    Label,
    Client,
    AvailabilityZone,
};

std::uint64_t conditionOf(ConditionKind kind, const std::string &value)
{
    return hashPair(static_cast<std::uint64_t>(kind), hashBytes(value));
}

std::uint64_t labelCondition(const std::string &key, const std::string &value)
{
    return hashPair(hashBytes(key), conditionOf(ConditionKind::Label, value));
}

void readConditions(const RuleSpec &rule, std::vector<std::uint64_t> &conditions)
{
    conditions.clear();
    for (const auto &[key, value] : rule.labels) {
        conditions.push_back(labelCondition(key, value));
    }
    if (!rule.client.empty()) {
        conditions.push_back(conditionOf(ConditionKind::Client, rule.client));
    }
    if (!rule.availabilityZone.empty()) {
        conditions.push_back(conditionOf(ConditionKind::AvailabilityZone, rule.availabilityZone));
    }
    if (conditions.empty()) {
        // A rule without conditions matches every target.
        conditions.push_back(conditionOf(ConditionKind::Any, {}));
    }
}

bool hasLabel(const wire::TargetEntry &target, const std::string &key, const std::string &value)
{
    for (const wire::Label &label : target.labels()) {
        if (label.key() == key) {
            return label.value() == value;
        }
    }
    return false;
}

} // namespace

bool matches(const RuleSpec &rule, const wire::TargetEntry &target)
{
    if (!rule.client.empty() && rule.client != target.client()) {
        return false;
    }
    if (!rule.availabilityZone.empty() && rule.availabilityZone != target.availability_zone()) {
        return false;
    }
    for (const auto &[key, value] : rule.labels) {
        if (!hasLabel(target, key, value)) {
            return false;
        }
    }
    return true;
}

ConfigurationIndex::ConfigurationIndex(const Configuration &configuration)
{
    serviceNames_.reserve(configuration.services.size());
    for (const auto &[name, spec] : configuration.services) {
        serviceNames_.emplace(serviceIdOf(name), name);
    }
    rules_.reserve(configuration.rules.size());
    std::unordered_map<std::uint64_t, std::size_t> frequency;
    frequency.reserve(configuration.rules.size());
    std::vector<std::uint64_t> conditions;
    for (const auto &[name, rule] : configuration.rules) {
        const ServiceId service = serviceIdOf(rule.service);
        if (serviceNames_.count(service) == 0) {
            continue;
        }
        rules_.push_back({rule, service});
        readConditions(rule, conditions);
        for (const std::uint64_t condition : conditions) {
            ++frequency[condition];
        }
    }
    rulesByCondition_.reserve(rules_.size());
    for (std::size_t i = 0; i < rules_.size(); ++i) {
        readConditions(rules_[i].spec, conditions);
        const std::uint64_t rarest =
            *std::min_element(conditions.begin(), conditions.end(), [&](std::uint64_t a, std::uint64_t b) {
                return frequency[a] < frequency[b];
            });
        rulesByCondition_[rarest].push_back(i);
    }
}

const std::string *ConfigurationIndex::serviceName(ServiceId service) const
{
    const auto found = serviceNames_.find(service);
    return found == serviceNames_.end() ? nullptr : &found->second;
}

const ConfigurationIndex::Rule *ConfigurationIndex::firstMatch(std::uint64_t condition,
                                                               const wire::TargetEntry &target) const
{
    const auto found = rulesByCondition_.find(condition);
    if (found != rulesByCondition_.end()) {
        for (const std::size_t i : found->second) {
            if (matches(rules_[i].spec, target)) {
                return &rules_[i];
            }
        }
    }
    return nullptr;
}

ServiceId ConfigurationIndex::serviceOf(const wire::TargetEntry &target) const
{
    const Rule *best = nullptr;
    const auto consider = [&](std::uint64_t condition) {
        const Rule *rule = firstMatch(condition, target);
        // rules_ is sorted by name, so of two pointers into it the lower one refers to the lower name.
        if (rule != nullptr && (best == nullptr || rule < best)) {
            best = rule;
        }
    };
    consider(conditionOf(ConditionKind::Any, {}));
    for (const wire::Label &label : target.labels()) {
        consider(labelCondition(label.key(), label.value()));
    }
    consider(conditionOf(ConditionKind::Client, target.client()));
    consider(conditionOf(ConditionKind::AvailabilityZone, target.availability_zone()));
    return best == nullptr ? ServiceId() : best->service;
}

} // namespace rhubarblane
