#ifndef RHUBARBLANE_MODEL_CONFIGURATIONCHECK_H
#define RHUBARBLANE_MODEL_CONFIGURATIONCHECK_H

#include "base/outcome.h"
#include "model/configuration.h"

#include <optional>
#include <string>

namespace rhubarblane
{

/** Names of resources: 1 to 253 letters, digits, '.', '_' and '-', starting with a letter or digit. */
std::optional<Error> checkName(const std::string &name);

/** Two services must not share address, port and protocol. */
std::optional<Error> checkService(const Configuration &configuration, const ServiceSpec &service);

/** The rule's service must exist, and no rule of another service may match a target that this rule matches. */
std::optional<Error> checkRule(const Configuration &configuration, const RuleSpec &rule);

/** A service that a rule names must stay. */
std::optional<Error> checkServiceRemoval(const Configuration &configuration, const std::string &name);

} // namespace rhubarblane

#endif
