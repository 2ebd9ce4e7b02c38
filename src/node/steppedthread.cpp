#include "node/steppedthread.h"

#include <chrono>
#include <utility>

namespace rhubarblane
{

SteppedThread::SteppedThread(Step step)
    : step_(std::move(step))
    , thread_([this] { run(); })
{
}

SteppedThread::~SteppedThread()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    stop_.notify_all();
    thread_.join();
}

void SteppedThread::run()
{
    for (;;) {
        const Milliseconds wait = step_();
        std::unique_lock<std::mutex> lock(mutex_);
        if (stop_.wait_for(lock, std::chrono::milliseconds(wait.count()), [this] { return stopping_; })) {
            return;
        }
    }
}

} // namespace rhubarblane
