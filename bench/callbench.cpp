#include "settings.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <httplib.h>

namespace {

using namespace currantring;

constexpr int badInput = 2;

/** One address that is called, over one kept connection, with the times of its calls in microseconds. */
struct Target
{
    std::string name;
    std::unique_ptr<httplib::Client> client;
    std::vector<double> times;
    std::size_t failures = 0;
};

const std::vector<OptionSpec> &optionSpecs()
{
    static const std::vector<OptionSpec> specs {
        { "calls", OptionKind::Integer, "", 1, 100'000, "3000", false, "calls to each target" },
        { "warm-up", OptionKind::Integer, "", 0, 10'000, "100", false, "calls to each target that aren't counted" },
        { "service", OptionKind::Text, "", 0, 0, "proofs", false, "service that is called" },
        { "owner", OptionKind::Text, "", 0, 0, "beta", false, "on whose behalf" },
    };
    return specs;
}

std::vector<Target> readTargets(const std::vector<std::string> &words, Findings &findings)
{
    std::vector<Target> targets;
    for (const std::string &word : words) {
        const std::size_t sign = word.find('=');
        if (sign == std::string::npos || sign == 0) {
            findings.push_back({ word, Severity::Error, "expected NAME=IP:PORT" });
            continue;
        }
        auto client = std::make_unique<httplib::Client>("http://" + word.substr(sign + 1));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_read_timeout(std::chrono::seconds(10));
        targets.push_back({ word.substr(0, sign), std::move(client), {}, 0 });
    }
    if (targets.empty() && findings.empty()) {
        findings.push_back({ "targets", Severity::Error, "expected NAME=IP:PORT words, saw none" });
    }
    return targets;
}

/** The shard is one that no configuration has, so that a direct call doesn't outrank the endpoint's shard writer. */
httplib::Headers makeHeaders(const std::string &owner, const std::string &request)
{
    return { { "Currantring-Owner", owner },
             { "Currantring-Request-Id", request },
             { "Currantring-Timeout-Ms", "5000" },
             { "Currantring-Shard", "999" },
             { "Currantring-Epoch", "1" } };
}

void call(Target &target, const Settings &settings, std::int64_t number, bool counts)
{
    const std::string request = "bench-" + target.name + "-" + std::to_string(number);
    const auto begin = std::chrono::steady_clock::now();
    const httplib::Result result =
        target.client->Post("/v1/services/" + settings.text("service"), makeHeaders(settings.text("owner"), request),
                            "x", "application/octet-stream");
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - begin;
    if (!counts) {
        return;
    }
    if (!result || result->status != 200) {
        ++target.failures;
        return;
    }
    target.times.push_back(time.count());
}

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

/** Prints each target's times, and their ratio to those of the first. */
void report(std::vector<Target> &targets)
{
    double firstMedian = 0;
    double firstTail = 0;
    std::cout << std::fixed;
    for (Target &target : targets) {
        std::ranges::sort(target.times);
        const double median = quantile(target.times, 0.5);
        const double tail = quantile(target.times, 0.99);
        firstMedian = firstMedian == 0 ? median : firstMedian;
        firstTail = firstTail == 0 ? tail : firstTail;
        std::cout << "target=" << target.name << " answered=" << target.times.size() << " failed=" << target.failures
                  << std::setprecision(0) << " p50_us=" << median << " p99_us=" << tail << std::setprecision(2)
                  << " p50_ratio=" << median / firstMedian << " p99_ratio=" << tail / firstTail << '\n';
    }
}

} // namespace

/** Calls a service at each target in turn, one call at a time, so that all see the same machine. */
int main(int argc, char **argv)
{
    Settings settings("currantring-callbench", "Compares the times of calls to a service: NAME=IP:PORT ...",
                      optionSpecs());
    const Settings::Outcome outcome = settings.read(argc, argv);
    Findings findings = settings.findings();
    if (outcome == Settings::Outcome::PrintedHelp || outcome == Settings::Outcome::PrintedVersion) {
        std::cout << settings.output();
        return 0;
    }
    std::vector<Target> targets = readTargets(settings.positional(), findings);
    if (!findings.empty()) {
        for (const Finding &finding : findings) {
            std::cerr << formatFinding(finding) << '\n';
        }
        return badInput;
    }
    const std::int64_t warmUp = settings.integer("warm-up");
    for (std::int64_t number = 0; number < warmUp + settings.integer("calls"); ++number) {
        for (Target &target : targets) {
            call(target, settings, number, number >= warmUp);
        }
    }
    report(targets);
    return std::ranges::all_of(targets, [](const Target &target) { return target.failures == 0; }) ? 0 : 1;
}
