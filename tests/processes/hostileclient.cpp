// Sends requests that never end, or never takes the answers; used by the process tests of untrusted clients.
//
//     currantring-hostile-client IP:PORT CASE CONNECTIONS BYTES ROUNDS
//
// Each of CONNECTIONS sends up to BYTES and is opened again up to ROUNDS times when the server closes it. The program
// ends when no connection has made progress for two seconds, and after thirty seconds at the latest.

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds quietTime { 2 };
constexpr std::chrono::seconds longestRun { 30 };
constexpr int pollMilliseconds = 100;
constexpr int badUsage = 2;

/** What a connection sends: the beginning once, then the block again and again. An empty block: nothing more. */
struct Attack
{
    std::string beginning;
    std::string block;
    bool readsAnswers = true;
};

std::string repeat(std::string_view text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t index = 0; index < count; ++index) {
        result += text;
    }
    return result;
}

std::map<std::string_view, Attack> attacks()
{
    const std::string path = "/0123456789abcdef HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = "POST " + path + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string get = "GET " + path + "\r\n";
    constexpr std::size_t many = 512;
    constexpr std::size_t largestBody = 262'144;
    // Eight-byte fields: each send ends at the end of a field, so that a parser that takes field by field never holds
    // an unfinished one.
    const std::string fields = repeat("a: bcd\r\n", many);
    return {
        { "trailers", { chunked + "1\r\nx\r\n0\r\n", fields } },
        { "trailer-value", { chunked + "1\r\nx\r\n0\r\na: ", repeat("x", many) } },
        { "chunk-size", { chunked, repeat("0", many) } },
        { "chunk-extension", { chunked + "1;a=", repeat("x", many) } },
        { "chunk-extensions", { chunked, "1;a=" + repeat("x", 8 * many) + "\r\nx\r\n" } },
        { "chunks", { chunked, repeat("1\r\nx\r\n", many) } },
        { "request-line", { "GET /", repeat("x", many) } },
        { "header-value", { "GET " + path + "a: ", repeat("x", many) } },
        { "header-fields", { "GET " + path, fields } },
        { "half-body",
          { "POST " + path + "Content-Length: " + std::to_string(largestBody) + "\r\n\r\n"
                + std::string(largestBody - 1, 'x'),
            "" } },
        { "half-header", { "GET " + path + repeat("a: bcd\r\n", 4 * many / 2), "" } },
        { "length-only", { "POST " + path + "Content-Length: " + std::to_string(largestBody) + "\r\n\r\n", "" } },
        { "silence", { "", "" } },
        { "pipelined", { "", repeat(get, many / 8), false } },
        { "unread", { repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 2000), "", false } },
    };
}

class Connection
{
public:
    Connection(const sockaddr_in &address, const Attack &attack, std::uint64_t bytes, int rounds)
        : m_address(address)
        , m_attack(attack)
        , m_bytes(bytes)
        , m_rounds(rounds)
    {
        open();
    }
    ~Connection()
    {
        close();
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    [[nodiscard]] pollfd entry() const
    {
        const bool sends = m_sent < length();
        return { m_socket, static_cast<short>((sends ? POLLOUT : 0) | (m_attack.readsAnswers ? POLLIN : 0)), 0 };
    }
    /** Whether bytes went or came, or the connection was opened again. */
    bool handle(short events)
    {
        if (m_socket < 0 || events == 0) {
            return false;
        }
        const bool isOver = (events & (POLLERR | POLLHUP)) != 0 || ((events & POLLIN) != 0 && !receive());
        if (isOver || ((events & POLLOUT) != 0 && !send())) {
            close();
            ++m_closed;
            if (m_closed < m_rounds) {
                open();
            }
        }
        return true;
    }
    [[nodiscard]] std::uint64_t sentInAll() const
    {
        return m_sentInAll;
    }
    [[nodiscard]] int closed() const
    {
        return m_closed;
    }

private:
    [[nodiscard]] std::uint64_t length() const
    {
        return m_attack.block.empty() ? m_attack.beginning.size() : m_bytes;
    }
    void open()
    {
        m_sent = 0;
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (m_socket >= 0 && ::connect(m_socket, reinterpret_cast<const sockaddr *>(&m_address), sizeof m_address) != 0
            && errno != EINPROGRESS) {
            close();
        }
    }
    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
        }
        m_socket = -1;
    }
    bool receive()
    {
        std::vector<char> bytes(65'536);
        const ssize_t got = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        return got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
    }
    bool send()
    {
        const std::size_t first = m_attack.beginning.size();
        std::string_view rest = m_attack.beginning;
        if (m_sent < first) {
            rest.remove_prefix(m_sent);
        } else {
            rest = m_attack.block;
            rest.remove_prefix((m_sent - first) % rest.size());
        }
        const ssize_t sent = ::send(m_socket, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            m_sent += static_cast<std::uint64_t>(sent);
            m_sentInAll += static_cast<std::uint64_t>(sent);
        }
        return sent > 0 || errno == EAGAIN || errno == EINTR;
    }

    const sockaddr_in m_address;
    const Attack &m_attack;
    const std::uint64_t m_bytes;
    const int m_rounds;
    int m_socket = -1;
    int m_closed = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_sentInAll = 0;
};

void run(std::vector<std::unique_ptr<Connection>> &connections)
{
    const auto end = Clock::now() + longestRun;
    auto lastProgress = Clock::now();
    std::vector<pollfd> entries(connections.size());
    while (Clock::now() < end && Clock::now() < lastProgress + quietTime) {
        std::ranges::transform(connections, entries.begin(),
                               [](const auto &connection) { return connection->entry(); });
        ::poll(entries.data(), entries.size(), pollMilliseconds);
        for (std::size_t index = 0; index < connections.size(); ++index) {
            if (connections[index]->handle(entries[index].revents)) {
                lastProgress = Clock::now();
            }
        }
    }
}

template<typename Number>
bool parse(std::string_view text, Number &number)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const auto known = attacks();
    std::uint16_t port = 0;
    int count = 0;
    std::uint64_t bytes = 0;
    int rounds = 0;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    const std::size_t colon = words.empty() ? std::string::npos : words[0].find(':');
    if (words.size() != 5 || colon == std::string::npos || !known.contains(words[1])
        || ::inet_pton(AF_INET, words[0].substr(0, colon).c_str(), &address.sin_addr) != 1
        || !parse(std::string_view(words[0]).substr(colon + 1), port) || !parse(words[2], count)
        || !parse(words[3], bytes) || !parse(words[4], rounds)) {
        std::fputs("expected IP:PORT CASE CONNECTIONS BYTES ROUNDS\n", stderr);
        return badUsage;
    }
    address.sin_port = htons(port);
    std::vector<std::unique_ptr<Connection>> connections;
    connections.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        connections.push_back(std::make_unique<Connection>(address, known.at(words[1]), bytes, rounds));
    }
    run(connections);
    std::uint64_t sent = 0;
    int closed = 0;
    for (const auto &connection : connections) {
        sent += connection->sentInAll();
        closed += connection->closed();
    }
    std::printf("%s: %d connections sent %llu bytes, %d closed by the server\n", words[1].c_str(), count,
                static_cast<unsigned long long>(sent), closed);
    return 0;
}
