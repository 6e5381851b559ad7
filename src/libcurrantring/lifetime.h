#pragma once

#include <memory>
#include <utility>

namespace currantring {

/**
 * Lets continuations outlive the object that made them: a guarded one does nothing once the object is gone.
 *
 * Thread safety: one thread at a time.
 */
class Lifetime
{
public:
    /** Wraps @p body so that it runs only while this object exists. */
    template<typename Body>
    [[nodiscard]] auto guard(Body body) const
    {
        return [alive = std::weak_ptr<int>(m_alive), body = std::move(body)](auto &&...arguments) mutable {
            if (!alive.expired()) {
                body(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

private:
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace currantring
