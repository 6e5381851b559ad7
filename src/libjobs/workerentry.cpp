#include "workerentry.h"

#include <algorithm>

namespace currantring {

bool WorkerEntry::hasLabel(const Label &label) const
{
    return std::ranges::find(labels, label) != labels.end();
}

} // namespace currantring
