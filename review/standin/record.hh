#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** Milliseconds on the steady clock since the start of the program. */
std::int64_t nowMs();
/** Unix time in milliseconds. */
std::int64_t wallMs();
void sleepMs(std::int64_t duration);
/** Whether the script runs with its disruption; TROUBLE=0 turns it off. */
bool hasTrouble();

/** The record of what was sent, answered and run; thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    void add(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
