#ifndef RHUBARBLANE_MODEL_RESOURCECODEC_H
#define RHUBARBLANE_MODEL_RESOURCECODEC_H

#include "base/outcome.h"
#include "model/configuration.h"

#include <cpprest/json.h>

namespace rhubarblane
{

/** Parses the spec of a resource. Unknown fields and values out of range are errors, which name the field. */
Outcome<ServiceSpec> parseService(const std::string &name, const web::json::value &spec);
Outcome<RuleSpec> parseRule(const std::string &name, const web::json::value &spec);
Outcome<DrainSpec> parseDrain(const std::string &target, const web::json::value &spec);

web::json::value toJson(const ServiceSpec &service);
web::json::value toJson(const RuleSpec &rule);
web::json::value toJson(const DrainSpec &drain);

} // namespace rhubarblane

#endif
