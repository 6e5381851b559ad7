#include "httpfront.h"

#include "log.h"

#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds waitMargin { 500 };
constexpr std::size_t longestPath = 2000;

void answer(httplib::Response &response, ReplyCode code, const std::string &body, const char *type)
{
    response.status = httpStatus(code);
    response.set_header("Currantring-Outcome", std::string(replyCodeName(code)));
    response.set_content(body, type);
}

std::optional<std::string> header(const httplib::Request &request, const char *name)
{
    if (!request.has_header(name)) {
        return std::nullopt;
    }
    return request.get_header_value(name);
}

} // namespace

void HealthBoard::set(bool healthy, std::string state)
{
    const std::lock_guard lock(m_mutex);
    m_healthy = healthy;
    m_state = std::move(state);
}

bool HealthBoard::isHealthy() const
{
    const std::lock_guard lock(m_mutex);
    return m_healthy;
}

std::string HealthBoard::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_state;
}

HttpFront::HttpFront(Options options, Parts parts)
    : m_options(std::move(options))
    , m_parts(std::move(parts))
    , m_callers(m_options.limits, [this] { m_parts.metrics.countReason("connections_refused", "callers"); })
    , m_operators(m_options.limits, [this] { m_parts.metrics.countReason("connections_refused", "operators"); })
{
    routeCallers();
    routeOperators();
}

HttpFront::~HttpFront()
{
    stop();
}

Findings HttpFront::listen()
{
    Findings findings;
    const auto check = [&findings](LimitedServer &server, const std::string &flag, const std::string &address) {
        if (!server.listenOn(address)) {
            findings.push_back({ flag, Severity::Error,
                                 "expected an address on which this process can listen, saw " + address
                                     + ", which is in use or not allowed" });
        }
    };
    check(m_callers, "--listen-callers", m_options.callers);
    check(m_operators, "--listen-operators", m_options.operators);
    return findings;
}

void HttpFront::start()
{
    m_callerThread = Thread("callers", [this] { m_callers.serve(); });
    m_operatorThread = Thread("operators", [this] { m_operators.serve(); });
    m_started = true;
}

void HttpFront::stop()
{
    if (!m_started) {
        return;
    }
    m_started = false;
    m_callers.finish();
    m_operators.finish();
    m_callerThread.join();
    m_operatorThread.join();
}

std::size_t HttpFront::connections() const
{
    return m_callers.connections() + m_operators.connections();
}

void HttpFront::routeCallers()
{
    setUpErrors(m_callers);
    routeHealth(m_callers);
    routeReads(m_callers);
    m_callers.Post("/v1/services/([^/]+)", [this](const httplib::Request &request, httplib::Response &response) {
        serveCall(request, response);
    });
    m_callers.Post("/v1/tasks", [this](const httplib::Request &request, httplib::Response &response) {
        serve(parseSubmission(request.body, readMachineClock().wallNow), response);
    });
    routeTask(m_callers, "cancel", parseCancellation);
}

void HttpFront::routeOperators()
{
    setUpErrors(m_operators);
    routeHealth(m_operators);
    routeReads(m_operators);
    routeTask(m_operators, "cancel", parseCancellation);
    routeTask(m_operators, "evict", parseEviction);
    m_operators.Post("/v1/configuration", [this](const httplib::Request &request, httplib::Response &response) {
        serve(parseConfigurationChange(request.body), response);
    });
    m_operators.Get("/v1/configuration", [this](const httplib::Request & /*request*/, httplib::Response &response) {
        serve(ReadConfiguration {}, response);
    });
    m_operators.Get("/v1/status", [this](const httplib::Request & /*request*/, httplib::Response &response) {
        serve(ReadStatus {}, response);
    });
    m_operators.Get("/v1/workers", [this](const httplib::Request & /*request*/, httplib::Response &response) {
        serve(ReadWorkers {}, response);
    });
}

void HttpFront::routeReads(LimitedServer &server)
{
    server.Get("/v1/tasks/([^/]+)", [this](const httplib::Request &request, httplib::Response &response) {
        serve(parseTaskRead(request.matches[1]), response);
    });
    server.Get("/v1/tasks/([^/]+)/account", [this](const httplib::Request &request, httplib::Response &response) {
        serve(parseAccountRead(request.matches[1]), response);
    });
}

void HttpFront::routeTask(LimitedServer &server, const std::string &verb, TaskParser parse)
{
    server.Post("/v1/tasks/([^/]+)/" + verb,
                [this, parse](const httplib::Request &request, httplib::Response &response) {
                    serve(parse(request.matches[1], request.body), response);
                });
}

void HttpFront::routeHealth(LimitedServer &server)
{
    server.Get("/health", [this](const httplib::Request & /*request*/, httplib::Response &response) {
        const bool healthy = m_parts.health.isHealthy();
        const nlohmann::json body { { "healthy", healthy },
                                    { "state", m_parts.health.state() },
                                    { "host", m_options.host } };
        response.status = healthy ? 200 : 503;
        response.set_content(body.dump(), "application/json");
    });
    server.Get("/metrics", [this](const httplib::Request & /*request*/, httplib::Response &response) {
        m_parts.refreshGauges();
        response.set_content(m_parts.metrics.exposition(), "text/plain; version=0.0.4");
    });
}

