#include "httpworkerclient.h"

#include "refusal.h"
#include "workerrequestcodec.h"

namespace currantring {

namespace {

std::string targetOf(const WorkerRequest &request)
{
    if (std::holds_alternative<RenewLeases>(request)) {
        return "/v1/leases/renew";
    }
    return "/v1/attempts/" + std::string(workerRequestName(request));
}

tl::unexpected<WorkerError> failure(WorkerErrorKind kind, RefusalReason reason = RefusalReason::None)
{
    return tl::unexpected(WorkerError { kind, reason });
}

} // namespace

HttpWorkerClient::HttpWorkerClient(HttpClientOptions options)
    : m_pool(options)
{
}

WorkerResult HttpWorkerClient::operator()(const Address &worker, const WorkerRequest &request)
{
    const HttpRequest http { "POST", targetOf(request), {}, encodeWorkerRequest(request), "application/json" };
    const tl::expected<HttpAnswer, HttpError> answer = m_pool.exchange(worker, http, m_pool.options().requestTimeout);
    if (!answer) {
        const bool notSent = answer.error() == HttpError::NotSent;
        return failure(notSent ? WorkerErrorKind::NotSent : WorkerErrorKind::Unknown);
    }
    if (const std::optional<RefusalReason> reason = readRefusal(answer->status, answer->body)) {
        return failure(WorkerErrorKind::Refused, *reason);
    }
    const std::optional<WorkerReply> reply = decodeWorkerReply(answer->body);
    if (answer->status != 200 || !reply) {
        return failure(WorkerErrorKind::Unknown);
    }
    return *reply;
}

std::uint64_t HttpWorkerClient::connectionsReplaced() const
{
    return m_pool.connectionsReplaced();
}

} // namespace currantring
