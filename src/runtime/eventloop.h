#ifndef RHUBARBLANE_RUNTIME_EVENTLOOP_H
#define RHUBARBLANE_RUNTIME_EVENTLOOP_H

#include "base/clock.h"

#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** Dispatches packets, messages, timer ticks and signals on a single thread. */
class EventLoop
{
public:
    using Handler = std::function<void()>;
    using TickHandler = std::function<void(Timestamp now)>;

    /** `clock` must outlive the loop. */
    EventLoop(const Clock &clock, Milliseconds tickInterval);
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    ~EventLoop();

    /** Registers a descriptor; `handler` is called whenever it is readable or has an error. */
    void add(int descriptor, Handler handler);

    /** Unregisters a descriptor. Must be called before the descriptor is closed. */
    void remove(int descriptor);

    void onTick(TickHandler handler);

    /** Runs `task` on the loop's thread, or drops it if run() has ended. May be called on any thread. */
    void post(Handler task);

    /**
     * Runs `query` on the loop's thread and waits for its result. Returns nothing if run() has ended. Must not be
     * called on the loop's thread, where it would deadlock.
     */
    template<typename Query>
    auto call(Query query) -> std::optional<decltype(query())>
    {
        auto task = std::make_shared<std::packaged_task<decltype(query())()>>(std::move(query));
        auto result = task->get_future();
        post([task = std::move(task)] { (*task)(); });
        try {
            return result.get();
        } catch (const std::future_error &) {
            return std::nullopt;
        }
    }

    /**
     * Runs until stop() is called. SIGTERM and SIGINT must be blocked; they are delivered to the handler of
     * onTerminate().
     */
    void run();

    void stop();

    /** Sets the handler that is called on the loop's thread for each SIGTERM or SIGINT. */
    void onTerminate(Handler handler);

    /** Sets the handler that is called on the loop's thread for each SIGHUP, which must be blocked as well. */
    void onReload(Handler handler);

    const Clock &clock() const
    {
        return clock_;
    }
    Timestamp now() const
    {
        return clock_.now();
    }

private:
    void runPostedTasks();
    void watchSignals();
    void readSignals();
    int epollTimeout(Timestamp now) const;

    const Clock &clock_;
    Milliseconds tickInterval_;
    Timestamp nextTick_;
    int epollDescriptor_ = -1;
    int wakeDescriptor_ = -1;
    int signalDescriptor_ = -1;
    bool running_ = false;
    std::unordered_map<int, Handler> handlers_;
    TickHandler tickHandler_;
    Handler terminateHandler_;
    Handler reloadHandler_;
    std::mutex postedTasksMutex_;
    std::vector<Handler> postedTasks_;
    bool ended_ = false;
};

} // namespace rhubarblane

#endif
