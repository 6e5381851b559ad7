#include "store.hh"

#include "record.hh"

#include <algorithm>
#include <chrono>

namespace review {

namespace {

using nlohmann::json;

constexpr std::size_t pageItems = 500;
constexpr std::size_t pageBytes = 1'000'000;

HttpReply reply(int status, const json &body)
{
    return { status, body.dump() };
}

} // namespace

Store::Store(std::size_t hosts)
{
    for (std::size_t host = 0; host < hosts; ++host) {
        m_ports.push_back(
            std::make_unique<HttpPort>([this, host](const HttpRequest &request) { return handle(host, request); }));
        m_ports.back()->open();
    }
}

Store::~Store() = default;

std::string Store::address(std::size_t host) const
{
    return m_ports.at(host)->address();
}

void Store::setJudge(Judge judge)
{
    const std::lock_guard lock(m_mutex);
    m_judge = std::move(judge);
}

HttpReply Store::handle(std::size_t host, const HttpRequest &request)
{
    Judge judge;
    {
        const std::lock_guard lock(m_mutex);
        judge = m_judge;
    }
    const StoreFate fate = judge ? judge(host, request) : StoreFate::Served;
    if (fate == StoreFate::Refused) {
        return { 503, "{}" };
    }
    HttpReply answer;
    if (fate != StoreFate::Reset) {
        answer = execute(request);
    }
    answer.isDropped = fate != StoreFate::Served;
    return answer;
}

HttpReply Store::execute(const HttpRequest &request)
{
    static const std::string keepPath = "/currantring/kv-keep/";
    static const std::string endPath = "/currantring/kv-lease-end/";
    if (request.path == "/currantring/kv-watch") {
        return watch(request);
    }
    const std::lock_guard lock(m_mutex);
    expireLeases();
    if (request.path == "/currantring/kv-key") {
        const auto found = m_items.find(request.query.at("key"));
        if (found == m_items.end()) {
            return reply(404, { { "currentRev", m_revision } });
        }
        json body = describe(found->first, found->second);
        body["currentRev"] = m_revision;
        return reply(200, body);
    }
    if (request.path == "/currantring/kv-range") {
        return range(request);
    }
    if (request.path == "/currantring/kv-txn") {
        return transact(json::parse(request.body));
    }
    if (request.path == "/currantring/kv-lease") {
        return grant(json::parse(request.body));
    }
    if (request.path.starts_with(keepPath)) {
        return keep(std::stoull(request.path.substr(keepPath.size())));
    }
    if (request.path.starts_with(endPath)) {
        return end(std::stoull(request.path.substr(endPath.size())));
    }
    return reply(404, json::object());
}

json Store::describe(const std::string &key, const Item &item)
{
    return { { "key", key },
             { "value", encodeBase64(item.value) },
             { "revision", item.revision },
             { "created", item.created },
             { "lease", item.lease } };
}

HttpReply Store::range(const HttpRequest &request)
{
    const std::string prefix = request.query.at("prefix");
    const auto after = request.query.find("after");
    auto item = after == request.query.end() ? m_items.lower_bound(prefix) : m_items.upper_bound(after->second);
    json items = json::array();
    std::size_t bytes = 0;
    for (; item != m_items.end() && item->first.starts_with(prefix); ++item) {
        if (items.size() >= pageItems || (bytes > 0 && bytes + item->second.value.size() > pageBytes)) {
            break;
        }
        bytes += item->second.value.size();
        items.push_back(describe(item->first, item->second));
    }
    const bool hasMore = item != m_items.end() && item->first.starts_with(prefix);
    return reply(200, { { "items", std::move(items) }, { "morePages", hasMore }, { "currentRev", m_revision } });
}

HttpReply Store::watch(const HttpRequest &request)
{
    const std::string prefix = request.query.at("prefix");
    const std::uint64_t after = std::stoull(request.query.at("after"));
    const std::int64_t until = nowMs() + std::stoll(request.query.at("waitMs"));
    std::unique_lock lock(m_mutex);
    while (true) {
        expireLeases();
        json events = json::array();
        for (const Event &event : m_history) {
            if (event.revision > after && event.key.starts_with(prefix)) {
                events.push_back(
                    event.item ? describe(event.key, *event.item)
                               : json { { "key", event.key }, { "revision", event.revision }, { "deleted", true } });
            }
        }
        if (!events.empty() || nowMs() >= until) {
            return reply(200, { { "events", std::move(events) }, { "currentRev", m_revision } });
        }
        m_changed.wait_for(lock, std::chrono::milliseconds(20));
    }
}

HttpReply Store::transact(const json &body)
{
    json present = json::array();
    bool holds = true;
    for (const json &row : body.value("expectedRev", json::array())) {
        const auto key = row.at("key").get<std::string>();
        const auto found = m_items.find(key);
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("revision").get<std::uint64_t>();
        present.push_back(found == m_items.end() ? json { { "key", key }, { "revision", 0 } }
                                                 : describe(key, found->second));
    }
    if (!holds) {
        return reply(412, { { "items", std::move(present) } });
    }
    for (const json &row : body.value("setKeys", json::array())) {
        const std::uint64_t lease = row.value("lease", std::uint64_t { 0 });
        if (lease != 0 && !m_leases.contains(lease)) {
            return reply(404, json::object());
        }
    }
    ++m_revision;
    for (const json &row : body.value("setKeys", json::array())) {
        const auto key = row.at("key").get<std::string>();
        const auto found = m_items.find(key);
        Item item { decodeBase64(row.at("value").get<std::string>()), m_revision,
                    found == m_items.end() ? m_revision : found->second.created,
                    row.value("lease", std::uint64_t { 0 }) };
        change(key, std::move(item));
    }
    for (const json &key : body.value("deleteKeys", json::array())) {
        change(key.get<std::string>(), std::nullopt);
    }
    return reply(200, { { "revision", m_revision } });
}

HttpReply Store::grant(const json &body)
{
    const auto term = body.at("ttlMs").get<std::int64_t>();
    m_leases[++m_lastLease] = { term, nowMs() + term };
    return reply(200, { { "lease", m_lastLease }, { "ttlMs", term } });
}

HttpReply Store::keep(std::uint64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return reply(404, json::object());
    }
    found->second.endsAt = nowMs() + found->second.termMs;
    return reply(200, { { "ttlMs", found->second.termMs } });
}

