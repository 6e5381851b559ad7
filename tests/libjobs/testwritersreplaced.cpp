#include "jobevents.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace currantring;
namespace data = boost::unit_test::data;

namespace {

constexpr Milliseconds startTime { 1500 };
constexpr Milliseconds step { 20 };
constexpr Milliseconds hostReturn { 1000 };
/** From then on after the last disturbance, a lasting task has to run: 4 s of calm, and 3 s in which it may be away. */
constexpr Milliseconds restartLimit { 7000 };
constexpr Milliseconds watchTime { 14'000 };
constexpr std::uint64_t seeds = 3;

enum class WriterFate { Killed, KilledAndBack, Frozen, CutOff };

/** Writers that are lost one after the other, after a worker was lost for good. */
struct Loss
{
    const char *name;
    WriterFate fate;
    int writers;
    Milliseconds gap { 0 };
    int hosts = 8;
    std::vector<Millicores> processors { Millicores(250) };
};

std::ostream &operator<<(std::ostream &out, const Loss &loss)
{
    return out << loss.name;
}

const std::vector<Loss> losses {
    { "none", WriterFate::Killed, 0 },
    { "oneKilled", WriterFate::Killed, 1 },
    { "oneKilledAndBack", WriterFate::KilledAndBack, 1 },
    { "oneFrozen", WriterFate::Frozen, 1 },
    { "oneCutOff", WriterFate::CutOff, 1 },
    { "twoKilled", WriterFate::Killed, 2, Milliseconds(5000) },
    { "twoKilledLater", WriterFate::Killed, 2, Milliseconds(7000) },
    { "twoKilledAtOnce", WriterFate::Killed, 2, Milliseconds(1500) },
    { "twoCutOff", WriterFate::CutOff, 2, Milliseconds(5000) },
    { "fourKilled", WriterFate::Killed, 4, Milliseconds(5000) },
    { "fourKilledAndBack", WriterFate::KilledAndBack, 4, Milliseconds(5000) },
    { "fourKilledAtOnce", WriterFate::Killed, 4, Milliseconds(1500) },
    { "fourFrozen", WriterFate::Frozen, 4, Milliseconds(3000) },
    { "ofThreeHosts", WriterFate::Killed, 2, Milliseconds(5000), 3 },
    { "ofManyHosts", WriterFate::Killed, 2, Milliseconds(5000), 100 },
};

class Play
{
public:
    Play(const Loss &loss, std::uint64_t seed)
        : m_loss(loss)
        , m_site({ .seed = seed, .hosts = loss.hosts, .workers = 7, .processors = loss.processors })
        , m_lasting(lastingJob(seed, 6))
    {
        m_site.run(startTime);
        BOOST_REQUIRE(m_site.submit(m_lasting));
        m_site.run(Milliseconds(3000));
    }

    /** The worker is lost for good while, unless it is only cut off, the first writer may not have noticed. */
    void loseWorkerAndWriters(bool reachesFormerWriter)
    {
        const WorkerId lost = busyWorker();
        if (reachesFormerWriter) {
            isolateFromOthers(lost);
        } else {
            m_site.crashWorker(lost, true);
        }
        m_site.run(Milliseconds(500));
        for (int number = 0; number < m_loss.writers; ++number) {
            if (number > 0) {
                m_site.run(m_loss.gap);
            }
            BOOST_REQUIRE(m_site.runUntil([this] { return presentWriter().has_value(); }, Milliseconds(3000)));
            loseWriter(*presentWriter());
        }
    }

    /** Adds a host that the writer doesn't hear. */
    void addUnheardHost(Milliseconds wait)
    {
        const HostId writer = *presentWriter();
        m_site.partitionHosts(m_site.addHost(), writer, true);
        m_site.run(wait);
    }

    /** How long after the last disturbance all tasks run again. */
    Milliseconds timeUntilAllRun()
    {
        const TimePoint begin = m_site.now();
        TimePoint lastAway = begin;
        while (m_site.now() - begin < watchTime) {
            m_site.run(step);
            if (!areAllRunning()) {
                lastAway = m_site.now();
            }
        }
        return lastAway - begin;
    }

    void requireNoViolation()
    {
        for (const std::string &violation : m_site.judge().violations()) {
            BOOST_ERROR(violation);
        }
    }

private:
    WorkerId busyWorker()
    {
        for (const WorkerId &worker : m_site.workers()) {
            if (m_site.worker(worker).runningCount() > 0) {
                return worker;
            }
        }
        BOOST_FAIL("no worker is busy");
        return WorkerId();
    }

    bool areAllRunning()
    {
        for (std::uint32_t index = 0; index < m_lasting.steps.front().count; ++index) {
            if (!m_site.isRunning({ { m_lasting.id, 0, 0 }, index })) {
                return false;
            }
        }
        return true;
    }

    void isolateFromOthers(const WorkerId &worker)
    {
        for (const HostId &host : m_site.hosts()) {
            if (!m_site.isWriter(host)) {
                m_site.partitionWorker(host, worker, true);
            }
        }
    }

    /** A host that believes itself to be the writer and hasn't been lost. */
    std::optional<HostId> presentWriter()
    {
        const std::vector<HostId> hosts = m_site.hosts();
        const auto found = std::ranges::find_if(
            hosts, [this](const HostId &host) { return m_site.isWriter(host) && !m_lost.contains(host); });
        return found == hosts.end() ? std::nullopt : std::optional(*found);
    }

    void loseWriter(const HostId &writer)
    {
        m_lost.insert(writer);
        switch (m_loss.fate) {
        case WriterFate::Killed:
            m_site.killHost(writer);
            break;
        case WriterFate::KilledAndBack:
            m_site.killHost(writer);
            m_lost.erase(writer);
            m_site.after(hostReturn, [this, writer] { m_site.restartHost(writer); });
            break;
        case WriterFate::Frozen:
            m_site.pauseHost(writer);
            break;
        case WriterFate::CutOff:
            // It goes on to reach the workers.
            m_site.setStoreFault(writer, StoreFault::Silent);
            for (const HostId &other : m_site.hosts()) {
                if (other != writer) {
                    m_site.partitionHosts(writer, other, true);
                }
            }
            break;
        }
    }

    Loss m_loss;
    VirtualSite m_site;
    JobSpec m_lasting;
    std::set<HostId> m_lost;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WritersReplaced)

/** Guards against a lasting task that stays away since each new writer waits anew for the leases of all before it. */
BOOST_DATA_TEST_CASE(lastingTasksAreBackInTimeAfterTheLastLoss, data::make(losses), loss)
{
    Milliseconds longest {};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Play play(loss, seed);
        play.loseWorkerAndWriters(false);
        const Milliseconds away = play.timeUntilAllRun();
        longest = std::max(longest, away);
        BOOST_TEST((away <= restartLimit), "seed " << seed << ": away for " << away.count() << " ms");
        play.requireNoViolation();
    }
    BOOST_TEST_MESSAGE(loss << ": " << longest.count() << " ms after the last loss");
}

/** A host that the writer hasn't heard has to wait for longer, so it leaves the claim to the others. */
BOOST_AUTO_TEST_CASE(unheardHostLeavesTheClaimToOthers)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        // The fourth host, which is added, would claim as early as the others.
        const std::vector<Millicores> processors { Millicores(250), Millicores(250), Millicores(250),
                                                   Millicores(1000) };
        Play play({ "", WriterFate::Killed, 1, Milliseconds(0), 3, processors }, seed);
        play.addUnheardHost(Milliseconds(1500 + 7 * static_cast<std::int64_t>(seed)));
        play.loseWorkerAndWriters(false);
        const Milliseconds away = play.timeUntilAllRun();
        BOOST_TEST((away <= restartLimit), "seed " << seed << ": away for " << away.count() << " ms");
        play.requireNoViolation();
    }
}

