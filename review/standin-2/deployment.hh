#pragma once

// Starts the project's program on a few entry hosts, on loopback addresses, as the deploy file says.

#include "platform.hh"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review2 {

inline int freePort(const std::string &ip)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in native = nativeAddress(ip + ":0");
    socklen_t size = sizeof(native);
    ::bind(socket, reinterpret_cast<sockaddr *>(&native), sizeof(native));
    getsockname(socket, reinterpret_cast<sockaddr *>(&native), &size);
    ::close(socket);
    return ntohs(native.sin_port);
}

/** One entry host with its settings file and its process. */
struct Host
{
    std::string name;
    std::string ip;
    std::string zone;
    std::string front;
    std::string ready;
    std::string control;
    int peerPort = 0;
    std::string settingsPath;
    std::string logPath;
    pid_t pid = 0;
};

class Deployment
{
public:
    Deployment(Record &record, Store &store, std::string folder)
        : m_record(record)
        , m_store(store)
        , m_folder(std::move(folder))
        // A subnet of the loopback network for each case that may run at the same time.
        , m_subnet(static_cast<int>(::getpid() % 200) + 20)
    {
    }

    ~Deployment()
    {
        for (Host &host : m_hosts) {
            signal(host, SIGCONT);
            signal(host, SIGKILL);
            reap(host);
        }
    }

    std::string ip(int number) const
    {
        return "127." + std::to_string(m_subnet) + "." + std::to_string(::getpid() / 200 % 200) + "."
            + std::to_string(number);
    }

    void setAdvice(const std::string &address)
    {
        m_advice = address;
    }

    void addHosts(int count)
    {
        const std::vector<std::string> zones { "gabrovo", "veliko", "ruse" };
        for (int number = 1; number <= count; ++number) {
            Host host;
            host.zone = zones.at(static_cast<std::size_t>(number - 1) % zones.size());
            host.name = "edge-" + host.zone + "-" + std::to_string(number);
            host.ip = ip(10 + number);
            host.front = host.ip + ":" + std::to_string(freePort(host.ip));
            host.ready = host.ip + ":" + std::to_string(freePort(host.ip));
            host.control = host.ip + ":" + std::to_string(freePort(host.ip));
            host.settingsPath = m_folder + "/" + host.name + ".toml";
            host.logPath = m_folder + "/" + host.name + ".log";
            m_hosts.push_back(host);
        }
        // Ports between hosts are the same on all of them.
        const int peers = freePort(m_hosts.front().ip);
        for (Host &host : m_hosts) {
            host.peerPort = peers;
        }
    }

    std::vector<Host> &hosts()
    {
        return m_hosts;
    }

    void writeSettings(const Host &host) const
    {
        std::ofstream file(host.settingsPath + ".new");
        file << "nodeName = \"" << host.name << "\"\nrole = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\n"
             << "ip = \"" << host.ip << "\"\nzone = \"" << host.zone << "\"\nregion = \"bg-north\"\nportRange = ["
             << host.peerPort << "," << host.peerPort + 15 << "]\nseeds = [\"" << m_hosts.front().control
             << "\"]\nbootstrap = true\ncountsAsLoss = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
             << "heartbeatMs = 1500\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\","
             << "\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"call\"\n";
        if (!m_advice.empty()) {
            file << "advice = \"" << m_advice << "\"\n";
        }
        file << "[zones]\ngabrovo = \"bg-north\"\nveliko = \"bg-north\"\nruse = \"bg-north\"\n[listen]\nfront = \""
             << host.front << "\"\nready = \"" << host.ready << "\"\ncontrol = \"" << host.control
             << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n"
             << "diskMb = 0\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\n"
             << "addrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\n"
             << "lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nskewMaxMs = 5000\nrecoveryS = 12\n"
             << "holdMaxMs = 6000\nstopTimeoutMs = 400\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
             << "early_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarX = 3\ncheckpointS = 0.5\nrestoreMs = 600\n"
             << "noticeMs = 4500\nmigrateS = 1.5\nmaintenanceS = 2\nrequireFence = true\nleaseMs = 3000\n"
             << "thawSlackMs = 300\npaceMs = 100\nharmMs = 4000\n[platform]\naddress = \"" << m_store.address()
             << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n"
             << "ttlMinMs = 1000\n[cloud]\naddress = \"" << ip(2)
             << ":9\"\nratePerS = 60.0\nduties = []\ndutyPerS = 60.0\n";
        file.close();
        std::filesystem::rename(host.settingsPath + ".new", host.settingsPath);
    }

    /** Starts the process with the deploy file's command. */
    void startProcess(Host &host)
    {
        writeSettings(host);
        const pid_t pid = ::fork();
        if (pid == 0) {
            // No process outlives the case, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(host.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("CURRANTRING_BOOT", host.settingsPath.c_str(), 1);
            ::execl("target/bin/currantring-sited", "target/bin/currantring-sited", "--charts", "charts", nullptr);
            ::_exit(127);
        }
        host.pid = pid;
        m_record.line("process of %s starts", host.name.c_str());
    }

    void startAll()
    {
        for (Host &host : m_hosts) {
            startProcess(host);
        }
    }

    void signal(const Host &host, int number) const
    {
        if (host.pid > 0) {
            ::kill(host.pid, number);
        }
    }

    /** A planned stop: SIGTERM, and SIGKILL once graceS is over. */
    void stop(Host &host)
    {
        constexpr std::int64_t graceMs = 6000;
        m_record.line("process of %s: SIGTERM", host.name.c_str());
        signal(host, SIGTERM);
        const std::int64_t until = steadyMs() + graceMs;
        while (host.pid > 0 && steadyMs() < until) {
            if (::waitpid(host.pid, nullptr, WNOHANG) == host.pid) {
                host.pid = 0;
                m_record.line("process of %s has ended", host.name.c_str());
                return;
            }
            sleepMs(20);
        }
        signal(host, SIGKILL);
        reap(host);
    }

