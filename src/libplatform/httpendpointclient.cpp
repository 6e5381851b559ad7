#include "httpendpointclient.h"

#include "refusal.h"
#include "urlencoding.h"

namespace currantring {

namespace {

HttpRequest toHttp(const EndpointRequest &request)
{
    HttpRequest http;
    http.method = "POST";
    http.target = "/v1/services/" + encodeUrlParameter(request.service.value());
    http.headers = { { "Currantring-Request-Id", request.request.value() },
                     { "Currantring-Timeout-Ms", std::to_string(request.timeout.count()) },
                     { "Currantring-Shard", std::to_string(request.fence.shard.value()) },
                     { "Currantring-Epoch", std::to_string(request.fence.epoch.value()) } };
    http.body = request.body;
    http.contentType = "application/octet-stream";
    return http;
}

tl::unexpected<EndpointError> failure(EndpointErrorKind kind, RefusalReason reason = RefusalReason::None)
{
    return tl::unexpected(EndpointError { kind, reason });
}

} // namespace

HttpEndpointClient::HttpEndpointClient(HttpClientOptions options)
    : m_pool(options)
{
}

EndpointResult HttpEndpointClient::operator()(const EndpointRequest &request)
{
    const tl::expected<HttpAnswer, HttpError> answer =
        m_pool.exchange(request.address, toHttp(request), request.timeout);
    if (!answer) {
        const bool notSent = answer.error() == HttpError::NotSent;
        return failure(notSent ? EndpointErrorKind::NotSent : EndpointErrorKind::Unknown);
    }
    if (const std::optional<RefusalReason> reason = readRefusal(answer->status, answer->body)) {
        return failure(EndpointErrorKind::Refused, *reason);
    }
    if (answer->status != 200) {
        return failure(EndpointErrorKind::Unknown);
    }
    return EndpointAnswer { RequestId(answer->requestId), answer->body };
}

std::uint64_t HttpEndpointClient::connectionsReplaced() const
{
    return m_pool.connectionsReplaced();
}

} // namespace currantring
