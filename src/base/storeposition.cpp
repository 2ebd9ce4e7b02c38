#include "base/storeposition.h"

namespace rhubarblane
{

std::string formatStorePosition(StorePosition position)
{
    return std::to_string(position.era.value()) + ":" + std::to_string(position.revision.value());
}

} // namespace rhubarblane
