#ifndef RHUBARBLANE_NODE_WORKERTHREAD_H
#define RHUBARBLANE_NODE_WORKERTHREAD_H

#include "base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace rhubarblane
{

/** Runs a step that may block, again and again, on a thread of its own. */
class WorkerThread
{
public:
    /** Returns how long to wait before the next step. */
    using Step = std::function<Milliseconds()>;

    explicit WorkerThread(Step step);
    WorkerThread(const WorkerThread &) = delete;
    WorkerThread &operator=(const WorkerThread &) = delete;
    /** Waits for the running step. */
    ~WorkerThread();

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
