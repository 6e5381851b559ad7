#pragma once

#include "standinplatform.h"

#include <chrono>
#include <condition_variable>
#include <mutex>

#include <httplib.h>

namespace currantring {

/** The platform's rules under one lock and the real clock, shared by all ports of the stand-in. */
class StandinSite
{
public:
    explicit StandinSite(StandinPlatformOptions options);

    /** Runs @p call with the platform and the present time, alone, and wakes the watches. */
    template<typename Call>
    auto withPlatform(const Call &call)
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint present = now();
        m_platform.advance(present);
        auto result = call(m_platform, present);
        m_changed.notify_all();
        return result;
    }

    /** Waits up to @p wait for a change under the prefix; the reply is empty when there was none. */
    StandinStoreCall watch(const StoreWatch &request);
    /** Lets @p delay pass, or less when the site is closed. */
    void pass(Milliseconds delay);
    /** Wakes all who wait, and lets nobody wait any more. */
    void close();

private:
    [[nodiscard]] TimePoint now() const;
    [[nodiscard]] std::chrono::steady_clock::time_point toClock(TimePoint time) const;

    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_closing;
    bool m_closed = false;
    StandinPlatform m_platform;
};

/** Sets status and JSON body. */
void answerJson(httplib::Response &response, int status, const nlohmann::json &body);
/** Does to the present connection what @p delivery asks for; false when the answer is of no interest any more. */
bool deliver(StandinDelivery delivery, httplib::Response &response);

} // namespace currantring
