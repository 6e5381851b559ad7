#include "httpstoreclient.h"

#include "storerequestcodec.h"
#include "urlencoding.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

constexpr const char *jsonType = "application/json";

std::string entryTarget(const std::string &key)
{
    return "/v1/kv/" + encodeUrlPath(key);
}

HttpRequest toHttp(const StoreGet &request)
{
    return { "GET", entryTarget(request.key), {}, {}, {} };
}

HttpRequest toHttp(const StoreList &request)
{
    return { "GET", "/v1/kv?prefix=" + encodeUrlParameter(request.prefix), {}, {}, {} };
}

HttpRequest toHttp(const StorePut &request)
{
    std::string target = entryTarget(request.key);
    char separator = '?';
    if (request.expected) {
        target += separator + ("expect=" + std::to_string(request.expected->value()));
        separator = '&';
    }
    if (request.lease) {
        target += separator + ("lease=" + std::to_string(request.lease->value()));
    }
    return { "PUT", std::move(target), {}, request.value, "application/octet-stream" };
}

HttpRequest toHttp(const StoreDelete &request)
{
    return { "DELETE", entryTarget(request.key), {}, {}, {} };
}

HttpRequest toHttp(const StoreGrantLease &request)
{
    const nlohmann::json body = { { "termMs", request.term.count() } };
    return { "POST", "/v1/leases", {}, body.dump(), jsonType };
}

HttpRequest toHttp(const StoreRenewLease &request)
{
    return { "POST", "/v1/leases/" + std::to_string(request.lease.value()) + "/renew", {}, "{}", jsonType };
}

HttpRequest toHttp(const StoreWatch &request)
{
    const std::string target = "/v1/watch?prefix=" + encodeUrlParameter(request.prefix)
        + "&after=" + std::to_string(request.after.value()) + "&wait_ms=" + std::to_string(request.wait.count());
    return { "GET", target, {}, {}, {} };
}

HttpRequest toHttp(const ReadHostList & /*request*/)
{
    return { "GET", "/v1/hosts", {}, {}, {} };
}

/** Member @p name of a JSON object; empty when there is none. */
std::string memberOf(const std::string &body, const char *name)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains(name) || !json[name].is_string()) {
        return {};
    }
    return json[name].get<std::string>();
}

StoreResult readAnswer(const HttpAnswer &answer, bool isGet)
{
    if (answer.status == 200) {
        const std::optional<StoreReply> reply = decodeStoreReply(answer.body);
        return reply ? StoreResult(*reply) : tl::unexpected(StoreError::Unknown);
    }
    // The status alone could come from something between; only the service's own words count.
    const std::string error = memberOf(answer.body, "error");
    if (isGet && answer.status == 404 && error == "absent") {
        const std::optional<StoreReply> reply = decodeStoreReply(answer.body);
        return reply ? StoreResult(*reply) : tl::unexpected(StoreError::Unknown);
    }
    if (answer.status == 409 && error == "conflict") {
        return tl::unexpected(StoreError::Conflict);
    }
    if (answer.status == 410 && error == "lease-lapsed") {
        return tl::unexpected(StoreError::LeaseLapsed);
    }
    if (answer.status == 413) {
        return tl::unexpected(StoreError::TooLarge);
    }
    if (answer.status == 503 && memberOf(answer.body, "refused") == "outage") {
        return tl::unexpected(StoreError::NotSent);
    }
    return tl::unexpected(StoreError::Unknown);
}

} // namespace

HttpStoreClient::HttpStoreClient(Address service, HttpClientOptions options)
    : m_service(std::move(service))
    , m_pool(options)
{
}

StoreResult HttpStoreClient::operator()(const StoreRequest &request)
{
    Milliseconds timeout = m_pool.options().requestTimeout;
    if (const auto *watch = std::get_if<StoreWatch>(&request)) {
        timeout += watch->wait;
    }
    const HttpRequest http = std::visit([](const auto &kind) { return toHttp(kind); }, request);
    const tl::expected<HttpAnswer, HttpError> answer = m_pool.exchange(m_service, http, timeout);
    if (!answer) {
        return tl::unexpected(answer.error() == HttpError::NotSent ? StoreError::NotSent : StoreError::Unknown);
    }
    return readAnswer(*answer, std::holds_alternative<StoreGet>(request));
}

std::uint64_t HttpStoreClient::connectionsReplaced() const
{
    return m_pool.connectionsReplaced();
}

} // namespace currantring
