#include "model/configurationindex.h"

namespace rhubarblane
{

namespace
{

// The first byte keeps conditions of different kinds apart, the zero byte ends the label's key.
std::string labelCondition(const std::string &key, const std::string &value)
{
    std::string condition = "l" + key;
    condition.push_back('\0');
    return condition + value;
}

std::string clientCondition(const std::string &client)
{
    return "c" + client;
}

std::string availabilityZoneCondition(const std::string &availabilityZone)
{
    return "z" + availabilityZone;
}

std::vector<std::string> conditionsOf(const RuleSpec &rule)
{
    std::vector<std::string> conditions;
    for (const auto &[key, value] : rule.labels) {
        conditions.push_back(labelCondition(key, value));
    }
    if (!rule.client.empty()) {
        conditions.push_back(clientCondition(rule.client));
    }
    if (!rule.availabilityZone.empty()) {
        conditions.push_back(availabilityZoneCondition(rule.availabilityZone));
    }
    if (conditions.empty()) {
        // A rule without conditions matches every target.
        conditions.emplace_back();
    }
    return conditions;
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
    for (const auto &[name, spec] : configuration.services) {
        serviceNames_.emplace(serviceIdOf(name), name);
    }
    std::unordered_map<std::string, std::size_t> frequency;
    for (const auto &[name, rule] : configuration.rules) {
        if (configuration.services.count(rule.service) == 0) {
            continue;
        }
        rules_.push_back({rule, serviceIdOf(rule.service)});
        for (const std::string &condition : conditionsOf(rule)) {
            ++frequency[condition];
        }
    }
    for (std::size_t i = 0; i < rules_.size(); ++i) {
        const std::vector<std::string> conditions = conditionsOf(rules_[i].spec);
        const std::string *rarest = &conditions.front();
        for (const std::string &condition : conditions) {
            if (frequency[condition] < frequency[*rarest]) {
                rarest = &condition;
            }
        }
        rulesByCondition_[*rarest].push_back(i);
    }
}

const std::string *ConfigurationIndex::serviceName(ServiceId service) const
{
    const auto found = serviceNames_.find(service);
    return found == serviceNames_.end() ? nullptr : &found->second;
}

const ConfigurationIndex::Rule *ConfigurationIndex::firstMatch(const std::string &condition,
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
    const auto consider = [&](const std::string &condition) {
        const Rule *rule = firstMatch(condition, target);
        // rules_ is in the order of names.
        if (rule != nullptr && (best == nullptr || rule < best)) {
            best = rule;
        }
    };
    consider({});
    for (const wire::Label &label : target.labels()) {
        consider(labelCondition(label.key(), label.value()));
    }
    consider(clientCondition(target.client()));
    consider(availabilityZoneCondition(target.availability_zone()));
    return best == nullptr ? ServiceId() : best->service;
}

} // namespace rhubarblane
