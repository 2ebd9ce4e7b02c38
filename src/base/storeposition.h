#ifndef RHUBARBLANE_BASE_STOREPOSITION_H
#define RHUBARBLANE_BASE_STOREPOSITION_H

#include "base/ids.h"

#include <string>

namespace rhubarblane
{

/**
 * Counts the restores of a store from a backup. 0 if the store does not tell, so that only its revisions order its
 * states.
 */
using StoreEra = StrongId<struct StoreEraTag>;

/**
 * A state of the store. A restored store continues from the revision of its backup, so a revision identifies a state
 * only together with its era. States of different calls or processes must be compared by their positions.
 */
struct StorePosition {
    StoreEra era;
    Revision revision;

    friend constexpr bool operator==(StorePosition a, StorePosition b)
    {
        return a.era == b.era && a.revision == b.revision;
    }
    friend constexpr bool operator!=(StorePosition a, StorePosition b)
    {
        return !(a == b);
    }
    friend constexpr bool operator<(StorePosition a, StorePosition b)
    {
        return a.era == b.era ? a.revision < b.revision : a.era < b.era;
    }
    friend constexpr bool operator<=(StorePosition a, StorePosition b)
    {
        return !(b < a);
    }
};

/** Returns "ERA:REVISION", for logs. */
std::string formatStorePosition(StorePosition position);

} // namespace rhubarblane

#endif
