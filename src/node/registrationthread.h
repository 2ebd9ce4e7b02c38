#ifndef RHUBARBLANE_NODE_REGISTRATIONTHREAD_H
#define RHUBARBLANE_NODE_REGISTRATIONTHREAD_H

#include "base/clock.h"
#include "node/peerregistration.h"
#include "node/workerthread.h"

#include <atomic>

namespace rhubarblane
{

/**
 * Runs a registration on a thread of its own, and ends it without blocking the process that still forwards packets.
 * All calls come from one thread, the event loop's.
 */
class RegistrationThread
{
public:
    /** `registration` and `clock` must outlive the thread. */
    RegistrationThread(PeerRegistration &registration, const Clock &clock);

    /** The registration ends after its running call, and withdraws its entry if asked to. Returns at once. */
    void beginShutdown(bool withdrawEntry);

    /** Whether the end is over, or has lasted so long that the process should not wait for it. */
    bool mayStop() const;

private:
    Milliseconds step();

    PeerRegistration &registration_;
    const Clock &clock_;
    std::atomic<bool> shutdownRequested_ = false;
    std::atomic<bool> shutdownFinished_ = false;
    std::atomic<bool> withdrawEntry_ = false;
    Timestamp shutdownStarted_;
    WorkerThread thread_;
};

} // namespace rhubarblane

#endif
