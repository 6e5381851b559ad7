#pragma once

#include "neighbourmodel.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace currantring {

/** What the runs of one worker mean for the placement of a further filler or serving task there. */
struct WorkerInterference
{
    /** The serving tasks of one image. */
    struct Servers
    {
        ImageName image;
        /** Place of the image in the table's list of serving images. */
        std::size_t imageIndex = 0;
        std::uint32_t count = 0;
        /** Largest difference between the present stress of a task and its limit. */
        double stressOverLimit = 0;
        /** Largest difference between the stress of a task at its peak load and its limit. */
        double peakOverLimit = 0;
    };
    /** The fillers of one image. */
    struct Fillers
    {
        ImageName image;
        /** Fraction of the worker's processors that they demand at their present pace. */
        double share = 0;
    };

    std::vector<Servers> servers;
    std::vector<Fillers> fillers;
};

/**
 * Keeps the interference of each worker until its runs change.
 *
 * Each placement considers all workers, of which few have changed since the last one; working their interference out
 * again each time took most of a writer's processor time on a large site. Thread safety: one thread at a time.
 */
class InterferenceTable
{
public:
    /** Precondition: @p neighbours outlives the object. */
    explicit InterferenceTable(const NeighbourModel &neighbours);

    /** The reference is valid until the next call. */
    const WorkerInterference &of(const WorkerLink &link);
    /** NeighbourModel::coefficient() for the image of @p servers, which is of a worker of this table. */
    double coefficient(const ImageName &filler, const WorkerInterference::Servers &servers);
    /** Discards all entries, as loads are learnt from other workers, too. */
    void clear();
    /** Stress that the fillers of a worker add to a serving task of @p image. */
    [[nodiscard]] double addedStress(const WorkerInterference &worker, const ImageName &image) const;
    /** How often the interference of a worker was worked out. */
    [[nodiscard]] std::uint64_t assessments() const;

private:
    struct Entry
    {
        std::uint64_t revision = 0;
        WorkerInterference interference;
    };

    /** The coefficients of one filler image, by the place of the serving image. */
    struct Coefficients
    {
        ImageName filler;
        std::uint64_t revision = 0;
        std::vector<double> values;
    };

    [[nodiscard]] WorkerInterference assess(const WorkerLink &link);
    void addServer(WorkerInterference &worker, const LiveRun &run);
    std::size_t indexOf(const ImageName &image);
    void readCoefficients(const ImageName &filler);

    const NeighbourModel &m_neighbours;
    /** A link's revision is unique among all links, so an entry of a destroyed link is never taken for another's. */
    std::unordered_map<const WorkerLink *, Entry> m_entries;
    /** The serving images of all entries. */
    std::vector<ImageName> m_images;
    /** Of the filler that was asked for last: a placement asks for one filler on all workers. */
    Coefficients m_coefficients;
    std::uint64_t m_assessments = 0;
};

} // namespace currantring