/** The former writer is cut off from the store and the other hosts, and only it reaches the worker: not twice. */
BOOST_AUTO_TEST_CASE(workerThatOnlyTheFormerWriterReachesIsWaitedFor)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        for (const WriterFate fate : { WriterFate::CutOff, WriterFate::Frozen, WriterFate::Killed }) {
            Play play({ "", fate, 1 }, seed);
            play.loseWorkerAndWriters(true);
            play.timeUntilAllRun();
            play.requireNoViolation();
        }
    }
}

/** Running tasks outlive an outage of the store that all hosts see, since no other host can become the writer. */
BOOST_AUTO_TEST_CASE(tasksLiveThroughAnOutageOfTheStore)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        VirtualSite site({ .seed = seed, .hosts = 8, .workers = 7 });
        site.run(startTime);
        const JobSpec lasting = lastingJob(seed, 6);
        BOOST_REQUIRE(site.submit(lasting));
        site.run(Milliseconds(3000));
        for (const HostId &host : site.hosts()) {
            site.setStoreFault(host, StoreFault::Silent);
        }
        site.run(Milliseconds(5300));
        for (const HostId &host : site.hosts()) {
            site.setStoreFault(host, StoreFault::None);
        }
        site.run(Milliseconds(8000));
        for (std::uint32_t index = 0; index < lasting.steps.front().count; ++index) {
            BOOST_TEST(site.judge().startsOf({ { lasting.id, 0, 0 }, index }) == 1U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
