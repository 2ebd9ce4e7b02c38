#ifndef RHUBARBLANE_NODE_REGISTRATIONTHREAD_H
#define RHUBARBLANE_NODE_REGISTRATIONTHREAD_H

#include "base/clock.h"
#include "node/peerregistration.h"
#include "node/workerthread.h"

#include <atomic>

namespace rhubarblane
{

/**
 * Runs a PeerRegistration on its own thread and shuts it down without blocking the process, which still forwards
 * packets. All functions must be called on the event loop's thread.
 */
class RegistrationThread
{
public:
    /** `registration` and `clock` must outlive the thread. */
    RegistrationThread(PeerRegistration &registration, const Clock &clock);

    /**
     * Requests the shutdown, which begins after the running store call and withdraws the entry if `withdrawEntry` is
     * set. Returns immediately.
     */
    void beginShutdown(bool withdrawEntry);

    /** Returns whether the shutdown is finished or has timed out, so that the process need not wait for it. */
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
