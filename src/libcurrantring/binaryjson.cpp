#include "binaryjson.h"

namespace currantring {

namespace {

using Json = nlohmann::json;

/** Deepest nesting of a document; those that hosts write stay far below. */
constexpr std::size_t maximumDepth = 64;

/**
 * Walks a document and builds nothing.
 *
 * The library's reader recurses for each level, so that the depth must be bounded before it may build values.
 */
class ShapeCheck : public nlohmann::json_sax<Json>
{
public:
    ShapeCheck(std::size_t size, BinaryNumbers numbers)
        : m_size(size)
        , m_numbers(numbers)
    {
    }

    bool null() override
    {
        return true;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool number_float(number_float_t /*value*/,
                      const string_t & /*text*/) override // NOLINT(readability-identifier-naming)
    {
        return m_numbers == BinaryNumbers::Any;
    }
    bool string(string_t & /*value*/) override
    {
        return true;
    }
    bool binary(binary_t & /*value*/) override
    {
        return true;
    }
    bool start_object(std::size_t elements) override // NOLINT(readability-identifier-naming)
    {
        return enter(elements);
    }
    bool key(string_t & /*value*/) override
    {
        return true;
    }
    bool end_object() override // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t elements) override // NOLINT(readability-identifier-naming)
    {
        return enter(elements);
    }
    bool end_array() override // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, // NOLINT(readability-identifier-naming)
                     const Json::exception & /*error*/) override
    {
        return false;
    }

private:
    bool enter(std::size_t elements)
    {
        return ++m_depth <= maximumDepth && elements <= m_size;
    }

    std::size_t m_size;
    BinaryNumbers m_numbers;
    std::size_t m_depth = 0;
};

} // namespace

std::optional<Json> readBinaryJson(std::string_view bytes, Json::input_format_t format, BinaryNumbers numbers)
{
    ShapeCheck check(bytes.size(), numbers);
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &check, format)) {
        return std::nullopt;
    }
    const bool isStrict = true;
    const bool mayThrow = false;
    Json document = format == Json::input_format_t::msgpack
        ? Json::from_msgpack(bytes.begin(), bytes.end(), isStrict, mayThrow)
        : Json::from_cbor(bytes.begin(), bytes.end(), isStrict, mayThrow);
    return document.is_discarded() ? std::nullopt : std::optional(std::move(document));
}

} // namespace currantring
