#include "node/registrationthread.h"

namespace rhubarblane
{

namespace
{

// A call to a silent store lasts 1 s; the one that withdraws the entry may follow another. An entry that stays lapses.
constexpr Milliseconds LongestEnd(1500);
constexpr Milliseconds IdleInterval(1000);

} // namespace

RegistrationThread::RegistrationThread(PeerRegistration &registration, const Clock &clock)
    : registration_(registration)
    , clock_(clock)
    , thread_([this] { return step(); })
{
}

void RegistrationThread::beginEnd(bool withdrawEntry)
{
    if (ending_) {
        return;
    }
    endBegan_ = clock_.now();
    withdraws_ = withdrawEntry;
    ending_ = true;
    thread_.wake();
}

bool RegistrationThread::mayStop() const
{
    return ended_ || (ending_ && clock_.now() - endBegan_ >= LongestEnd);
}

Milliseconds RegistrationThread::step()
{
    if (!ending_) {
        return registration_.step(clock_.now());
    }
    if (!ended_) {
        if (withdraws_) {
            registration_.withdraw();
        }
        ended_ = true;
    }
    return IdleInterval;
}

} // namespace rhubarblane
