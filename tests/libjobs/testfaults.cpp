#include "virtualclients.h"

#include <cstdlib>
#include <iostream>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };
constexpr Milliseconds workTime { 8000 };
constexpr Milliseconds finishTime { 40'000 };
constexpr std::uint64_t jobs = 24;
constexpr Milliseconds clockStep { 3000 };

/** A fault that a test throws while work goes on, and how it ends. */
struct FaultCase
{
    std::string name;
    std::function<void(VirtualSite &site)> strike;
    std::function<void(VirtualSite &site)> heal;
    Milliseconds lasts { 4000 };
};

HostId writerOf(const VirtualSite &site)
{
    return site.writer().value_or(site.hosts().front());
}

HostId otherThanWriter(const VirtualSite &site)
{
    for (const HostId &host : site.hosts()) {
        if (host != writerOf(site) && site.isAlive(host)) {
            return host;
        }
    }
    return site.hosts().front();
}

void restartDead(VirtualSite &site)
{
    for (const HostId &host : site.hosts()) {
        if (!site.isAlive(host)) {
            site.restartHost(host);
        }
    }
}

void troubleAll(VirtualSite &site, StoreFault trouble)
{
    for (const HostId &host : site.hosts()) {
        site.setStoreFault(host, trouble);
    }
}

void cutFromAllHosts(VirtualSite &site, const HostId &host, bool isCut)
{
    for (const HostId &other : site.hosts()) {
        site.partitionHosts(host, other, isCut);
    }
}

/** Remembers a host between strike and heal. */
struct Victim
{
    HostId host;
};

const std::vector<FaultCase> &faults()
{
    static const auto victim = std::make_shared<Victim>();
    const auto nothing = [](VirtualSite &) {
    };
    static const std::vector<FaultCase> table {
        { "none", nothing, nothing },
        { "writer killed", [](VirtualSite &site) { site.killHost(writerOf(site)); }, restartDead },
        { "writer killed and back at once", [](VirtualSite &site) { site.killHost(writerOf(site)); }, restartDead,
          Milliseconds(300) },
        { "other host killed", [](VirtualSite &site) { site.killHost(otherThanWriter(site)); }, restartDead },
        { "all hosts killed",
          [](VirtualSite &site) {
              for (const HostId &host : site.hosts()) {
                  site.killHost(host);
              }
          },
          restartDead, Milliseconds(1200) },
        { "all hosts away for long",
          [](VirtualSite &site) {
              for (const HostId &host : site.hosts()) {
                  site.killHost(host);
              }
          },
          restartDead, Milliseconds(9500) },
        { "writer paused",
          [](VirtualSite &site) {
              victim->host = writerOf(site);
              site.pauseHost(victim->host);
          },
          [](VirtualSite &site) {
              site.resumeHost(victim->host);
          } },
        { "writer stopped", [](VirtualSite &site) { site.stopHost(writerOf(site)); }, restartDead },
        { "writer cut from the store",
          [](VirtualSite &site) {
              victim->host = writerOf(site);
              site.setStoreFault(victim->host, StoreFault::Silent);
          },
          [](VirtualSite &site) {
              site.setStoreFault(victim->host, StoreFault::None);
          } },
        { "writer refused by the store",
          [](VirtualSite &site) {
              victim->host = writerOf(site);
              site.setStoreFault(victim->host, StoreFault::Refusing);
          },
          [](VirtualSite &site) {
              site.setStoreFault(victim->host, StoreFault::None);
          } },
        { "writer cut from the hosts",
          [](VirtualSite &site) {
              victim->host = writerOf(site);
              cutFromAllHosts(site, victim->host, true);
          },
          [](VirtualSite &site) {
              cutFromAllHosts(site, victim->host, false);
          } },
        { "writer cut from hosts and store",
          [](VirtualSite &site) {
              victim->host = writerOf(site);
              cutFromAllHosts(site, victim->host, true);
              site.setStoreFault(victim->host, StoreFault::Silent);
          },
          [](VirtualSite &site) {
              cutFromAllHosts(site, victim->host, false);
              site.setStoreFault(victim->host, StoreFault::None);
          } },
        { "store silent", [](VirtualSite &site) { troubleAll(site, StoreFault::Silent); },
          [](VirtualSite &site) {
              troubleAll(site, StoreFault::None);
          } },
        { "store refusing", [](VirtualSite &site) { troubleAll(site, StoreFault::Refusing); },
          [](VirtualSite &site) {
              troubleAll(site, StoreFault::None);
          } },
        { "store silent and leases ended",
          [](VirtualSite &site) {
              troubleAll(site, StoreFault::Silent);
              site.store().revokeLeases();
          },
          [](VirtualSite &site) {
              troubleAll(site, StoreFault::None);
          } },
        { "store slow", [](VirtualSite &site) { site.setStoreDelay(Milliseconds(300)); },
          [](VirtualSite &site) {
              site.setStoreDelay(Milliseconds(4));
          } },
        { "store replies lost", [](VirtualSite &site) { site.loseStoreReplies(0.35); },
          [](VirtualSite &site) {
              site.loseStoreReplies(0);
          } },
        { "store history dropped", [](VirtualSite &site) { site.store().compact(); }, nothing },
        { "store leases revoked", [](VirtualSite &site) { site.store().revokeLeases(); }, nothing },
        { "worker crashed", [](VirtualSite &site) { site.crashWorker(WorkerId("w0"), false); },
          [](VirtualSite &site) {
              site.restartWorker(WorkerId("w0"));
          } },
        { "worker crashed silently", [](VirtualSite &site) { site.crashWorker(WorkerId("w0"), true); },
          [](VirtualSite &site) {
              site.restartWorker(WorkerId("w0"));
          } },
        { "worker back at once with nothing", [](VirtualSite &site) { site.crashWorker(WorkerId("w0"), false); },
          [](VirtualSite &site) { site.restartWorker(WorkerId("w0")); }, Milliseconds(50) },
        { "worker gone for good", [](VirtualSite &site) { site.crashWorker(WorkerId("w0"), true); }, nothing },
        { "worker cut off", [](VirtualSite &site) { site.isolateWorker(WorkerId("w0"), true); },
          [](VirtualSite &site) {
              site.isolateWorker(WorkerId("w0"), false);
          } },
        { "worker cut off past its lease", [](VirtualSite &site) { site.isolateWorker(WorkerId("w0"), true); },
          [](VirtualSite &site) { site.isolateWorker(WorkerId("w0"), false); }, Milliseconds(9000) },
        { "worker cut from the writer",
          [](VirtualSite &site) {
              victim->host = writerOf(site);
              site.partitionWorker(victim->host, WorkerId("w0"), true);
          },
          [](VirtualSite &site) {
              site.partitionWorker(victim->host, WorkerId("w0"), false);
          } },
        { "worker fails all", [](VirtualSite &site) { site.worker(WorkerId("w0")).setFailing(true); },
          [](VirtualSite &site) {
              site.worker(WorkerId("w0")).setFailing(false);
          } },
        { "worker drains", [](VirtualSite &site) { site.drainWorker(WorkerId("w0")); },
          [](VirtualSite &site) {
              site.crashWorker(WorkerId("w0"), false);
          } },
        { "orders applied late", [](VirtualSite &site) { site.applyOrdersLate(0.2); },
          [](VirtualSite &site) {
              site.applyOrdersLate(0);
          } },
        { "answers to orders lost", [](VirtualSite &site) { site.loseOrderAnswers(0.2); },
          [](VirtualSite &site) {
              site.loseOrderAnswers(0);
          } },
        { "wall clocks jump",
          [](VirtualSite &site) {
              for (const HostId &host : site.hosts()) {
                  site.stepWallClock(host, host == site.hosts().front() ? clockStep : Milliseconds(-2000));
              }
          },
          nothing },
    };
    return table;
}

/** Whether the log lines of a case are wanted: the variable holds what its errors begin with. */
bool isTraced(const std::string &context)
{
    const char *const wanted = std::getenv("CURRANTRING_TRACE");
    return wanted != nullptr && context.starts_with(wanted);
}

enum class Work { Mixture, RareKinds };

void strikeAndCheck(const FaultCase &fault, const FaultCase *second, Milliseconds moment, std::uint64_t seed,
                    Work work = Work::Mixture)
{
    VirtualSiteOptions options;
    options.seed = seed;
    options.workers = 8;
    VirtualSite site(options);
    const std::string context = fault.name + (second == nullptr ? "" : " with " + second->name) + ", at "
        + std::to_string(moment.count()) + " ms, seed " + std::to_string(seed);
    site.record(isTraced(context));
    VirtualClients customers(site, seed);
    site.run(startTime);
    site.judge().noteClockSteps(clockStep);
    if (work == Work::Mixture) {
        customers.submitMixedJobs(jobs, workTime);
    } else {
        customers.submitSpecialJobs(jobs, workTime);
    }
    for (const FaultCase *thrown : { &fault, second }) {
        if (thrown == nullptr) {
            continue;
        }
        site.after(moment, [&site, thrown] { thrown->strike(site); });
        site.after(moment + thrown->lasts, [&site, thrown] { thrown->heal(site); });
    }
    site.run(workTime + Milliseconds(6000));
    customers.finish(finishTime);
    for (const std::string &line : site.transcript()) {
        std::cout << line << '\n';
    }
    for (const std::string &violation : site.judge().violations()) {
        BOOST_ERROR(context << ": " << violation);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Faults)

BOOST_AUTO_TEST_CASE(eachAtSeveralMoments)
{
    for (const FaultCase &fault : faults()) {
        for (const std::int64_t moment : { 500, 2500, 5000 }) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                strikeAndCheck(fault, nullptr, Milliseconds(moment), seed);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(rareKindsOfJobs)
{
    for (const FaultCase &fault : faults()) {
        for (const std::int64_t moment : { 700, 2500, 4000 }) {
            for (std::uint64_t seed = 1; seed <= 2; ++seed) {
                strikeAndCheck(fault, nullptr, Milliseconds(moment), seed, Work::RareKinds);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(pairsTogether)
{
    std::uint64_t seed = 100;
    for (const FaultCase &fault : faults()) {
        for (const FaultCase &second : faults()) {
            if (fault.name < second.name) {
                strikeAndCheck(fault, &second, Milliseconds(2500), ++seed);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
