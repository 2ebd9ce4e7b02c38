#ifndef RHUBARBLANE_NODE_WORKERTHREAD_H
#define RHUBARBLANE_NODE_WORKERTHREAD_H

#include "base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace rhubarblane
{

/** Repeatedly runs a step, which may block, on its own thread. */
class WorkerThread
{
public:
    /** Does one unit of work and returns the time to wait before the next one. */
    using Step = std::function<Milliseconds()>;

    explicit WorkerThread(Step step);
    WorkerThread(const WorkerThread &) = delete;
    WorkerThread &operator=(const WorkerThread &) = delete;
    /** Waits until the running step has returned. */
    ~WorkerThread();

    /** Makes the next step run immediately, or as soon as the running one returns. */
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
