#include "record.hh"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace review {

namespace {

const std::chrono::steady_clock::time_point startOfProgram = std::chrono::steady_clock::now();

} // namespace

std::int64_t nowMs()
{
    const auto since = std::chrono::steady_clock::now() - startOfProgram;
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

std::int64_t wallMs()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

void sleepMs(std::int64_t duration)
{
    if (duration > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(duration));
    }
}

bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%8.3f s  ", static_cast<double>(nowMs()) / 1000);
    m_file << stamp << line << std::endl;
    std::cout << stamp << line << std::endl;
}

} // namespace review
