#include "advice.hh"

#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;

constexpr std::uint64_t mostWaiting = 32;
constexpr int tooManyRequests = 429;

std::string ticketFor(const std::string &step, const std::string &worker)
{
    return "t-" + step + "-" + worker;
}

} // namespace

Advice::Advice(std::int64_t decideMs, std::int64_t periodMs, std::int64_t validMs, Record &record)
    : m_decideMs(decideMs)
    , m_periodMs(periodMs)
    , m_validMs(validMs)
    , m_record(record)
    , m_port([this](const HttpRequest &request) { return handle(request); })
{
}

void Advice::open()
{
    m_port.open();
}

void Advice::close()
{
    m_port.close();
}

std::string Advice::address() const
{
    return m_port.address();
}

HttpReply Advice::handle(const HttpRequest &request)
{
    const json body = json::parse(request.body);
    const auto step = body.at("step").get<std::string>();
    const std::int64_t askedAt = nowMs();
    std::unique_lock lock(m_mutex);
    ++m_calls;
    if (m_lastNumber - m_served >= mostWaiting) {
        m_record.add("advice: " + step + " gets 429");
        return { tooManyRequests, "{}" };
    }
    const std::uint64_t number = ++m_lastNumber;
    m_turn.wait(lock, [this, number] { return m_served + 1 == number; });
    lock.unlock();
    sleepMs(m_decideMs + m_periodMs * static_cast<std::int64_t>(body.at("workers").size()));
    lock.lock();
    json rows = json::array();
    for (const json &worker : body.at("workers")) {
        const std::string ticket = ticketFor(step, worker.get<std::string>());
        m_tickets[ticket] = nowMs() + m_validMs;
        rows.push_back(json::array({ worker, ticket }));
    }
    ++m_served;
    m_turn.notify_all();
    m_record.add("advice: " + step + " for " + std::to_string(rows.size()) + " workers, answered after "
                 + std::to_string(nowMs() - askedAt) + " ms");
    return { 200, json { { "healthy", rows }, { "validMs", m_validMs } }.dump() };
}

bool Advice::isValid(const std::string &ticket, const std::string &task, const std::string &worker)
{
    const std::lock_guard lock(m_mutex);
    const std::string step = task.substr(0, task.rfind('.'));
    const auto found = m_tickets.find(ticket);
    return ticket == ticketFor(step, worker) && found != m_tickets.end() && nowMs() <= found->second;
}

int Advice::calls()
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

} // namespace review
