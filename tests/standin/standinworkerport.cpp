#include "standinworkerport.h"

#include "workerrequestcodec.h"

#include <charconv>
#include <utility>

namespace currantring {

namespace {

void answerRefusal(httplib::Response &response, RefusalReason reason)
{
    answerJson(response, 503, { { "refused", refusalReasonName(reason) } });
}

void answerMalformed(httplib::Response &response, const char *message)
{
    answerJson(response, 400, { { "error", "malformed" }, { "message", message } });
}

std::uint64_t numberIn(const httplib::Request &request, const char *header)
{
    const std::string text = request.get_header_value(header);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

StandinWorkerPort::StandinWorkerPort(StandinSite &site, WorkerId worker, std::size_t connectionLimit)
    : m_site(site)
    , m_worker(std::move(worker))
    , m_server(connectionLimit, [this](std::size_t open) {
        m_site.withPlatform([this, open](StandinPlatform &platform, TimePoint) {
            platform.truth().noteConnections(m_worker, static_cast<std::uint32_t>(open));
            return open;
        });
    })
{
    m_server.Post("/v1/attempts/(start|stop|checkpoint|throttle)",
                  [this](const auto &request, auto &response) { command(request.matches[1], request, response); });
    m_server.Post("/v1/leases/renew",
                  [this](const auto &request, auto &response) { command("renew", request, response); });
    m_server.Post("/v1/services/([^/]+)", [this](const auto &request, auto &response) { serve(request, response); });
}

StandinHttpServer &StandinWorkerPort::server()
{
    return m_server;
}

const WorkerId &StandinWorkerPort::worker() const
{
    return m_worker;
}

void StandinWorkerPort::command(const std::string &name, const httplib::Request &request, httplib::Response &response)
{
    const std::optional<WorkerRequest> decoded = decodeWorkerRequest(name, request.body);
    if (!decoded) {
        answerMalformed(response, "expected a command as in docs/platform-protocol.md");
        return;
    }
    const StandinWorkerCall call = m_site.withPlatform([this, &decoded](StandinPlatform &platform, TimePoint now) {
        return platform.callWorker(m_worker, *decoded, now);
    });
    m_site.pass(call.delay);
    if (!deliver(call.delivery, response)) {
        return;
    }
    if (call.result) {
        answerJson(response, 200, call.result->report);
    } else {
        answerRefusal(response, call.result.error().reason);
    }
}

void StandinWorkerPort::serve(const httplib::Request &request, httplib::Response &response)
{
    EndpointRequest endpoint;
    endpoint.fence.shard = ShardId(static_cast<std::uint32_t>(numberIn(request, "Currantring-Shard")));
    endpoint.fence.epoch = Epoch(numberIn(request, "Currantring-Epoch"));
    endpoint.worker = m_worker;
    endpoint.service = ServiceName(request.matches[1]);
    endpoint.request = RequestId(request.get_header_value("Currantring-Request-Id"));
    endpoint.timeout = Milliseconds(numberIn(request, "Currantring-Timeout-Ms"));
    endpoint.body = request.body;
    if (endpoint.request.value().empty()) {
        answerMalformed(response, "expected the header Currantring-Request-Id");
        return;
    }
    const StandinEndpointCall call = m_site.withPlatform(
        [&endpoint](StandinPlatform &platform, TimePoint now) { return platform.callEndpoint(endpoint, now); });
    m_site.pass(call.delay);
    if (!deliver(call.delivery, response)) {
        return;
    }
    if (call.result) {
        response.set_header("Currantring-Request-Id", call.result->answer.request.value());
        response.set_content(call.result->answer.body, "application/json");
    } else {
        answerRefusal(response, call.result.error().reason);
    }
}

} // namespace currantring