    /** Whether the process has ended by itself; that is recorded once. */
    bool hasEnded(Host &host)
    {
        int status = 0;
        if (host.pid <= 0 || ::waitpid(host.pid, &status, WNOHANG) != host.pid) {
            return false;
        }
        if (WIFSIGNALED(status)) {
            m_record.line("process of %s ended by itself: signal %d", host.name.c_str(), WTERMSIG(status));
        } else {
            m_record.line("process of %s ended by itself: status %d", host.name.c_str(), WEXITSTATUS(status));
        }
        host.pid = 0;
        return true;
    }

    /** Memory that the process holds; 0 when it doesn't run. */
    static std::int64_t residentMegabytes(const Host &host)
    {
        std::ifstream status("/proc/" + std::to_string(host.pid) + "/statm");
        std::int64_t total = 0;
        std::int64_t resident = 0;
        status >> total >> resident;
        return host.pid > 0 ? resident * ::getpagesize() / 1'048'576 : 0;
    }

    void killForMemory(Host &host)
    {
        m_record.line("process of %s holds %lld MB and is killed", host.name.c_str(),
                      static_cast<long long>(residentMegabytes(host)));
        signal(host, SIGKILL);
        reap(host);
    }

    static void reap(Host &host)
    {
        if (host.pid > 0) {
            ::waitpid(host.pid, nullptr, 0);
            host.pid = 0;
        }
    }

    /** The host that holds the claim in the store; null when there is none. */
    Host *writer()
    {
        const std::optional<std::string> claim = m_store.get("currantring/writer/0/claim");
        if (!claim) {
            return nullptr;
        }
        const std::string name = json::parse(*claim).value("host", std::string());
        for (Host &host : m_hosts) {
            if (host.name == name) {
                return &host;
            }
        }
        return nullptr;
    }

    bool awaitReady(std::int64_t ms)
    {
        const std::int64_t until = steadyMs() + ms;
        while (steadyMs() < until) {
            bool all = true;
            for (const Host &host : m_hosts) {
                const auto answer = call(host.ready, { "GET", "/currantring/readiness", {}, "" }, 500);
                all = all && answer && answer->status == 200;
            }
            if (all) {
                return true;
            }
            sleepMs(100);
        }
        return false;
    }

private:
    Record &m_record;
    Store &m_store;
    std::string m_folder;
    int m_subnet;
    std::string m_advice;
    std::vector<Host> m_hosts;
};

/** A requester: sends to one host, and again to the next one after no answer, a refusal, 502 or 504. */
class Requester
{
public:
    Requester(Record &record, Deployment &deployment)
        : m_record(record)
        , m_deployment(deployment)
    {
    }

    /** The status of one attempt; 0 without an answer. */
    int attempt(std::size_t host, const std::string &method, const std::string &target, const std::string &body = "")
    {
        const std::string &front = m_deployment.hosts().at(host).front;
        const auto answer =
            call(front, { method, target, { { "Host", "jobs.example" }, { "X-Deadline-Ms", "3000" } }, body }, 3000);
        m_record.line("%s %s at %s -> %d %s", method.c_str(), target.c_str(),
                      m_deployment.hosts().at(host).name.c_str(), answer ? answer->status : 0,
                      answer ? answer->body.c_str() : "(no answer)");
        m_body = answer ? answer->body : "";
        return answer ? answer->status : 0;
    }

    /** Whether the job was accepted within @p tries attempts. */
    bool submit(const std::string &target, const json &job, int tries = 12)
    {
        const std::string body = job.dump();
        for (int count = 0; count < tries; ++count) {
            const int status = attempt(m_next++ % m_deployment.hosts().size(), "POST", target, body);
            if (status == 200) {
                return true;
            }
            sleepMs(300);
        }
        return false;
    }

    /** Body of the last answer. */
    const std::string &body() const
    {
        return m_body;
    }

private:
    Record &m_record;
    Deployment &m_deployment;
    std::size_t m_next = 0;
    std::string m_body;
};

/** A route for @p prefix, and what belongs to it. */
inline json route(const std::string &name, const std::string &prefix, const std::string &service)
{
    return { { "name", name },      { "host", "jobs.example" },  { "prefix", prefix }, { "kind", "unsafe" },
             { "timeoutMs", 3000 }, { "targetLatencyMs", 1000 }, { "priority", 0 },    { "service", service },
             { "maxAttempts", 4 },  { "stretch", 2.0 } };
}

inline json configuration(int version, const json &routes, const std::string &service)
{
    return { { "version", version },
             { "routes", routes },
             { "services",
               json::array({ json { { "name", service },
                                    { "healthPath", "/health" },
                                    { "maxConns", 64 },
                                    { "protocol", "h1" },
                                    { "tls", false },
                                    { "rejectsOverload", false },
                                    { "standby", false } } }) },
             { "limits",
               { { "maxHeaderBytes", 16384 },
                 { "maxBodyBytes", 262144 },
                 { "headerTimeoutMs", 3000 },
                 { "idleTimeoutMs", 15000 } } } };
}

inline json step(int count, int cpu, int memMb, int estimateMs)
{
    return { { "count", count }, { "cpu", cpu }, { "memMb", memMb }, { "estimateMs", estimateMs } };
}

inline json jobOf(const std::string &spec, const std::vector<json> &steps)
{
    return { { "spec", spec }, { "steps", steps } };
}

inline std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016x", 0x5c0e0000U + static_cast<unsigned>(number));
    return text;
}

} // namespace review2
