#include "runtime/eventloop.h"

#include "base/invariant.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr int EventsPerWait = 256;

} // namespace

EventLoop::EventLoop(const Clock &clock, Milliseconds tickInterval)
    : clock_(clock)
    , tickInterval_(tickInterval)
    , epollDescriptor_(epoll_create1(EPOLL_CLOEXEC))
    , wakeDescriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    RHUBARBLANE_INVARIANT(epollDescriptor_ >= 0 && wakeDescriptor_ >= 0, "the process can open its event descriptors");
    add(wakeDescriptor_, [this] { runPostedTasks(); });
}

EventLoop::~EventLoop()
{
    if (signalDescriptor_ >= 0) {
        close(signalDescriptor_);
    }
    close(wakeDescriptor_);
    close(epollDescriptor_);
}

void EventLoop::add(int descriptor, Handler handler)
{
    handlers_[descriptor] = std::move(handler);
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = descriptor;
    epoll_ctl(epollDescriptor_, EPOLL_CTL_ADD, descriptor, &event);
}

void EventLoop::remove(int descriptor)
{
    handlers_.erase(descriptor);
    epoll_ctl(epollDescriptor_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void EventLoop::onTick(TickHandler handler)
{
    tickHandler_ = std::move(handler);
}

void EventLoop::onTerminate(Handler handler)
{
    terminateHandler_ = std::move(handler);
    watchSignals();
}

void EventLoop::onReload(Handler handler)
{
    reloadHandler_ = std::move(handler);
    watchSignals();
}

void EventLoop::watchSignals()
{
    sigset_t set;
    sigemptyset(&set);
    if (terminateHandler_) {
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
    }
    if (reloadHandler_) {
        sigaddset(&set, SIGHUP);
    }
    const bool watched = signalDescriptor_ >= 0;
    signalDescriptor_ = signalfd(signalDescriptor_, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    RHUBARBLANE_INVARIANT(signalDescriptor_ >= 0, "the process can open a signal descriptor");
    if (!watched) {
        add(signalDescriptor_, [this] { readSignals(); });
    }
}

void EventLoop::post(Handler task)
{
    {
        const std::lock_guard<std::mutex> lock(postedTasksMutex_);
        if (ended_) {
            // The task is destroyed here, which breaks the promise of a waiting call().
            return;
        }
        postedTasks_.push_back(std::move(task));
    }
    const std::uint64_t one = 1;
    const ssize_t written = write(wakeDescriptor_, &one, sizeof(one));
    static_cast<void>(written); // If the write fails because the counter is full, the loop is already woken.
}

void EventLoop::run()
{
    running_ = true;
    std::array<epoll_event, EventsPerWait> events {};
    while (running_) {
        const int count = epoll_wait(epollDescriptor_, events.data(), EventsPerWait, epollTimeout(clock_.now()));
        for (int i = 0; i < count && running_; ++i) {
            // A handler earlier in this batch may have removed the descriptor or replaced its handler.
            const auto found = handlers_.find(events[static_cast<std::size_t>(i)].data.fd);
            if (found != handlers_.end()) {
                const Handler handler = found->second;
                handler();
            }
        }
        const Timestamp now = clock_.now();
        if (running_ && tickHandler_ && now >= nextTick_) {
            nextTick_ = now + tickInterval_;
            tickHandler_(now);
        }
    }
    // Destroying the tasks breaks their promises, so that no other thread waits for a result forever.
    std::vector<Handler> dropped;
    const std::lock_guard<std::mutex> lock(postedTasksMutex_);
    ended_ = true;
    dropped.swap(postedTasks_);
}

void EventLoop::stop()
{
    running_ = false;
}

void EventLoop::runPostedTasks()
{
    std::uint64_t count = 0;
    const ssize_t got = read(wakeDescriptor_, &count, sizeof(count));
    static_cast<void>(got);
    std::vector<Handler> tasks;
    {
        const std::lock_guard<std::mutex> lock(postedTasksMutex_);
        tasks.swap(postedTasks_);
    }
    for (const Handler &task : tasks) {
        task();
    }
}

void EventLoop::readSignals()
{
    signalfd_siginfo info {};
    while (read(signalDescriptor_, &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
        (info.ssi_signo == SIGHUP ? reloadHandler_ : terminateHandler_)();
    }
}

int EventLoop::epollTimeout(Timestamp now) const
{
    if (!tickHandler_) {
        return -1;
    }
    return static_cast<int>(std::max<std::int64_t>(0, (nextTick_ - now).count()));
}

} // namespace rhubarblane
