#ifndef RHUBARBLANE_BENCH_EVENTQUEUE_H
#define RHUBARBLANE_BENCH_EVENTQUEUE_H

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** A queue of events in simulated time, in microseconds. Events of the same time run in insertion order. */
class EventQueue
{
public:
    using Action = std::function<void()>;

    std::int64_t now() const
    {
        return now_;
    }

    void after(std::int64_t delayUs, Action action)
    {
        events_.push(Event {now_ + delayUs, next_++, std::move(action)});
    }

    void runUntil(std::int64_t endUs)
    {
        while (!events_.empty() && events_.top().time <= endUs) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
        now_ = endUs;
    }

private:
    struct Event {
        std::int64_t time = 0;
        std::uint64_t order = 0;
        Action action;

        friend bool operator<(const Event &a, const Event &b)
        {
            return a.time != b.time ? a.time > b.time : a.order > b.order;
        }
    };

    std::priority_queue<Event> events_;
    std::int64_t now_ = 0;
    std::uint64_t next_ = 0;
};

} // namespace rhubarblane

#endif
