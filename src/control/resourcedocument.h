#ifndef RHUBARBLANE_CONTROL_RESOURCEDOCUMENT_H
#define RHUBARBLANE_CONTROL_RESOURCEDOCUMENT_H

#include "base/outcome.h"
#include "control/controlsettings.h"
#include "model/configurationsnapshot.h"

#include <cpprest/json.h>

#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The body of a PUT request. */
struct ResourceDocument {
    /** The version that the client read; empty if the resource is to be created. */
    std::string resourceVersion;
    web::json::value spec;
};

/** Parses the body of a PUT request. Errors name the invalid field. */
Outcome<ResourceDocument> parseResourceDocument(ResourceKind kind, const std::string &name, const std::string &body);

/** Validates a spec by itself and against the other objects. Returns it with all defaults filled in. */
Outcome<web::json::value>
checkSpec(ResourceKind kind, const std::string &name, const web::json::value &spec, const Configuration &configuration);

/** Formats a resource for the operators' API. Its status tells which of `balancers` have it in force. */
web::json::value formatResource(ResourceKind kind,
                                const std::string &name,
                                const ConfigurationEntry &entry,
                                const std::string &localBalancer,
                                const std::vector<BalancerRevision> &balancers);

/** Parses a resource version: a revision in decimal form, with or without double quotes. */
std::optional<Revision> parseResourceVersion(const std::string &text);

} // namespace rhubarblane

#endif
