#include "site.hh"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;

const std::string hostHeader = "queues.example";
constexpr int firstFrontPort = 8161;
constexpr int firstReadyPort = 8261;
constexpr int firstPeerPort = 7720;

std::string temporaryFolder()
{
    static const std::string folder = [] {
        const char *const parent = std::getenv("TMPDIR");
        std::string name = std::string(parent == nullptr ? "/tmp" : parent) + "/currantring-review-XXXXXX";
        if (::mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error("can't make a temporary folder");
        }
        return name;
    }();
    return folder;
}

std::string settingsText(const std::string &name, const std::string &ip, const std::string &front,
                         const std::string &ready, int peers, const std::string &store, const std::string &advice)
{
    std::string text = "nodeName = \"" + name + "\"\nrole = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\n"
        + "ip = \"" + ip + "\"\nzone = \"z1\"\nregion = \"r\"\nportRange = [" + std::to_string(peers) + ","
        + std::to_string(peers) + "]\nseeds = []\nbootstrap = true\ncountsAsLoss = false\ndiscovery = \"platform\"\n"
        + "entry = \"vip\"\nheartbeatMs = 1100\ncontracts = [\"base\",\"drain\",\"config\",\"recover\",\"sched\"]\n"
        + "orders = \"call\"\n" + (advice.empty() ? "" : "advice = \"" + advice + "\"\n")
        + "[zones]\nz1 = \"r\"\n[listen]\nfront = \"" + front + "\"\nready = \"" + ready + "\"\n"
        + "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
        + "linkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n"
        + "contactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\n"
        + "holdMaxMs = 6000\nstopTimeoutMs = 200\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
        + "early_ms = 250\nfinish_s = 14\nstatus_s = 120\nharmMs = 4000\nleaseMs = 3000\n[platform]\naddress = \""
        + store + "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n"
        + "ttlMinMs = 1000\n";
    return text;
}

} // namespace

EntryHost::EntryHost(std::size_t number, const std::string &storeAddress, Record &record)
    : m_name("edge-" + std::to_string(number + 1))
    // The metrics' port is the same on all hosts, so that each needs an address of its own.
    , m_ip("127." + std::to_string(10 + ::getpid() % 200) + "." + std::to_string(::getpid() / 200 % 250) + "."
           + std::to_string(number + 1))
    , m_store(storeAddress)
    , m_record(record)
{
    m_front = m_ip + ":" + std::to_string(freePort(m_ip, firstFrontPort));
    m_ready = m_ip + ":" + std::to_string(freePort(m_ip, firstReadyPort));
    m_settings = temporaryFolder() + "/" + m_name + ".toml";
    m_log = temporaryFolder() + "/" + m_name + ".log";
    m_peerPort = freePort(m_ip, firstPeerPort);
    writeSettings({});
}

EntryHost::~EntryHost()
{
    if (isRunning()) {
        signal(SIGKILL);
        waitForEnd(5000);
    }
}

void EntryHost::writeSettings(const std::string &advice)
{
    std::ofstream(m_settings) << settingsText(m_name, m_ip, m_front, m_ready, m_peerPort, m_store, advice);
}

void EntryHost::start()
{
    m_process = ::fork();
    if (m_process == 0) {
        // The host ends with this program, also when that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const rlimit noCore {};
        ::setrlimit(RLIMIT_CORE, &noCore);
        ::setenv("CURRANTRING_BOOT", m_settings.c_str(), 1);
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl("target/bin/currantring-sited", "target/bin/currantring-sited", "--charts", "charts", nullptr);
        ::_exit(127);
    }
    m_record.add("host " + m_name + " starts");
}

void EntryHost::signal(int number)
{
    if (m_process > 0) {
        m_record.add("host " + m_name + " gets signal " + std::to_string(number) + " (" + ::strsignal(number) + ")");
        ::kill(m_process, number);
    }
}

bool EntryHost::isRunning()
{
    if (m_process <= 0) {
        return false;
    }
    int status = 0;
    if (::waitpid(m_process, &status, WNOHANG) == m_process) {
        m_process = -1;
        m_record.add("host " + m_name + " has ended"
                     + (WIFSIGNALED(status) ? std::string(" by signal ") + ::strsignal(WTERMSIG(status))
                                            : " with code " + std::to_string(WEXITSTATUS(status))));
    }
    return m_process > 0;
}

bool EntryHost::waitForEnd(std::int64_t boundMs)
{
    const std::int64_t until = nowMs() + boundMs;
    while (isRunning()) {
        if (nowMs() >= until) {
            return false;
        }
        sleepMs(5);
    }
    return true;
}

bool EntryHost::isReady() const
{
    return callHttp(m_ready, "GET", "/currantring/readiness", {}, {}, 500).status == 200;
}

const std::string &EntryHost::name() const
{
    return m_name;
}

const std::string &EntryHost::front() const
{
    return m_front;
}

