#pragma once

#include <utility>

#include <unistd.h>

namespace currantring {

/** Owns a file descriptor. Thread safety: a value type. */
class FileDescriptor
{
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~FileDescriptor()
    {
        reset();
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;
    FileDescriptor(FileDescriptor &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        if (this != &other) {
            reset();
            m_descriptor = std::exchange(other.m_descriptor, -1);
        }
        return *this;
    }

    [[nodiscard]] int get() const
    {
        return m_descriptor;
    }

    [[nodiscard]] bool isValid() const
    {
        return m_descriptor >= 0;
    }

    void reset()
    {
        if (m_descriptor >= 0) {
            ::close(std::exchange(m_descriptor, -1));
        }
    }

private:
    int m_descriptor = -1;
};

} // namespace currantring