void HttpFront::setUpErrors(LimitedServer &server)
{
    server.set_pre_routing_handler([](const httplib::Request &request, httplib::Response &response) {
        if (request.path.size() <= longestPath) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        LimitedServer::closeAfterThisRequest();
        answer(response, ReplyCode::Invalid,
               findingsBody({ { "path", Severity::Error, "expected at most 2000 bytes" } }), "application/json");
        return httplib::Server::HandlerResponse::Handled;
    });
    server.set_error_handler([this](const httplib::Request & /*request*/, httplib::Response &response) {
        if (!response.body.empty()) {
            return;
        }
        const SocketStream *stream = LimitedServer::currentStream();
        if (stream != nullptr && stream->isOverBudget()) {
            // The request was incomplete, so no part of it was run.
            m_parts.metrics.countReason("requests_refused", "memory-limit");
            writeLog({ LogLevel::Warning, "request_refused", { { "reason", "memory-limit" } } });
            answer(response, ReplyCode::NotRun, outcomeBody(ReplyCode::NotRun, "memory-limit"), "application/json");
            return;
        }
        const int status = stream != nullptr && stream->isOverflowed() ? 413 : response.status;
        std::string message = "malformed request";
        if (stream != nullptr && stream->isOverflowed()) {
            m_parts.metrics.countReason("requests_invalid", "too-large");
        }
        if (status == 413) {
            message = "expected at most " + std::to_string(m_options.limits.bodyBytes) + " bytes of body and "
                + std::to_string(m_options.limits.headerBytes) + " of header, saw more";
        } else if (status == 404) {
            message = "no-such-path";
        }
        const ReplyCode code = status == 404 ? ReplyCode::NotFound : ReplyCode::Invalid;
        answer(response, code,
               status == 404 ? outcomeBody(code, message) : findingsBody({ { "request", Severity::Error, message } }),
               "application/json");
        response.status = status;
    });
    server.set_exception_handler(
        [](const httplib::Request & /*request*/, httplib::Response &response, const std::exception_ptr & /*error*/) {
            answer(response, ReplyCode::OutcomeUnknown, outcomeBody(ReplyCode::OutcomeUnknown, "host-failed"),
                   "application/json");
        });
}

RequestId HttpFront::makeRequestId()
{
    // A process that takes over a host id must not repeat the ids of the one before it.
    return RequestId(m_options.host.value() + "-" + m_processTag + "-" + std::to_string(++m_lastRequest));
}

void HttpFront::serveCall(const httplib::Request &request, httplib::Response &response)
{
    ParsedRequest parsed = parseServiceCall(
        { request.matches[1], header(request, "Currantring-Owner"), header(request, "Currantring-Request-Id"),
          header(request, "Currantring-Timeout-Ms"), header(request, "Currantring-Idempotent"), request.body });
    if (parsed) {
        auto &call = std::get<CallService>(*parsed);
        if (call.request.value().empty()) {
            call.request = makeRequestId();
        }
        response.set_header("Currantring-Request-Id", call.request.value());
    }
    serve(std::move(parsed), response);
}

Milliseconds HttpFront::waitFor(const CallerRequest &request) const
{
    if (const auto *call = std::get_if<CallService>(&request)) {
        return call->timeout.value_or(m_options.longestCall) + waitMargin;
    }
    return m_options.longestWait;
}

void HttpFront::serve(ParsedRequest request, httplib::Response &response)
{
    if (!request) {
        m_parts.metrics.countReason("requests_invalid", "input");
        answer(response, ReplyCode::Invalid, findingsBody(request.error()), "application/json");
        return;
    }
    const bool isCall = std::holds_alternative<CallService>(*request);
    const Milliseconds limit = waitFor(*request);
    const SocketStream *stream = LimitedServer::currentStream();
    const std::shared_ptr<CallerPlace> caller = m_parts.replies.open();
    m_parts.post(CallerArrived { caller->token(), std::move(*request) });
    CallerReply reply;
    const ReplyBoard::End end = m_parts.replies.wait(*caller, stream == nullptr ? -1 : stream->socket(), limit, reply);
    if (end == ReplyBoard::End::Replied) {
        const bool opaque = isCall && reply.code == ReplyCode::Ok;
        answer(response, reply.code, reply.body, opaque ? "application/octet-stream" : "application/json");
        return;
    }
    m_parts.post(CallerGone { caller->token() });
    m_parts.metrics.countReason("callers_gone", end == ReplyBoard::End::HungUp ? "hung-up" : "timed-out");
    const ReplyCode code = isCall ? ReplyCode::OutcomeUnknown : ReplyCode::NotYetKnown;
    answer(response, code, outcomeBody(code, "no-answer-in-time"), "application/json");
}

} // namespace currantring
