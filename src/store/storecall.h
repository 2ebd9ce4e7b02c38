#ifndef RHUBARBLANE_STORE_STORECALL_H
#define RHUBARBLANE_STORE_STORECALL_H

#include "base/clock.h"
#include "base/outcome.h"
#include "base/storeposition.h"

#include <cpprest/http_client.h>
#include <cpprest/json.h>
#include <pplx/pplxtasks.h>

#include <chrono>
#include <exception>
#include <future>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace rhubarblane
{

/** A response of the store with any HTTP status. */
struct StoreResponse {
    web::http::status_code status = 0;
    web::json::value body;
    web::http::http_headers headers;
};

std::chrono::milliseconds toChrono(Milliseconds span);

/**
 * Returns an HTTP client for a single request. Connections must not be reused, because cpprestsdk resends a request by
 * itself if a reused connection was closed.
 */
std::shared_ptr<web::http::client::http_client> makeStoreClient(const std::string &url, Milliseconds timeout);

/**
 * Sends one HTTP request with a JSON response. Fails with Unavailable if the request certainly did not reach the store,
 * and with `uncertainCode` if there is no readable response within the timeout. An empty body is returned as null.
 */
Outcome<StoreResponse> callStore(const std::string &url,
                                 web::http::http_request request,
                                 Milliseconds timeout,
                                 ErrorCode uncertainCode,
                                 const pplx::cancellation_token_source &cancel = {});

/** Waits for a task up to the timeout, then cancels it and returns nullopt. */
template<typename T>
std::optional<T> waitForTask(pplx::task<T> task, Milliseconds timeout, const pplx::cancellation_token_source &cancel)
{
    // A pplx task has no wait with a timeout, so its result is passed through a future.
    auto promise = std::make_shared<std::promise<T>>();
    std::future<T> future = promise->get_future();
    task.then([promise](const pplx::task<T> &done) {
        try {
            promise->set_value(done.get());
        } catch (...) {
            promise->set_exception(std::current_exception());
        }
    });
    if (future.wait_for(toChrono(timeout)) != std::future_status::ready) {
        cancel.cancel();
        return std::nullopt;
    }
    return future.get();
}

/**
 * Registry of the calls that wait for changes, so that they can be cancelled when the process stops. Safe to use from
 * several threads.
 */
class CancellableCalls
{
    struct Call {
        pplx::cancellation_token_source cancel;
        StoreEra era;
    };

public:
    /** Registers a call for the lifetime of the object. */
    class Registration
    {
    public:
        /** `era` is that of the state in which the call waits for changes. */
        Registration(CancellableCalls &calls, const pplx::cancellation_token_source &cancel, StoreEra era = StoreEra());
        ~Registration();
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

        bool isCancelled() const
        {
            return cancelled_;
        }

    private:
        CancellableCalls &calls_;
        std::list<Call>::iterator position_;
        bool cancelled_ = false;
    };

    /** Cancels registered calls and all later ones until allow(). */
    void cancel();
    void allow();

    /** Cancels the registered calls of other eras; later ones are not affected. */
    void cancelOtherEras(StoreEra era);

private:
    std::mutex mutex_;
    std::list<Call> calls_;
    bool cancelled_ = false;
};

} // namespace rhubarblane

#endif
