#include "node/registrationthread.h"

namespace rhubarblane
{

namespace
{

// A call to an unresponsive store times out after 1 s, and the withdrawal may have to wait for another call. An entry
// that is not withdrawn expires with its lease.
constexpr Milliseconds ShutdownTimeout(1500);
constexpr Milliseconds IdleInterval(1000);

} // namespace

RegistrationThread::RegistrationThread(PeerRegistration &registration, const Clock &clock)
    : registration_(registration)
    , clock_(clock)
    , thread_([this] { return step(); })
{
}

void RegistrationThread::beginShutdown(bool withdrawEntry)
{
    if (shutdownRequested_) {
        return;
    }
    shutdownStarted_ = clock_.now();
    withdrawEntry_ = withdrawEntry;
    shutdownRequested_ = true;
    thread_.wake();
}

bool RegistrationThread::mayStop() const
{
    return shutdownFinished_ || (shutdownRequested_ && clock_.now() - shutdownStarted_ >= ShutdownTimeout);
}

Milliseconds RegistrationThread::step()
{
    if (!shutdownRequested_) {
        return registration_.step(clock_.now());
    }
    if (!shutdownFinished_) {
        if (withdrawEntry_) {
            registration_.withdraw();
        }
        shutdownFinished_ = true;
    }
    return IdleInterval;
}

} // namespace rhubarblane
