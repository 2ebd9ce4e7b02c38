#ifndef RHUBARBLANE_MODEL_CONFIGURATIONCHECK_H
#define RHUBARBLANE_MODEL_CONFIGURATIONCHECK_H

#include "base/outcome.h"
#include "model/configuration.h"

#include <optional>
#include <string>

namespace rhubarblane
{

/** Validates a resource name: 1 to 253 letters, digits, '.', '_' and '-', starting with a letter or digit. */
std::optional<Error> checkName(const std::string &name);

/** Fails with Conflict if another service has the same address, port and protocol. */
std::optional<Error> checkService(const Configuration &configuration, const ServiceSpec &service);

/** Fails with Conflict if the rule's service does not exist, or a rule of another service can match the same target. */
std::optional<Error> checkRule(const Configuration &configuration, const RuleSpec &rule);

/** Fails with Conflict if a rule refers to the service. */
std::optional<Error> checkServiceRemoval(const Configuration &configuration, const std::string &name);

} // namespace rhubarblane

#endif
