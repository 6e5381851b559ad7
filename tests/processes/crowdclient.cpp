// Sends whole requests that are costly together or for what they become; used by the process tests of untrusted
// clients.
//
//     currantring-crowd-client IP:PORT CASE CONNECTIONS REQUESTS PAUSE_MS [PATH]
//
// The path is a job's, another one for each request, unless PATH is given.
// Each of CONNECTIONS sends REQUESTS requests, one after the answer to the one before and PAUSE_MS later, and is opened
// again when the server closes it. Prints how many answers came with each status; status 0 is a connection that ended.

#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

constexpr int badUsage = 2;
constexpr std::size_t largestBody = 262'000;
/** What currantringd takes. */
constexpr std::size_t largestTask = 999'000;
constexpr int idDigits = 16;
constexpr timeval longestAnswer { 10, 0 };

/** Body of request @p number of a case. */
using MakeBody = std::function<std::string(std::uint64_t number)>;

/** @p item as often as it fits into the largest body between @p begin and @p end, with commas. */
std::string filled(std::string_view begin, std::string_view item, std::string_view end,
                   std::size_t length = largestBody)
{
    std::string body(begin);
    body.reserve(length);
    body += item;
    while (body.size() + item.size() + 1 + end.size() <= length) {
        body += ',';
        body += item;
    }
    return body += end;
}

std::string job(std::string_view step, std::size_t steps, std::size_t specBytes)
{
    std::string body = R"({"spec":")" + std::string(specBytes, 'x') + R"(","steps":[)";
    for (std::size_t index = 0; index < steps; ++index) {
        body += (index > 0 ? "," : "") + std::string(step);
    }
    return body + "]}";
}

std::string scheduled(std::string_view times)
{
    return R"({"spec":"x","steps":[{"count":10000,"cpu":1000000,"memMb":1}],)" + std::string(times) + "}";
}

/** An object of as many members as fit, each with another name. */
std::string members(std::size_t length)
{
    std::string body = R"({"owner":"x")";
    constexpr std::size_t longestMember = 16;
    for (std::uint64_t number = 0; body.size() + longestMember < length; ++number) {
        body += ",\"" + std::to_string(number) + "\":1";
    }
    return body + "}";
}

std::map<std::string_view, MakeBody> bodies()
{
    const auto same = [](const std::string &body) -> MakeBody {
        return [body](std::uint64_t /*number*/) {
            return body;
        };
    };
    const std::string after = filled(R"({"spec":"x","steps":[{"count":1,"after":[)", "9", "]}]}");
    const std::string steps = filled(R"({"spec":"x","steps":[)", "{}", "]}");
    constexpr std::string_view wide = R"({"count":10000,"cpu":1000,"memMb":100,"estimateMs":1000})";
    constexpr std::string_view unrunnable = R"({"count":1,"cpu":1000000,"memMb":100,"estimateMs":1000})";
    constexpr std::size_t longestSpec = 4000;
    return {
        { "get", {} },
        { "after", same(after) },
        { "steps", same(steps) },
        { "after-and-steps",
          [after, steps](std::uint64_t number) {
              return number % 2 == 0 ? after : steps;
          } },
        { "unknown-values", same(filled(R"({"spec":"x","steps":[{"count":1}],"more":[)", "9", "]}")) },
        { "unknown-members", same(filled(R"({"spec":"x","steps":[{"count":1}],"more":[)", R"({"a":{}})", "]}")) },
        { "members-of-step", same(filled(R"({"spec":"x","steps":[{"count":1,)", R"("a":1)", "}]}")) },
        { "task-objects", same(filled(R"({"owner":"x","more":[)", "{}", "]}", largestTask)) },
        { "task-members", same(members(largestTask)) },
        { "task-levels", same(R"({"owner":)" + std::string(largestTask, '[')) },
        { "task-text", same(R"({"owner":")" + std::string(largestTask, 'x') + "\"}") },
        { "wide", same(job(wide, 10, 1)) },
        { "unrunnable", same(job(unrunnable, 1, longestSpec)) },
        { "due-at-once", same(scheduled(R"("startAtMs":1,"intervalMs":0,"repetitions":100000)")) },
    };
}

