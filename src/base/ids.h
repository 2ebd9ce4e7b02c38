#ifndef RHUBARBLANE_BASE_IDS_H
#define RHUBARBLANE_BASE_IDS_H

#include "base/strongid.h"

#include <string_view>

namespace rhubarblane
{

using TargetId = StrongId<struct TargetTag>;
using ServiceId = StrongId<struct ServiceTag>;
using BalancerId = StrongId<struct BalancerTag>;
/** Number of the start of a process; higher for each later process of the same name, and never 0 for a live process. */
using Incarnation = StrongId<struct IncarnationTag>;
/** Modification revision of the store, which orders all configurations. */
using Revision = StrongId<struct RevisionTag>;
using FlowHash = StrongId<struct FlowHashTag>;

/** Ids are hashes of the configured names, so that every process derives the same id without coordination. */
TargetId targetIdOf(std::string_view name);
ServiceId serviceIdOf(std::string_view name);
BalancerId balancerIdOf(std::string_view name);

} // namespace rhubarblane

#endif
