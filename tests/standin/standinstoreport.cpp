#include "standinstoreport.h"

#include "storerequestcodec.h"

#include <charconv>
#include <utility>

namespace currantring {

namespace {

/** Statuses of StoreError; what can't come from a working service isn't among them. */
void answerError(httplib::Response &response, StoreError error)
{
    switch (error) {
    case StoreError::Conflict:
        answerJson(response, 409, { { "error", "conflict" } });
        return;
    case StoreError::LeaseLapsed:
        answerJson(response, 410, { { "error", "lease-lapsed" } });
        return;
    case StoreError::TooLarge:
        answerJson(response, 413, { { "error", "too-large" } });
        return;
    default:
        answerJson(response, 500, { { "error", "unknown" } });
    }
}

void answerMalformed(httplib::Response &response, const std::string &message)
{
    answerJson(response, 400, { { "error", "malformed" }, { "message", message } });
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/** The number in parameter @p name; nullopt when it is absent or no number. */
std::optional<std::uint64_t> numberOf(const httplib::Request &request, const char *name)
{
    return request.has_param(name) ? parseNumber(request.get_param_value(name)) : std::nullopt;
}

bool isBadNumber(const httplib::Request &request, const char *name)
{
    return request.has_param(name) && !numberOf(request, name);
}

} // namespace

StandinStorePort::StandinStorePort(StandinSite &site, std::size_t connectionLimit, std::function<void()> silenceAll)
    : m_site(site)
    , m_silenceAll(std::move(silenceAll))
    , m_server(connectionLimit, {})
{
    addEntryRoutes();
    addLeaseRoutes();
    addTestRoutes();
}

StandinHttpServer &StandinStorePort::server()
{
    return m_server;
}

void StandinStorePort::addEntryRoutes()
{
    m_server.Get("/v1/kv", [this](const auto &request, auto &response) {
        answer(StoreList { request.get_param_value("prefix") }, response);
    });
    m_server.Get("/v1/kv/(.+)",
                 [this](const auto &request, auto &response) { answer(StoreGet { request.matches[1] }, response); });
    m_server.Put("/v1/kv/(.+)", [this](const auto &request, auto &response) { putEntry(request, response); });
    m_server.Delete("/v1/kv/(.+)", [this](const auto &request, auto &response) {
        answer(StoreDelete { request.matches[1] }, response);
    });
    m_server.Get("/v1/watch", [this](const auto &request, auto &response) { watch(request, response); });
    m_server.Get("/v1/hosts", [this](const auto &, auto &response) { answer(ReadHostList {}, response); });
}

void StandinStorePort::addLeaseRoutes()
{
    m_server.Post("/v1/leases", [this](const auto &request, auto &response) {
        const nlohmann::json json = nlohmann::json::parse(request.body, nullptr, false);
        if (!json.is_object() || !json.contains("termMs") || !json["termMs"].is_number_integer()) {
            answerMalformed(response, "expected termMs");
            return;
        }
        answer(StoreGrantLease { Milliseconds(json["termMs"].template get<std::int64_t>()) }, response);
    });
    m_server.Post("/v1/leases/([0-9]+)/renew", [this](const auto &request, auto &response) {
        const std::optional<std::uint64_t> lease = parseNumber(request.matches[1]);
        answer(StoreRenewLease { LeaseId(lease.value_or(0)) }, response);
    });
}

void StandinStorePort::addTestRoutes()
{
    m_server.Get("/v1/counts", [this](const auto &, auto &response) {
        const auto counts = m_site.withPlatform([](StandinPlatform &platform, TimePoint) { return platform.counts(); });
        answerJson(response, 200, counts);
    });
    m_server.Get("/v1/truth", [this](const auto &, auto &response) {
        const auto truth =
            m_site.withPlatform([](StandinPlatform &platform, TimePoint) { return describeTruth(platform.truth()); });
        answerJson(response, 200, truth);
    });
    m_server.Post("/v1/faults", [this](const auto &request, auto &response) { throwFault(request, response); });
}

void StandinStorePort::answer(const StoreRequest &request, httplib::Response &response)
{
    const StandinStoreCall call = m_site.withPlatform(
        [&request](StandinPlatform &platform, TimePoint now) { return platform.callStore(request, now); });
    deliverCall(call, response, std::holds_alternative<StoreGet>(request));
}

void StandinStorePort::deliverCall(const StandinStoreCall &call, httplib::Response &response, bool absentIsError)
{
    m_site.pass(call.delay);
    if (!deliver(call.delivery, response)) {
        return;
    }
    if (!call.result) {
        answerError(response, call.result.error());
    } else if (absentIsError && call.result->entries.empty()) {
        answerJson(response, 404, { { "error", "absent" }, { "revision", call.result->revision } });
    } else {
        answerJson(response, 200, encodeStoreReply(*call.result));
    }
}

void StandinStorePort::putEntry(const httplib::Request &request, httplib::Response &response)
{
    if (isBadNumber(request, "expect") || isBadNumber(request, "lease")) {
        answerMalformed(response, "expected whole numbers for expect and lease");
        return;
    }
    StorePut put { request.matches[1], request.body, std::nullopt, std::nullopt };
    if (const std::optional<std::uint64_t> expected = numberOf(request, "expect")) {
        put.expected = StoreVersion(*expected);
    }
    if (const std::optional<std::uint64_t> lease = numberOf(request, "lease")) {
        put.lease = LeaseId(*lease);
    }
    answer(put, response);
}

void StandinStorePort::watch(const httplib::Request &request, httplib::Response &response)
{
    if (isBadNumber(request, "after") || isBadNumber(request, "wait_ms")) {
        answerMalformed(response, "expected whole numbers for after and wait_ms");
        return;
    }
    const StoreRevision after(numberOf(request, "after").value_or(0));
    const Milliseconds wait(numberOf(request, "wait_ms").value_or(0));
    deliverCall(m_site.watch(StoreWatch { request.get_param_value("prefix"), after, wait }), response, false);
}

void StandinStorePort::throwFault(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json fault = nlohmann::json::parse(request.body, nullptr, false);
    if (fault.is_object() && fault.value("fault", "") == "silentConnections") {
        m_silenceAll();
        return;
    }
    const std::optional<std::string> mistake = m_site.withPlatform(
        [&fault](StandinPlatform &platform, TimePoint now) { return platform.throwFault(fault, now); });
    if (mistake) {
        answerMalformed(response, *mistake);
    } else {
        answerJson(response, 200, nlohmann::json::object());
    }
}

} // namespace currantring
