#include "node/workerthread.h"

#include <chrono>
#include <utility>

namespace rhubarblane
{

WorkerThread::WorkerThread(Step step)
    : step_(std::move(step))
    , thread_([this] { run(); })
{
}

WorkerThread::~WorkerThread()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void WorkerThread::wake()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        woken_ = true;
    }
    changed_.notify_all();
}

void WorkerThread::run()
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
