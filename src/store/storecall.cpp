#include "store/storecall.h"

#include "wire/connecterror.h"
#include "wire/jsontext.h"

#include <system_error>
#include <utility>

namespace rhubarblane
{

std::chrono::milliseconds toChrono(Milliseconds span)
{
    return std::chrono::milliseconds(span.count());
}

std::shared_ptr<web::http::client::http_client> makeStoreClient(const std::string &url, Milliseconds timeout)
{
    web::http::client::http_client_config config;
    config.set_timeout(toChrono(timeout));
    return std::make_shared<web::http::client::http_client>(url, config);
}

Outcome<StoreResponse> callStore(const std::string &url,
                                 web::http::http_request request,
                                 Milliseconds timeout,
                                 ErrorCode uncertainCode,
                                 const pplx::cancellation_token_source &cancel)
{
    request.headers().add("Connection", "close");
    try {
        const auto client = makeStoreClient(url, timeout);
        pplx::task<StoreResponse> task =
            client->request(request, cancel.get_token()).then([client](const web::http::http_response &response) {
                return response.extract_string(true).then([response](const std::string &text) {
                    // Error responses may have any text as body, so a parse error is ignored; the status suffices.
                    const Outcome<web::json::value> body = parseJson(text);
                    return StoreResponse {
                        response.status_code(), isOk(body) ? valueOf(body) : web::json::value(), response.headers()};
                });
            });
        std::optional<StoreResponse> answer = waitForTask(task, timeout, cancel);
        if (!answer) {
            return Error {
                uncertainCode, {}, "no answer from the store within " + std::to_string(timeout.count()) + " ms"};
        }
        return std::move(*answer);
    } catch (const web::http::http_exception &exception) {
        return Error {isConnectError(exception) ? ErrorCode::Unavailable : uncertainCode,
                      {},
                      std::string("the store cannot be reached: ") + exception.what()};
    } catch (const std::exception &exception) {
        return Error {uncertainCode, {}, std::string("bad answer from the store: ") + exception.what()};
    }
}

CancellableCalls::Registration::Registration(CancellableCalls &calls,
                                             const pplx::cancellation_token_source &cancel,
                                             StoreEra era)
    : calls_(calls)
{
    const std::lock_guard<std::mutex> lock(calls_.mutex_);
    cancelled_ = calls_.cancelled_;
    position_ = calls_.calls_.insert(calls_.calls_.end(), {cancel, era});
}

CancellableCalls::Registration::~Registration()
{
    const std::lock_guard<std::mutex> lock(calls_.mutex_);
    calls_.calls_.erase(position_);
}

void CancellableCalls::cancel()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    cancelled_ = true;
    for (const Call &call : calls_) {
        call.cancel.cancel();
    }
}

void CancellableCalls::cancelOtherEras(StoreEra era)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Call &call : calls_) {
        if (call.era != era) {
            call.cancel.cancel();
        }
    }
}

void CancellableCalls::allow()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    cancelled_ = false;
}

} // namespace rhubarblane
