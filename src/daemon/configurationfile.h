#ifndef RHUBARBLANE_DAEMON_CONFIGURATIONFILE_H
#define RHUBARBLANE_DAEMON_CONFIGURATIONFILE_H

#include "base/outcome.h"
#include "model/configuration.h"

#include <string>

namespace rhubarblane
{

/**
 * Parses the initial configuration of a balancer that runs without a store: {"revision": 1, "services": {NAME: SPEC},
 * "rules": {NAME: SPEC}, "drains": {TARGET: SPEC}}. Returns InvalidArgument with the name of the invalid field.
 */
Outcome<Configuration> parseConfiguration(const std::string &text);

/** Reads and parses a configuration file. Returns NotFound if the file cannot be read. */
Outcome<Configuration> readConfigurationFile(const std::string &path);

} // namespace rhubarblane

#endif
