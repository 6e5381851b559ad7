/**
 * Holds a look at each of many workers at once and tells the processor time of one look: with the event loop's client,
 * and with cpp-httplib, which needs a thread for each. Arguments: client (loop or httplib), workers, seconds.
 *
 * The workers are one server on a thread of its own, at a loopback address for each. A look is held for a while and
 * answered with the rows of eight runs, as on the users' platform.
 */
#include "httpclient.h"
#include "httpserver.h"
#include "thread.h"
#include "workerwire.h"

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <future>
#include <iostream>
#include <span>

#include <httplib.h>

using namespace currantring;

namespace {

constexpr int port = 18'449;
constexpr Milliseconds hold { 300 };
constexpr Milliseconds lookTimeout { 2000 };
constexpr int rows = 8;

std::string answerBody()
{
    std::string running;
    for (int row = 0; row < rows; ++row) {
        running += (row == 0 ? "" : ",") + std::string("[\"5c0e7a21d94b36f8.0.1.") + std::to_string(row)
            + "\",2,\"00000bb87a21d94b\",41,3500]";
    }
    return R"({"clockMs":482113,"born":1780602606000,"running":[)" + running
        + R"(],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
}

Address addressOf(int worker)
{
    return Address("127.1." + std::to_string(worker / 200) + "." + std::to_string(worker % 200 + 1) + ":"
                   + std::to_string(port));
}

PollOrder lookOrder()
{
    PollOrder look;
    look.token = WriterToken(7);
    look.leaseUntil = WorkerTime(486'000);
    look.wait = Milliseconds(500);
    return look;
}

double processorTime(clockid_t clock)
{
    constexpr double nsPerSecond = 1e9;
    timespec time {};
    ::clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nsPerSecond;
}

/** The workers, on a thread whose processor time isn't counted. */
class Workers
{
public:
    Workers()
    {
        std::promise<void> ready;
        m_thread = Thread("workers", [this, &ready] { serve(ready); });
        ready.get_future().wait();
    }

    ~Workers()
    {
        m_loop.quit();
    }

    [[nodiscard]] double spent() const
    {
        clockid_t clock {};
        pthread_getcpuclockid(m_self, &clock);
        return processorTime(clock);
    }

private:
    void serve(std::promise<void> &ready)
    {
        m_self = pthread_self();
        static_cast<void>(m_loop.open());
        const net::HttpResponse response { 200, { { "Content-Type", "application/json" } }, answerBody() };
        net::HttpServer server(m_loop, { [this, &server, &response](net::RequestToken token, const auto & /*request*/) {
                                   m_loop.schedule(hold,
                                                   [&server, &response, token] { server.respond(token, response); });
                               } });
        if (const auto listening = server.listen(Address("0.0.0.0:" + std::to_string(port))); !listening) {
            std::cerr << "can't listen: " << listening.error() << '\n';
            std::exit(EXIT_FAILURE);
        }
        ready.set_value();
        m_loop.run();
    }

    EventLoop m_loop;
    pthread_t m_self {};
    Thread m_thread;
};

std::uint64_t lookByLoop(int workers, Milliseconds duration)
{
    EventLoop loop;
    static_cast<void>(loop.open());
    net::HttpClient client(loop, {});
    std::uint64_t answered = 0;
    std::function<void(int)> look = [&](int worker) {
        net::HttpCall call { addressOf(worker),
                             net::HttpLane::Waits,
                             platform::encodeOrder(WorkerId("i-1"), lookOrder()),
                             lookTimeout,
                             {} };
        client.call(std::move(call), [&, worker](const net::HttpResult &result) {
            answered += platform::decodeAnswer(result) ? 1 : 0;
            look(worker);
        });
    };
    for (int worker = 0; worker < workers; ++worker) {
        look(worker);
    }
    loop.schedule(duration, [&loop] { loop.quit(); });
    loop.run();
    return answered;
}

std::uint64_t lookByHttplib(int workers, Milliseconds duration)
{
    std::atomic<std::uint64_t> answered = 0;
    const auto end = std::chrono::steady_clock::now() + duration;
    std::vector<Thread> threads;
    threads.reserve(static_cast<std::size_t>(workers));
    for (int worker = 0; worker < workers; ++worker) {
        threads.emplace_back("look", [worker, end, &answered] {
            httplib::Client client("http://" + addressOf(worker).value());
            client.set_keep_alive(true);
            client.set_tcp_nodelay(true);
            const net::HttpRequest request = platform::encodeOrder(WorkerId("i-1"), lookOrder());
            while (std::chrono::steady_clock::now() < end) {
                const auto response = client.Post(request.target, request.body, "application/json");
                if (response) {
                    const net::HttpAnswer answer { { static_cast<unsigned>(response->status), {}, response->body },
                                                   net::ConnectionId(1) };
                    answered += platform::decodeAnswer(answer) ? 1 : 0;
                }
            }
        });
    }
    threads.clear();
    return answered;
}

} // namespace

int main(int count, char **values)
{
    const std::span<char *> arguments(values, static_cast<std::size_t>(count));
    if (arguments.size() != 4) {
        std::cerr << "expected: loop|httplib, workers, seconds\n";
        return EXIT_FAILURE;
    }
    const std::string kind = arguments[1];
    const int number = std::atoi(arguments[2]);
    const Milliseconds duration(std::chrono::seconds(std::atoi(arguments[3])));
    const Workers workers;
    const std::uint64_t answered = kind == "loop" ? lookByLoop(number, duration) : lookByHttplib(number, duration);
    const double spent = processorTime(CLOCK_PROCESS_CPUTIME_ID) - workers.spent();
    std::cout << "client=" << kind << " workers=" << number << " looks=" << answered
              << " us_a_look=" << spent * 1e6 / static_cast<double>(std::max<std::uint64_t>(answered, 1))
              << " core=" << spent / std::chrono::duration<double>(duration).count() << '\n';
    return EXIT_SUCCESS;
}