std::string idOf(std::uint64_t number)
{
    std::array<char, idDigits + 1> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

std::string request(const MakeBody &makeBody, const std::string &path, std::uint64_t number)
{
    const std::string target =
        (path.empty() ? "/orders/" + idOf(number) : path) + " HTTP/1.1\r\nHost: jobs.example\r\n";
    if (!makeBody) {
        return "GET " + target + "\r\n";
    }
    const std::string body = makeBody(number);
    return "POST " + target + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/** The status of one response; nullopt when the connection ended. */
std::optional<int> receive(int socket)
{
    std::string text;
    std::size_t wanted = std::string::npos;
    while (text.size() < wanted) {
        std::array<char, 4096> bytes {};
        const ssize_t got = ::recv(socket, bytes.data(), bytes.size(), 0);
        if (got <= 0) {
            return std::nullopt;
        }
        text.append(bytes.data(), static_cast<std::size_t>(got));
        const std::size_t end = text.find("\r\n\r\n");
        const std::size_t length = text.find("Content-Length: ");
        if (end != std::string::npos && length < end) {
            wanted = end + 4 + std::strtoull(text.c_str() + length + 16, nullptr, 10);
        }
    }
    return std::atoi(text.c_str() + text.find(' ') + 1);
}

int connectTo(const sockaddr_in &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &longestAnswer, sizeof longestAnswer);
    if (socket >= 0 && ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

class Crowd
{
public:
    Crowd(const sockaddr_in &address, MakeBody makeBody, std::string path, std::uint64_t requests,
          std::chrono::milliseconds pause)
        : m_address(address)
        , m_makeBody(std::move(makeBody))
        , m_path(std::move(path))
        , m_requests(requests)
        , m_pause(pause)
    {
    }

    void run(std::uint64_t connections)
    {
        std::vector<std::thread> threads;
        for (std::uint64_t index = 0; index < connections; ++index) {
            threads.emplace_back([this, index] { send(index); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

    void print(std::string_view name) const
    {
        std::printf("%.*s:", static_cast<int>(name.size()), name.data());
        for (const auto &[status, count] : m_answers) {
            std::printf(" %d x %llu", status, static_cast<unsigned long long>(count));
        }
        std::putchar('\n');
    }

private:
    void send(std::uint64_t index)
    {
        int socket = -1;
        for (std::uint64_t count = 0; count < m_requests; ++count) {
            socket = socket < 0 ? connectTo(m_address) : socket;
            const bool isSent = sendAll(socket, request(m_makeBody, m_path, index * m_requests + count));
            const std::optional<int> status = isSent ? receive(socket) : std::nullopt;
            if (!status && socket >= 0) {
                ::close(socket);
                socket = -1;
            }
            note(status.value_or(0));
            std::this_thread::sleep_for(m_pause);
        }
        if (socket >= 0) {
            ::close(socket);
        }
    }

    void note(int status)
    {
        const std::lock_guard lock(m_mutex);
        ++m_answers[status];
    }

    const sockaddr_in m_address;
    const MakeBody m_makeBody;
    const std::string m_path;
    const std::uint64_t m_requests;
    const std::chrono::milliseconds m_pause;
    std::mutex m_mutex;
    std::map<int, std::uint64_t> m_answers;
};

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
    const auto known = bodies();
    std::uint16_t port = 0;
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::int64_t pauseMs = 0;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    const std::size_t colon = words.empty() ? std::string::npos : words[0].find(':');
    if ((words.size() != 5 && words.size() != 6) || colon == std::string::npos || !known.contains(words[1])
        || ::inet_pton(AF_INET, words[0].substr(0, colon).c_str(), &address.sin_addr) != 1
        || !parse(std::string_view(words[0]).substr(colon + 1), port) || !parse(words[2], connections)
        || !parse(words[3], requests) || !parse(words[4], pauseMs)) {
        std::fputs("expected IP:PORT CASE CONNECTIONS REQUESTS PAUSE_MS [PATH]\n", stderr);
        return badUsage;
    }
    address.sin_port = htons(port);
    const std::string path = words.size() > 5 ? words[5] : "";
    Crowd crowd(address, known.at(words[1]), path, requests, std::chrono::milliseconds(pauseMs));
    crowd.run(connections);
    crowd.print(words[1]);
    return 0;
}
