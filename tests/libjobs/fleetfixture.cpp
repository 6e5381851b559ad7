#include "fleetfixture.h"

#include "provenauthority.h"

#include <utility>

namespace currantring {

namespace {

const std::string workerPrefix = "workers/";
constexpr TimePoint start { Milliseconds(1'000'000) };
constexpr int workersPerRack = 3;

} // namespace

FleetFixture::FleetFixture(int workers)
    : m_workers(workers)
    , m_context(1, makeDriver())
{
    m_context.setTime(start, WallTime(0));
    const SiteFormats formats { {}, {}, workerPrefix, [this](const KvEntry &entry) {
                                   return std::optional(entryOf(entry.key));
                               } };
    m_fleet = std::make_unique<WorkerFleet>(
        WriterToken(1), WorkerTiming {}, InheritedLeases { start, {} }, formats, m_evacuations, m_context,
        WorkerFleet::Handlers { [](WorkerLink &) {}, [] {}, [](WorkerLink &) {},
                                [](const WorkerId &) {
                                    WorkerLink::Handlers handlers;
                                    handlers.onPolled = [](const std::optional<EndCursor> &) {
                                    };
                                    handlers.onReachability = [] {
                                    };
                                    handlers.grantLease = [] {
                                        return provenAuthority([] { return start; }).grantLease();
                                    };
                                    return handlers;
                                } });
    m_placer = std::make_unique<RunPlacer>(*m_fleet, m_interference, m_health);
    m_fleet->start();
    deliverAnswers();
}

JobDriver FleetFixture::makeDriver()
{
    JobDriver driver;
    driver.readTime = [] {
        return JobTime { start, WallTime(0) };
    };
    driver.callStore = [this](const KvRequest &, Milliseconds, const JobDriver::KvHandler &then) {
        KvReply reply;
        for (int number = 0; number < m_workers; ++number) {
            reply.entries.push_back({ workerPrefix + std::to_string(number), {}, StoreRevision(1), false });
        }
        m_answers.emplace_back([then, reply] { then(reply); });
    };
    driver.callWorker = [this](const WorkerTarget &, const WorkerOrder &order, Milliseconds,
                               const JobDriver::WorkerHandler &then) {
        // Only the first poll of each worker is answered, so that the fleet doesn't change afterwards.
        if (!std::get<PollOrder>(order).onlyOver) {
            WorkerAnswer answer;
            answer.clock = WorkerTime(1);
            answer.channel = WorkerChannel(1);
            m_answers.emplace_back([then, answer] { then(answer); });
        }
    };
    driver.log = [](const LogEvent &) {
    };
    driver.count = [](std::string_view, std::string_view) {
    };
    return driver;
}

WorkerEntry FleetFixture::entryOf(const std::string &key) const
{
    const int number = std::stoi(key.substr(workerPrefix.size()));
    WorkerEntry entry;
    entry.id = WorkerId(std::to_string(number));
    entry.service = ServiceName("office");
    entry.rack = Label("r" + std::to_string(number / workersPerRack));
    entry.labels = { entry.rack };
    // Capacities differ so that the workers have different placement costs.
    entry.capacity = { Millicores(24'000 + 1000 * (number % 5)), Mebibytes(128'000), AcceleratorCount(0) };
    return entry;
}

void FleetFixture::deliverAnswers()
{
    while (!m_answers.empty()) {
        for (const std::function<void()> &answer : std::exchange(m_answers, {})) {
            answer();
        }
    }
}

void FleetFixture::occupy(int number, const JobId &job, const StepSpec &step)
{
    LiveRun run;
    run.ref = { { { job, 0, 0 }, static_cast<std::uint32_t>(number) }, RunNumber(1) };
    run.step = std::make_shared<const StepSpec>(step);
    m_fleet->find(WorkerId(std::to_string(number)))->reserve(std::move(run));
}

WorkerFleet &FleetFixture::fleet()
{
    return *m_fleet;
}

NeighbourModel &FleetFixture::neighbours()
{
    return m_neighbours;
}

WorkerHealth &FleetFixture::health()
{
    return m_health;
}

InterferenceTable &FleetFixture::interference()
{
    return m_interference;
}

const RunPlacer &FleetFixture::placer() const
{
    return *m_placer;
}

TimePoint FleetFixture::now() const
{
    return m_context.now();
}

} // namespace currantring
