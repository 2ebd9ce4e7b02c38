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
 * Simulates the platform's store: serves the JSON gateway of etcd v3 from a StoreTable and injects faults on request.
 *
 * `POST /standin/faults` takes a JSON object. Fields that are absent keep their value:
 *   `delayMs`       delay of every response in ms
 *   `away`          outage: "no", "refuse" (503 for every call) or "hang" (calls are held unexecuted until it ends)
 *   `loseAnswers`   number of coming transactions that are committed without a response
 *   `expireLeases`  true expires all leases once
 *   `compact`       true compacts the history once
 * `GET /standin/counts` returns the number of calls by path. An open watch counts as one call.
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
    /** Requests without a response. They are answered when the outage ends or the store stops. */
    std::vector<web::http::http_request> held_;
    bool stopping_ = false;
    std::thread timer_;
    HttpServer http_;
};

} // namespace rhubarblane

#endif
