#include "linediff.h"

#include <algorithm>
#include <vector>

namespace currantring {

namespace {

using Lines = std::vector<std::string_view>;

Lines split(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

/** Past this the middle is shown as replaced as a whole: the table would take too much memory. */
constexpr std::size_t mostCells = 16'000'000;

/** Length of the longest common subsequence of the rests that begin at each pair of lines. */
std::vector<std::vector<std::uint32_t>> commonLengths(const Lines &before, const Lines &after)
{
    std::vector<std::vector<std::uint32_t>> lengths(before.size() + 1, std::vector<std::uint32_t>(after.size() + 1));
    for (std::size_t left = before.size(); left-- > 0;) {
        for (std::size_t right = after.size(); right-- > 0;) {
            lengths[left][right] = before[left] == after[right]
                ? lengths[left + 1][right + 1] + 1
                : std::max(lengths[left + 1][right], lengths[left][right + 1]);
        }
    }
    return lengths;
}

void append(std::string &result, std::string_view sign, std::string_view line)
{
    result.append(sign).append(line).append("\n");
}

void appendAll(std::string &result, std::string_view sign, const Lines &lines)
{
    for (const std::string_view line : lines) {
        append(result, sign, line);
    }
}

/** Drops the lines with which both begin and end. */
void trimCommon(Lines &old, Lines &fresh)
{
    const auto head = std::mismatch(old.begin(), old.end(), fresh.begin(), fresh.end());
    old.erase(old.begin(), head.first);
    fresh.erase(fresh.begin(), head.second);
    while (!old.empty() && !fresh.empty() && old.back() == fresh.back()) {
        old.pop_back();
        fresh.pop_back();
    }
}

} // namespace

std::string diffLines(std::string_view before, std::string_view after)
{
    Lines old = split(before);
    Lines fresh = split(after);
    trimCommon(old, fresh);
    std::string result;
    if (old.size() * fresh.size() > mostCells) {
        appendAll(result, "- ", old);
        appendAll(result, "+ ", fresh);
        return result;
    }
    const auto lengths = commonLengths(old, fresh);
    std::size_t left = 0;
    std::size_t right = 0;
    while (left < old.size() || right < fresh.size()) {
        if (left < old.size() && right < fresh.size() && old[left] == fresh[right]) {
            ++left;
            ++right;
        } else if (right == fresh.size()
                   || (left < old.size() && lengths[left + 1][right] >= lengths[left][right + 1])) {
            append(result, "- ", old[left++]);
        } else {
            append(result, "+ ", fresh[right++]);
        }
    }
    return result;
}

} // namespace currantring
