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

/** The body of a PUT. */
struct ResourceDocument {
    /** The resourceVersion that the writer has seen; empty to create. */
    std::string resourceVersion;
    web::json::value spec;
};

/** Reads a body. Errors name the field at fault. */
Outcome<ResourceDocument> parseResourceDocument(ResourceKind kind, const std::string &name, const std::string &body);

/** Checks a spec by itself and against the other objects, and returns it with all defaults filled in. */
Outcome<web::json::value>
checkSpec(ResourceKind kind, const std::string &name, const web::json::value &spec, const Configuration &configuration);

/** The resource as operators see it. */
web::json::value formatResource(ResourceKind kind,
                                const std::string &name,
                                const ConfigurationEntry &entry,
                                const std::string &localBalancer,
                                const std::vector<BalancerRevision> &balancers);

/** Reads a resource version: the decimal form of a revision, in quotes or not. */
std::optional<Revision> parseResourceVersion(const std::string &text);

} // namespace rhubarblane

#endif
