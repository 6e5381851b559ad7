#pragma once

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

#include <nlohmann/json_fwd.hpp>

namespace currantring {

/**
 * Wraps a value so that ids and units of different meaning don't mix.
 *
 * Thread safety: a value type; distinct objects may be used from distinct threads.
 */
template<typename Value, typename Tag>
class Strong
{
public:
    constexpr Strong() = default;
    constexpr explicit Strong(Value value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] constexpr const Value &value() const
    {
        return m_value;
    }

    auto operator<=>(const Strong &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const Strong &strong)
    {
        return stream << strong.m_value;
    }

    // Templates, so that only those who write JSON need its large header.
    template<typename Json>
    requires std::same_as<Json, nlohmann::json>
    friend void to_json(Json &json, const Strong &strong)
    {
        json = strong.m_value;
    }

    template<typename Json>
    requires std::same_as<Json, nlohmann::json>
    friend void from_json(const Json &json, Strong &strong)
    {
        strong.m_value = json.template get<Value>();
    }

private:
    Value m_value {};
};

} // namespace currantring

template<typename Value, typename Tag>
struct std::hash<currantring::Strong<Value, Tag>>
{
    std::size_t operator()(const currantring::Strong<Value, Tag> &strong) const noexcept
    {
        return std::hash<Value> {}(strong.value());
    }
};
