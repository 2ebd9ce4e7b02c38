#ifndef RHUBARBLANE_STANDINS_STORESTANDIN_H
#define RHUBARBLANE_STANDINS_STORESTANDIN_H

#include "base/clock.h"
#include "standins/storetable.h"
#include "wire/httpserver.h"

#include <cpprest/json.h>
#include <cpprest/producerconsumerstream.h>

#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rhubarblane
{

/**
 * Stand-in of the platform's store: the JSON gateway of etcd v3 over a StoreTable, with faults on request.
 *
 * `POST /standin/faults` takes a JSON object; fields that are absent stay as they are:
 *   `delayMs`       every answer is late by this time
 *   `away`          "no", "refuse" (503 to every call) or "hang" (no answer until it is back, nothing done)
 *   `loseAnswers`   this number of coming transactions take effect without an answer
 *   `expireLeases`  true ends all leases once
 *   `compact`       true forgets the history once
 * `GET /standin/counts` returns the number of calls of each path; a waiting watch is one call.
 */
class StoreStandin
{
public:
    ~StoreStandin();

    /** Listens on "IP:PORT"; port 0 selects a free port. */
    std::optional<Error> start(const std::string &address);
    void stop();

    std::uint16_t port() const
    {
        return http_.port();
    }

private:
    enum class Away {
        No,
        Refuse,
        Hang,
    };
    struct Watcher {
        std::string begin;
        std::string end;
        concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer;
    };

    void handle(const web::http::http_request &request);
    void handleBody(const web::http::http_request &request, const std::string &path, const web::json::value &body);
    void setFaults(const web::http::http_request &request, const web::json::value &body);
    void commit(const web::http::http_request &request, const web::json::value &body);
    void openWatch(const web::http::http_request &request, const web::json::value &create);
    void notifyWatchers(Revision from);
    void releaseHeld();
    void runTimer();
    web::json::value header() const;
    web::json::value counts() const;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    StoreTable table_;
    SystemClock clock_;
    std::map<std::string, std::uint64_t> counts_;
    std::int64_t delayMs_ = 0;
    Away away_ = Away::No;
    std::int64_t loseAnswers_ = 0;
    std::list<Watcher> watchers_;
    /** Requests without an answer; released when the store is back or stops. */
    std::vector<web::http::http_request> held_;
    bool stopping_ = false;
    std::thread timer_;
    HttpServer http_;
};

} // namespace rhubarblane

#endif