Site::Site(const std::string &folder, std::size_t count)
    : record(folder + "/record.txt")
    , store(count)
{
    for (std::size_t number = 0; number < count; ++number) {
        hosts.push_back(std::make_unique<EntryHost>(number, store.address(number), record));
    }
    record.add(hasTrouble() ? "with the disruption" : "without the disruption");
}

Site::~Site() = default;

Worker &Site::addWorker(WorkerOptions options)
{
    workers.push_back(std::make_unique<Worker>(std::move(options), store, truth, record));
    workers.back()->begin();
    return *workers.back();
}

void Site::configure(std::uint64_t version, const std::vector<Queue> &queues, const std::vector<std::string> &services)
{
    json routes = json::array();
    std::string names;
    for (const Queue &queue : queues) {
        names += " " + queue.name;
        routes.push_back({ { "name", queue.name },
                           { "host", hostHeader },
                           { "prefix", queue.prefix },
                           { "kind", "unsafe" },
                           { "timeoutMs", 3000 },
                           { "targetLatencyMs", 250 },
                           { "priority", 0 },
                           { "service", queue.service },
                           { "maxAttempts", queue.attempts },
                           { "stretch", 2.0 } });
        if (!queue.advice.is_null()) {
            routes.back()["advice"] = queue.advice;
        }
    }
    json pools = json::array();
    for (const std::string &service : services) {
        pools.push_back({ { "name", service },
                          { "healthPath", "/health" },
                          { "maxConns", 64 },
                          { "protocol", "h1" },
                          { "tls", false },
                          { "rejectsOverload", false },
                          { "standby", false } });
    }
    store.put("op/config",
              json { { "version", version },
                     { "routes", routes },
                     { "services", pools },
                     { "limits",
                       { { "maxHeaderBytes", 16384 },
                         { "maxBodyBytes", 262144 },
                         { "headerTimeoutMs", 3000 },
                         { "idleTimeoutMs", 15000 } } } }
                  .dump());
    record.add("the operator writes version " + std::to_string(version) + " with the routes" + names);
}

bool Site::waitUntil(std::int64_t boundMs, const std::function<bool()> &holds) const
{
    const std::int64_t until = nowMs() + boundMs;
    while (!holds()) {
        if (nowMs() >= until) {
            return false;
        }
        sleepMs(10);
    }
    return true;
}

bool Site::startHosts()
{
    for (const auto &host : hosts) {
        host->start();
    }
    return waitUntil(15'000, [this] {
        for (const auto &host : hosts) {
            if (!host->isReady()) {
                return false;
            }
        }
        return writer() != nullptr;
    });
}

EntryHost *Site::writer()
{
    const std::string name = store.writer().first;
    for (const auto &host : hosts) {
        if (host->name() == name) {
            return host.get();
        }
    }
    return nullptr;
}

bool Site::submit(EntryHost &host, const Queue &queue, const std::string &id, const json &job)
{
    for (int attempt = 0; attempt < 5; ++attempt) {
        const HttpReply reply = callHttp(host.front(), "POST", queue.prefix + id,
                                         { { "Host", hostHeader }, { "X-Deadline-Ms", "3000" } }, job.dump(), 3500);
        record.add("POST " + queue.prefix + id + " to " + host.name() + ": " + std::to_string(reply.status));
        if (reply.status / 100 == 2) {
            return true;
        }
        sleepMs(500);
    }
    return false;
}

std::pair<int, std::string> Site::state(EntryHost &host, const Queue &queue, const std::string &id)
{
    const HttpReply reply = callHttp(host.front(), "GET", queue.prefix + id,
                                     { { "Host", hostHeader }, { "X-Deadline-Ms", "3000" } }, {}, 3500);
    const json body = json::parse(reply.body, nullptr, false);
    const std::string phase = body.is_object() ? body.value("state", std::string()) : std::string();
    record.add("GET " + queue.prefix + id + " from " + host.name() + ": " + std::to_string(reply.status) + " " + phase);
    return { reply.status, phase };
}

void leave(Site &site, int code, const std::string &why)
{
    for (const auto &host : site.hosts) {
        if (host->isRunning()) {
            host->signal(SIGKILL);
            host->waitForEnd(5000);
        }
    }
    const char *const keep = std::getenv("KEEP_LOGS");
    if (keep == nullptr) {
        const std::string folder = temporaryFolder();
        for (const auto &host : site.hosts) {
            ::unlink((folder + "/" + host->name() + ".toml").c_str());
            ::unlink((folder + "/" + host->name() + ".log").c_str());
        }
        ::rmdir(folder.c_str());
    }
    site.record.add(std::string(code == RuleBroken     ? "rule broken: "
                                    : code == RuleHeld ? "rule held: "
                                                       : "couldn't run: ")
                    + why);
    ::_exit(code);
}

} // namespace review
