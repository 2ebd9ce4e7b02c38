#ifndef RHUBARBLANE_RELAY_TABLEFRESHNESS_H
#define RHUBARBLANE_RELAY_TABLEFRESHNESS_H

#include "base/clock.h"
#include "relay/peerdirectory.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace rhubarblane
{

/** A comparison of the service table with the store, by any balancer. The id tells the comparisons apart. */
struct TableCheck {
    std::uint64_t id = 0;
    /** Start of the store call: the table included all changes that the store had acknowledged before. */
    Timestamp begun;
};

/**
 * Schedules comparisons of the service table with the store, each over a new connection. The watch of the table alone
 * is not sufficient, since it never ends if its connection goes silent. Balancers announce their checks to each other.
 * Each check determines a random order in which the balancers make the next one, so that the fleet makes about one per
 * second at any size. A balancer that hears of no check makes its own, so none depends on the others.
 */
class TableFreshness
{
public:
    explicit TableFreshness(std::uint64_t randomSeed);

    /** Records a check of another balancer whose table was not newer than the own one. */
    void noteCheckOfPeer(const TableCheck &check);

    /**
     * Returns true if the caller must compare the table with the store now, and then no more until finishCheck().
     */
    bool takeDueCheck(Timestamp now, const PeerDirectory &peers);

    /** Records the end of the own check that began at `begun`. */
    void finishCheck(Timestamp now, Timestamp begun, bool succeeded);

    /** Returns the last check by any balancer, or no value before the first one. */
    const std::optional<TableCheck> &lastCheck() const
    {
        return last_;
    }

private:
    /** Returns the number of active balancers that make the next check before this one, at most MaximumRank. */
    std::size_t rank(Timestamp now, const PeerDirectory &peers) const;

    std::mt19937_64 random_;
    std::optional<TableCheck> last_;
    /** Time of the next own check; no value until takeDueCheck() determines it. */
    std::optional<Timestamp> due_;
    /** Earliest time of the next own check after a failed one. */
    Timestamp retry_;
    bool running_ = false;
};

} // namespace rhubarblane

#endif
