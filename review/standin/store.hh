#pragma once

#include "httpport.hh"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

/** What the store does with a call of one entry host. */
enum class StoreFate {
    Served,
    /** 503: nothing is done. */
    Refused,
    /** The call is executed, its answer is lost, and the connection is reset. */
    AnswerLost,
    /** The connection is reset, and nothing is done. */
    Reset,
};

/** The platform's key-value store in memory. Each entry host has a port of its own, so that its calls can be told. */
class Store
{
public:
    /** Decides on each call of an entry host; @p body is empty for calls without one. */
    using Judge = std::function<StoreFate(std::size_t host, const HttpRequest &request)>;

    explicit Store(std::size_t hosts);
    ~Store();

    [[nodiscard]] std::string address(std::size_t host) const;
    void setJudge(Judge judge);

    /** Writes of the platform itself, the operator and the workers. */
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /** The value, or nothing. */
    [[nodiscard]] std::optional<std::string> value(const std::string &key);
    /** The holder of the writer's claim as its host name and fencing token; token 0 when there is none. */
    [[nodiscard]] std::pair<std::string, std::uint64_t> writer();

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<Item> item;
    };
    struct Lease
    {
        std::int64_t termMs = 0;
        std::int64_t endsAt = 0;
    };

    HttpReply handle(std::size_t host, const HttpRequest &request);
    HttpReply execute(const HttpRequest &request);
    HttpReply range(const HttpRequest &request);
    HttpReply watch(const HttpRequest &request);
    HttpReply transact(const nlohmann::json &body);
    HttpReply grant(const nlohmann::json &body);
    HttpReply keep(std::uint64_t lease);
    HttpReply end(std::uint64_t lease);
    void expireLeases();
    void endLease(std::uint64_t lease);
    void change(const std::string &key, std::optional<Item> item);
    [[nodiscard]] static nlohmann::json describe(const std::string &key, const Item &item);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<Event> m_history;
    std::uint64_t m_revision = 100;
    std::uint64_t m_lastLease = 0;
    Judge m_judge;
    std::vector<std::unique_ptr<HttpPort>> m_ports;
};

} // namespace review
