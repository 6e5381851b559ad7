#pragma once

#include "httpport.hh"
#include "record.hh"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace review {

/**
 * The advice service: names the workers that may run a step, each with a ticket.
 *
 * It admits every worker to every step, handles one call at a time, in turn, and counts a ticket's time from its
 * answer.
 */
class Advice
{
public:
    Advice(std::int64_t decideMs, std::int64_t periodMs, std::int64_t validMs, Record &record);

    void open();
    /** Ends the process. */
    void close();
    [[nodiscard]] std::string address() const;
    /** Whether @p ticket was issued for a step of the task and the worker, and still holds. */
    [[nodiscard]] bool isValid(const std::string &ticket, const std::string &task, const std::string &worker);
    [[nodiscard]] int calls();

private:
    HttpReply handle(const HttpRequest &request);

    std::int64_t m_decideMs;
    std::int64_t m_periodMs;
    std::int64_t m_validMs;
    Record &m_record;
    HttpPort m_port;
    std::mutex m_mutex;
    std::condition_variable m_turn;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_served = 0;
    int m_calls = 0;
    /** When each ticket ends, by ticket. */
    std::map<std::string, std::int64_t> m_tickets;
};

} // namespace review
