#include "virtualclients.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startupTime { 1500 };
constexpr Milliseconds submissionTime { 8000 };
constexpr Milliseconds finishTime { 40'000 };
constexpr std::uint64_t jobs = 24;
constexpr Milliseconds clockStep { 3000 };
constexpr Milliseconds configurationInterval { 1700 };

/** A fault that is injected while jobs are running, and the recovery from it. */
struct FaultCase
{
    std::string name;
    std::function<void(VirtualSite &site)> inject;
    std::function<void(VirtualSite &site)> recover;
    Milliseconds duration { 4000 };
};

HostId writerOf(const VirtualSite &site)
{
    return site.writer().value_or(site.hosts().front());
}

HostId nonWriterHost(const VirtualSite &site)
{
    for (const HostId &host : site.hosts()) {
        if (host != writerOf(site) && site.isAlive(host)) {
            return host;
        }
    }
    return site.hosts().front();
}

void restartStoppedHosts(VirtualSite &site)
{
    for (const HostId &host : site.hosts()) {
        if (!site.isAlive(host)) {
            site.restartHost(host);
        }
    }
}

void disturbStoreForAllHosts(VirtualSite &site, StoreFault trouble)
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

/** The host affected by a fault, kept from its injection to the recovery. */
struct AffectedHost
{
    HostId host;
};

const std::vector<FaultCase> &faultCases()
{
    static const auto affected = std::make_shared<AffectedHost>();
    const auto noAction = [](VirtualSite &) {
    };
    static const std::vector<FaultCase> cases {
        { "none", noAction, noAction },
        { "writer killed", [](VirtualSite &site) { site.killHost(writerOf(site)); }, restartStoppedHosts },
        { "writer killed and back at once", [](VirtualSite &site) { site.killHost(writerOf(site)); },
          restartStoppedHosts, Milliseconds(300) },
        { "other host killed", [](VirtualSite &site) { site.killHost(nonWriterHost(site)); }, restartStoppedHosts },
        { "all hosts killed",
          [](VirtualSite &site) {
              for (const HostId &host : site.hosts()) {
                  site.killHost(host);
              }
          },
          restartStoppedHosts, Milliseconds(1200) },
        { "all hosts away for long",
          [](VirtualSite &site) {
              for (const HostId &host : site.hosts()) {
                  site.killHost(host);
              }
          },
          restartStoppedHosts, Milliseconds(9500) },
        { "writer paused",
          [](VirtualSite &site) {
              affected->host = writerOf(site);
              site.pauseHost(affected->host);
          },
          [](VirtualSite &site) {
              site.resumeHost(affected->host);
          } },
        { "writer stopped", [](VirtualSite &site) { site.stopHost(writerOf(site)); }, restartStoppedHosts },
        { "writer cut from the store",
          [](VirtualSite &site) {
              affected->host = writerOf(site);
              site.setStoreFault(affected->host, StoreFault::Silent);
          },
          [](VirtualSite &site) {
              site.setStoreFault(affected->host, StoreFault::None);
          } },
        { "writer refused by the store",
          [](VirtualSite &site) {
              affected->host = writerOf(site);
              site.setStoreFault(affected->host, StoreFault::Refusing);
          },
          [](VirtualSite &site) {
              site.setStoreFault(affected->host, StoreFault::None);
          } },
        { "writer cut from the hosts",
          [](VirtualSite &site) {
              affected->host = writerOf(site);
              cutFromAllHosts(site, affected->host, true);
          },
          [](VirtualSite &site) {
              cutFromAllHosts(site, affected->host, false);
          } },
        { "writer cut from hosts and store",
          [](VirtualSite &site) {
              affected->host = writerOf(site);
              cutFromAllHosts(site, affected->host, true);
              site.setStoreFault(affected->host, StoreFault::Silent);
          },
          [](VirtualSite &site) {
              cutFromAllHosts(site, affected->host, false);
              site.setStoreFault(affected->host, StoreFault::None);
          } },
        { "store silent", [](VirtualSite &site) { disturbStoreForAllHosts(site, StoreFault::Silent); },
          [](VirtualSite &site) {
              disturbStoreForAllHosts(site, StoreFault::None);
          } },
        { "store refusing", [](VirtualSite &site) { disturbStoreForAllHosts(site, StoreFault::Refusing); },
          [](VirtualSite &site) {
              disturbStoreForAllHosts(site, StoreFault::None);
          } },
        { "store silent and leases ended",
          [](VirtualSite &site) {
              disturbStoreForAllHosts(site, StoreFault::Silent);
              site.store().revokeLeases();
          },
          [](VirtualSite &site) {
              disturbStoreForAllHosts(site, StoreFault::None);
          } },
        { "store slow", [](VirtualSite &site) { site.setStoreDelay(Milliseconds(300)); },
          [](VirtualSite &site) {
              site.setStoreDelay(Milliseconds(4));
          } },
        { "store replies lost", [](VirtualSite &site) { site.loseStoreReplies(0.35); },
          [](VirtualSite &site) {
              site.loseStoreReplies(0);
          } },
        { "store history dropped", [](VirtualSite &site) { site.store().compact(); }, noAction },
        { "watches unanswered", [](VirtualSite &site) { disturbStoreForAllHosts(site, StoreFault::WatchesSilent); },
          [](VirtualSite &site) {
              disturbStoreForAllHosts(site, StoreFault::None);
          } },
        { "watches of the writer unanswered",
          [](VirtualSite &site) {
              affected->host = writerOf(site);
              site.setStoreFault(affected->host, StoreFault::WatchesSilent);
          },
          [](VirtualSite &site) {
              site.setStoreFault(affected->host, StoreFault::None);
          } },
        { "host with unanswered watches cut from the hosts",
          [](VirtualSite &site) {
              affected->host = nonWriterHost(site);
              site.setStoreFault(affected->host, StoreFault::WatchesSilent);
              cutFromAllHosts(site, affected->host, true);
          },
          [](VirtualSite &site) {
              cutFromAllHosts(site, affected->host, false);
              site.setStoreFault(affected->host, StoreFault::None);
          },
          Milliseconds(9000) },
        { "watches deaf, then left unanswered and history dropped",
          [](VirtualSite &site) { site.setWatchesDeaf(true); },
          [](VirtualSite &site) {
              site.store().compact();
              site.setWatchesDeaf(false);
              site.dropWatches();
          },
          Milliseconds(1000) },
        { "watches deaf, then cut and history dropped", [](VirtualSite &site) { site.setWatchesDeaf(true); },
          [](VirtualSite &site) {
              site.store().compact();
              site.setWatchesDeaf(false);
              site.cutWatches();
          },
          Milliseconds(1000) },
        { "store leases revoked", [](VirtualSite &site) { site.store().revokeLeases(); }, noAction },
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
        { "worker gone for good", [](VirtualSite &site) { site.crashWorker(WorkerId("w0"), true); }, noAction },
        { "worker cut off", [](VirtualSite &site) { site.isolateWorker(WorkerId("w0"), true); },
          [](VirtualSite &site) {
              site.isolateWorker(WorkerId("w0"), false);
          } },
        { "worker cut off within its lease", [](VirtualSite &site) { site.isolateWorker(WorkerId("w0"), true); },
          [](VirtualSite &site) { site.isolateWorker(WorkerId("w0"), false); }, Milliseconds(3000) },
        { "worker cut off past its lease", [](VirtualSite &site) { site.isolateWorker(WorkerId("w0"), true); },
          [](VirtualSite &site) { site.isolateWorker(WorkerId("w0"), false); }, Milliseconds(9000) },
        { "worker cut from the writer",
          [](VirtualSite &site) {
              affected->host = writerOf(site);
              site.partitionWorker(affected->host, WorkerId("w0"), true);
          },
          [](VirtualSite &site) {
              site.partitionWorker(affected->host, WorkerId("w0"), false);
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
          noAction },
    };
    return cases;
}

/** Sends new versions before, during and after the faults. */
void changeConfigurationRegularly(VirtualSite &site, Milliseconds duration)
{
    for (Milliseconds delay = configurationInterval; delay < duration; delay += configurationInterval) {
        site.after(delay, [&site] {
            SiteConfiguration next = site.configuration();
            next.version = ConfigurationVersion(next.version.value() + 1);
            site.configure(next);
        });
    }
}

/** Whether to print the log of a case: CURRANTRING_TRACE holds a prefix of the case's error messages. */
bool isTraced(const std::string &context)
{
    const char *const wanted = std::getenv("CURRANTRING_TRACE");
    return wanted != nullptr && context.starts_with(wanted);
}

enum class Workload { Mixed, RareKinds };

constexpr std::string_view hostsAwayCase = "all hosts away for long";
constexpr std::string_view workerGoneCase = "worker gone for good";

std::vector<std::string> inject(const FaultCase &fault, const FaultCase *second, Milliseconds injectionTime,
                                std::uint64_t seed, Workload workload, const std::string &context)
{
    VirtualSiteOptions options;
    options.seed = seed;
    options.workers = 8;
    VirtualSite site(options);
    site.record(isTraced(context));
    VirtualClients customers(site, seed);
    site.run(startupTime);
    site.judge().noteClockSteps(clockStep);
    if (workload == Workload::Mixed) {
        customers.submitMixedJobs(jobs, submissionTime);
    } else {
        customers.submitSpecialJobs(jobs, submissionTime);
    }
    changeConfigurationRegularly(site, submissionTime + Milliseconds(3000));
    for (const FaultCase *injected : { &fault, second }) {
        if (injected == nullptr) {
            continue;
        }
        site.judge().noteDisturbance(site.now() + injectionTime, site.now() + injectionTime + injected->duration);
        site.after(injectionTime, [&site, injected] { injected->inject(site); });
        site.after(injectionTime + injected->duration, [&site, injected] { injected->recover(site); });
    }
    site.run(submissionTime + Milliseconds(6000));
    customers.finish(finishTime);
    for (const std::string &line : site.transcript()) {
        std::cout << line << '\n';
    }
    return site.judge().violations();
}

void injectAndCheck(const FaultCase &fault, const FaultCase *second, Milliseconds injectionTime, std::uint64_t seed,
                    Workload workload = Workload::Mixed)
{
    const std::string context = fault.name + (second == nullptr ? "" : " with " + second->name) + ", at "
        + std::to_string(injectionTime.count()) + " ms, seed " + std::to_string(seed);
    for (const std::string &violation : inject(fault, second, injectionTime, seed, workload, context)) {
        BOOST_ERROR(context << ": " << violation);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Faults)

BOOST_AUTO_TEST_CASE(eachAtSeveralMoments)
{
    for (const FaultCase &fault : faultCases()) {
        for (const std::int64_t injectionTime : { 500, 2500, 5000 }) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                injectAndCheck(fault, nullptr, Milliseconds(injectionTime), seed);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(rareKindsOfJobs)
{
    for (const FaultCase &fault : faultCases()) {
        for (const std::int64_t injectionTime : { 700, 2500, 4000 }) {
            for (std::uint64_t seed = 1; seed <= 2; ++seed) {
                injectAndCheck(fault, nullptr, Milliseconds(injectionTime), seed, Workload::RareKinds);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(pairsTogether)
{
    std::uint64_t seed = 100;
    for (const FaultCase &fault : faultCases()) {
        for (const FaultCase &second : faultCases()) {
            if (fault.name < second.name) {
                injectAndCheck(fault, &second, Milliseconds(2500), ++seed);
            }
        }
    }
}

/** The writer's next process shows that the former one, which was killed, can't extend leases any more. */
BOOST_AUTO_TEST_CASE(lastingTasksOfAWorkerGoneWhileAllHostsAreAway)
{
    const FaultCase &hostsAway = *std::ranges::find(faultCases(), hostsAwayCase, &FaultCase::name);
    const FaultCase &workerGone = *std::ranges::find(faultCases(), workerGoneCase, &FaultCase::name);
    for (const std::string &violation :
         inject(hostsAway, &workerGone, Milliseconds(2500), 210, Workload::Mixed, "hosts away and worker gone")) {
        BOOST_ERROR(violation);
    }
}

BOOST_AUTO_TEST_SUITE_END()
