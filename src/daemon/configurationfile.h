#ifndef RHUBARBLANE_DAEMON_CONFIGURATIONFILE_H
#define RHUBARBLANE_DAEMON_CONFIGURATIONFILE_H

#include "base/outcome.h"
#include "model/configuration.h"

#include <string>

namespace rhubarblane
{

/**
 * Parses the first configuration of a balancer without a store: {"revision": 1, "services": {NAME: SPEC},
 * "rules": {NAME: SPEC}, "drains": {TARGET: SPEC}}. Fails with InvalidArgument and the field.
 */
Outcome<Configuration> parseConfiguration(const std::string &text);

/** Reads and parses such a file. */
Outcome<Configuration> readConfigurationFile(const std::string &path);

} // namespace rhubarblane

#endif
