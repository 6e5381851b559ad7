// The platform's store with a configuration, and its workers, for the process tests of currantring-sited.
//
//     currantring-platform-standin RECORD WORKERS
//
// Prints the store's address and runs until its input ends.

#include <platform.hh>

#include <charconv>
#include <cstdio>
#include <string_view>

namespace {

constexpr int badUsage = 2;
const char *const ip = "127.0.0.1";
const char *const service = "orders";

nlohmann::json queue(const char *name, const char *prefix)
{
    return { { "name", name },      { "host", "jobs.example" }, { "prefix", prefix },
             { "timeoutMs", 3000 }, { "priority", 0 },          { "service", service },
             { "maxAttempts", 4 },  { "stretch", 2.0 },         { "targetLatencyMs", 1000 },
             { "kind", "unsafe" } };
}

nlohmann::json configuration()
{
    return { { "version", 7 },
             { "routes", { queue("orders", "/orders/"), queue("others", "/others/") } },
             { "services", { { { "name", service }, { "rejectsOverload", false }, { "standby", false } } } },
             { "limits",
               { { "maxHeaderBytes", 16'384 },
                 { "maxBodyBytes", 262'144 },
                 { "headerTimeoutMs", 3000 },
                 { "idleTimeoutMs", 15'000 } } } };
}

} // namespace

int main(int argc, char **argv)
{
    int count = 0;
    const std::string_view number = argc == 3 ? argv[2] : "";
    if (std::from_chars(number.data(), number.data() + number.size(), count).ec != std::errc()) {
        std::fputs("expected RECORD WORKERS\n", stderr);
        return badUsage;
    }
    // Their threads use them until the process ends.
    auto &record = *new review2::Record(argv[1]);
    auto &truth = *new review2::Truth;
    auto &store = *new review2::Store(record);
    store.listen(ip);
    store.put("op/config", configuration().dump());
    for (int index = 0; index < count; ++index) {
        review2::MinionOptions options;
        options.id = "worker-" + std::to_string(index);
        options.service = service;
        constexpr std::int64_t workMs = 100;
        options.workMs = [](const std::string & /*task*/) {
            return workMs;
        };
        (new review2::Minion(options, store, truth, record))->start(ip);
    }
    std::puts(store.address().c_str());
    std::fflush(stdout);
    while (std::getchar() != EOF) { }
    std::_Exit(0);
}
