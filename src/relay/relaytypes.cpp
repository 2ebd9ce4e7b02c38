#include "relay/relaytypes.h"

#include "base/hash.h"

namespace rhubarblane
{

GroupId groupIdOf(std::string_view name)
{
    return GroupId(hashBytes(name));
}

PeerId peerIdOf(std::string_view name)
{
    return PeerId(hashBytes(name));
}

std::string nameOf(TargetState state)
{
    switch (state) {
    case TargetState::Unknown:
        return "unknown";
    case TargetState::Ready:
        return "ready";
    case TargetState::Draining:
        return "draining";
    case TargetState::Gone:
        return "gone";
    case TargetState::Unresponsive:
        return "unresponsive";
    case TargetState::AgentLeaving:
        return "agentLeaving";
    case TargetState::Ejected:
        return "ejected";
    }
    return "invalid";
}

std::string nameOf(ReturnReason reason)
{
    switch (reason) {
    case ReturnReason::Busy:
        return "busy";
    case ReturnReason::Full:
        return "full";
    case ReturnReason::NotReady:
        return "notReady";
    case ReturnReason::NotHeld:
        return "notHeld";
    case ReturnReason::WrongGroup:
        return "wrongGroup";
    case ReturnReason::Evacuated:
        return "evacuated";
    case ReturnReason::Cold:
        return "cold";
    }
    return "invalid";
}

} // namespace rhubarblane
