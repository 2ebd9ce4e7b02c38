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
    changed_.notify_all();
    thread_.join();
}

void SteppedThread::wake()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        woken_ = true;
    }
    changed_.notify_all();
}

void SteppedThread::run()
{
    for (;;) {
        const Milliseconds wait = step_();
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(wait.count()), [this] { return stopping_ || woken_; });
        if (stopping_) {
            return;
        }
        woken_ = false;
    }
}

} // namespace rhubarblane
