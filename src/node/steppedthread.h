#ifndef RHUBARBLANE_NODE_STEPPEDTHREAD_H
#define RHUBARBLANE_NODE_STEPPEDTHREAD_H

#include "base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace rhubarblane
{

/** Runs a step that may block, again and again, on a thread of its own. */
class SteppedThread
{
public:
    /** Returns how long to wait before the next step. */
    using Step = std::function<Milliseconds()>;

    explicit SteppedThread(Step step);
    SteppedThread(const SteppedThread &) = delete;
    SteppedThread &operator=(const SteppedThread &) = delete;
    /** Waits for the running step. */
    ~SteppedThread();

    /** The next step comes at once, or after the running one. */
    void wake();

private:
    void run();

    Step step_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace rhubarblane

#endif
