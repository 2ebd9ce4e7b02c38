#include "base/ids.h"

#include "base/hash.h"

namespace rhubarblane
{

TargetId targetIdOf(std::string_view name)
{
    return TargetId(hashBytes(name));
}

ServiceId serviceIdOf(std::string_view name)
{
    return ServiceId(hashBytes(name));
}

BalancerId balancerIdOf(std::string_view name)
{
    return BalancerId(hashBytes(name));
}

} // namespace rhubarblane
