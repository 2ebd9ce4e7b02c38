#ifndef RHUBARBLANE_BASE_CLOCK_H
#define RHUBARBLANE_BASE_CLOCK_H

#include <cstdint>

namespace rhubarblane
{

/** A duration in milliseconds. */
class Milliseconds
{
public:
    constexpr Milliseconds() = default;
    constexpr explicit Milliseconds(std::int64_t count)
        : count_(count)
    {
    }
    constexpr std::int64_t count() const
    {
        return count_;
    }
    friend constexpr bool operator==(Milliseconds a, Milliseconds b)
    {
        return a.count_ == b.count_;
    }
    friend constexpr bool operator!=(Milliseconds a, Milliseconds b)
    {
        return a.count_ != b.count_;
    }
    friend constexpr bool operator<(Milliseconds a, Milliseconds b)
    {
        return a.count_ < b.count_;
    }
    friend constexpr bool operator<=(Milliseconds a, Milliseconds b)
    {
        return a.count_ <= b.count_;
    }
    friend constexpr bool operator>(Milliseconds a, Milliseconds b)
    {
        return b < a;
    }
    friend constexpr bool operator>=(Milliseconds a, Milliseconds b)
    {
        return b <= a;
    }
    friend constexpr Milliseconds operator+(Milliseconds a, Milliseconds b)
    {
        return Milliseconds(a.count_ + b.count_);
    }
    friend constexpr Milliseconds operator-(Milliseconds a, Milliseconds b)
    {
        return Milliseconds(a.count_ - b.count_);
    }
    friend constexpr Milliseconds operator*(Milliseconds a, std::int64_t factor)
    {
        return Milliseconds(a.count_ * factor);
    }

private:
    std::int64_t count_ = 0;
};

/**
 * A point in time on one process's monotonic clock, in milliseconds. Values of different processes are not comparable.
 */
class Timestamp
{
public:
    constexpr Timestamp() = default;
    constexpr explicit Timestamp(std::int64_t milliseconds)
        : milliseconds_(milliseconds)
    {
    }
    constexpr std::int64_t milliseconds() const
    {
        return milliseconds_;
    }
    friend constexpr bool operator==(Timestamp a, Timestamp b)
    {
        return a.milliseconds_ == b.milliseconds_;
    }
    friend constexpr bool operator<(Timestamp a, Timestamp b)
    {
        return a.milliseconds_ < b.milliseconds_;
    }
    friend constexpr bool operator<=(Timestamp a, Timestamp b)
    {
        return a.milliseconds_ <= b.milliseconds_;
    }
    friend constexpr bool operator>(Timestamp a, Timestamp b)
    {
        return b < a;
    }
    friend constexpr bool operator>=(Timestamp a, Timestamp b)
    {
        return b <= a;
    }
    friend constexpr Timestamp operator+(Timestamp a, Milliseconds b)
    {
        return Timestamp(a.milliseconds_ + b.count());
    }
    friend constexpr Milliseconds operator-(Timestamp a, Timestamp b)
    {
        return Milliseconds(a.milliseconds_ - b.milliseconds_);
    }

private:
    std::int64_t milliseconds_ = 0;
};

/** The clock of a process. The cores do not read it; they receive the time with each event. */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Timestamp now() const = 0;
};

/** The operating system's monotonic clock, which includes time spent suspended. */
class SystemClock : public Clock
{
public:
    Timestamp now() const override;
};

} // namespace rhubarblane

#endif
