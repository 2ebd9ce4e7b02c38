#include "control/controlserver.h"

#include "control/configurationfetcher.h"
#include "control/configurationreader.h"
#include "control/peerclient.h"
#include "control/peerserver.h"
#include "control/resourceapi.h"
#include "store/etcdstore.h"
#include "wire/httpserver.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <thread>
#include <utility>

namespace rhubarblane
{

namespace
{

using web::http::http_request;

/** Timeout of each store call. A healthy store responds within milliseconds. */
constexpr Milliseconds StoreTimeout(2000);
constexpr Milliseconds PeerTimeout(2000);
/** Number of balancers of a region that poll the reader key. More would only add store calls. */
constexpr std::size_t ReaderCandidates = 3;

/** Uses no seed: if a process repeated the token of an earlier one, its write would seem to be stored already. */
std::string makeToken()
{
    std::array<unsigned char, 16> bytes {};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    std::string token;
    for (const unsigned char byte : bytes) {
        std::array<char, 3> text {};
        std::snprintf(text.data(), text.size(), "%02x", byte);
        token += text.data();
    }
    return token;
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    });
    return text;
}

ApiRequest toApiRequest(const http_request &request, std::string body)
{
    ApiRequest result;
    result.method = request.method();
    result.path = request.relative_uri().path();
    for (const auto &[name, value] : request.headers()) {
        result.headers[toLower(name)] = value;
    }
    result.body = std::move(body);
    return result;
}

void send(const http_request &request, const ApiResponse &answer)
{
    web::http::http_response response(static_cast<web::http::status_code>(answer.status));
    response.set_body(answer.body, answer.contentType);
    for (const auto &[name, value] : answer.headers) {
        response.headers().add(name, value);
    }
    request.reply(response);
}

} // namespace

/** Shared with requests in progress, which can outlive the server. */
class ControlServer::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(ControlSettings settings, ControlHooks hooks)
        : settings_(std::move(settings))
        , hooks_(std::move(hooks))
        , core_(hooks_.applyConfiguration)
        , store_(settings_.storeUrl.empty() ? nullptr : std::make_unique<EtcdStore>(settings_.storeUrl, StoreTimeout))
        , writer_(store_.get(),
                  core_,
                  [](Milliseconds wait) { std::this_thread::sleep_for(std::chrono::milliseconds(wait.count())); })
        , api_(settings_, hooks_, core_, writer_, makeToken)
        , peerServer_(core_)
    {
    }

    std::optional<Error> start()
    {
        if (!settings_.peerListenAddress.empty()) {
            if (std::optional<Error> error = peerServer_.start(settings_.peerListenAddress)) {
                return error;
            }
        }
        std::optional<Error> error =
            http_.start(settings_.listenAddress, [this](const http_request &request) { handle(request); });
        if (error) {
            peerServer_.stop();
            return error;
        }
        stopping_ = false;
        threads_.emplace_back([this] { fetch(); });
        if (store_) {
            store_->allowWatches();
            threads_.emplace_back([this] { read(); });
        }
        return std::nullopt;
    }

    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopping_ = true;
        }
        stopCondition_.notify_all();
        if (store_) {
            store_->cancelWatches();
        }
        for (std::thread &thread : threads_) {
            thread.join();
        }
        threads_.clear();
        peerServer_.stop();
        http_.stop();
    }

    /** Waits until the server stops, at most for the given time. Returns true if it stops. */
    bool waitForStop(Milliseconds wait)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return stopCondition_.wait_for(lock, std::chrono::milliseconds(wait.count()), [this] { return stopping_; });
    }

    void fetch()
    {
        ConfigurationFetcher fetcher(
            settings_.name,
            core_,
            hooks_.liveBalancers,
            [](const PeerAddress &peer, Revision known) { return fetchConfiguration(peer, known, PeerTimeout); },
            std::mt19937_64(settings_.seed));
        while (!waitForStop(fetcher.step())) { }
    }

    void read()
    {
        ReaderSettings settings;
        settings.identity = settings_.name + " " + makeToken();
        settings.region = settings_.region;
        ConfigurationReader reader(
            settings, *store_, core_, [this] { return isReaderCandidate(); }, std::mt19937_64(settings_.seed + 1));
        const SystemClock clock;
        while (!waitForStop(reader.step(clock.now()))) { }
        reader.release();
    }

    /** The candidates are the first balancers of the region by name, among those known to this balancer. */
    bool isReaderCandidate() const
    {
        const std::vector<BalancerRevision> balancers = hooks_.liveBalancers();
        const auto before = std::count_if(balancers.begin(), balancers.end(), [this](const BalancerRevision &other) {
            return other.region == settings_.region && other.name < settings_.name;
        });
        return static_cast<std::size_t>(before) < ReaderCandidates;
    }

    void handle(const http_request &request)
    {
        if (request.headers().content_length() > ResourceApi::MaximumBodySize) {
            send(request,
                 errorResponse(413,
                               "tooLarge",
                               "the body is longer than " + std::to_string(ResourceApi::MaximumBodySize) + " bytes"));
            return;
        }
        request.content_ready().then([self = shared_from_this()](const pplx::task<http_request> &ready) {
            // An exception that escapes the continuation would terminate the process.
            try {
                self->answer(ready.get());
            } catch (const std::exception &) {
                // The HTTP client closed the connection before its request was complete.
            }
        });
    }

    void answer(const http_request &request)
    {
        ApiResponse response;
        try {
            const std::vector<unsigned char> body = request.extract_vector().get();
            response = api_.handle(toApiRequest(request, std::string(body.begin(), body.end())));
        } catch (const std::exception &exception) {
            response = errorResponse(500, "internal", exception.what());
        }
        send(request, response);
    }

    ControlSettings settings_;
    ControlHooks hooks_;
    ConfigurationCore core_;
    std::unique_ptr<EtcdStore> store_;
    ConfigurationWriter writer_;
    ResourceApi api_;
    PeerServer peerServer_;
    HttpServer http_;
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    std::condition_variable stopCondition_;
    bool stopping_ = false;
};

ControlServer::ControlServer(ControlSettings settings, ControlHooks hooks)
    : d_(std::make_shared<Private>(std::move(settings), std::move(hooks)))
{
}

ControlServer::~ControlServer()
{
    stop();
}

std::optional<Error> ControlServer::start()
{
    return d_->start();
}

void ControlServer::stop()
{
    d_->stop();
}

std::uint16_t ControlServer::httpPort() const
{
    return d_->http_.port();
}

std::uint16_t ControlServer::peerPort() const
{
    return d_->peerServer_.port();
}

} // namespace rhubarblane
