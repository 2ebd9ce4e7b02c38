#include "base/clock.h"

#include <ctime>

namespace rhubarblane
{

Timestamp SystemClock::now() const
{
    // CLOCK_BOOTTIME also advances while the VM is suspended, so that leases expire during a suspension.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Timestamp(static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000);
}

} // namespace rhubarblane