HttpReply Store::end(std::uint64_t lease)
{
    if (!m_leases.contains(lease)) {
        return reply(404, json::object());
    }
    endLease(lease);
    return reply(200, json::object());
}

void Store::expireLeases()
{
    std::vector<std::uint64_t> over;
    for (const auto &[id, lease] : m_leases) {
        if (nowMs() >= lease.endsAt) {
            over.push_back(id);
        }
    }
    for (const std::uint64_t lease : over) {
        endLease(lease);
    }
}

void Store::endLease(std::uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++m_revision;
    }
    for (const std::string &key : keys) {
        change(key, std::nullopt);
    }
}

void Store::change(const std::string &key, std::optional<Item> item)
{
    if (item) {
        m_items[key] = *item;
    } else if (m_items.erase(key) == 0) {
        return;
    }
    m_history.push_back({ m_revision, key, std::move(item) });
    m_changed.notify_all();
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    const auto found = m_items.find(key);
    change(key, Item { value, m_revision, found == m_items.end() ? m_revision : found->second.created, 0 });
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    change(key, std::nullopt);
}

std::optional<std::string> Store::value(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional(found->second.value);
}

std::pair<std::string, std::uint64_t> Store::writer()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, item] : m_items) {
        if (key.starts_with("currantring/writer/") && key.ends_with("/claim")) {
            return { json::parse(item.value).at("host").get<std::string>(), item.revision };
        }
    }
    return { {}, 0 };
}

} // namespace review
