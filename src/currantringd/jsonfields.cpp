#include "jsonfields.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

std::string place(std::string_view member)
{
    return "body." + std::string(member);
}

std::string seen(const nlohmann::json &value)
{
    constexpr std::size_t longest = 40;
    if (value.is_structured()) {
        // Printing a deeply nested value would exhaust the stack.
        return std::string("an ") + value.type_name();
    }
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > longest) {
        text = text.substr(0, longest) + "...";
    }
    return text;
}

} // namespace

bool isName(std::string_view text, std::size_t longest)
{
    return !text.empty() && text.size() <= longest
        && std::all_of(text.begin(), text.end(), [](char character) { return character >= ' ' && character <= '~'; });
}

JsonFields::JsonFields(std::string_view body)
    : m_object(nlohmann::json::object())
{
    if (body.empty()) {
        return;
    }
    m_object = nlohmann::json::parse(body, nullptr, false);
    if (!m_object.is_object()) {
        const std::string what = m_object.is_discarded() ? "text that is no JSON" : m_object.type_name();
        m_findings.push_back({ "body", Severity::Error, "expected a JSON object, saw " + what });
        m_object = nlohmann::json::object();
        m_readable = false;
    }
}

const nlohmann::json *JsonFields::find(std::string_view member)
{
    m_known.emplace(member);
    const auto found = m_object.find(std::string(member));
    return found == m_object.end() ? nullptr : &*found;
}

void JsonFields::addFinding(std::string_view member, std::string message)
{
    // Without a readable body every member would be reported as missing.
    if (m_readable) {
        m_findings.push_back({ place(member), Severity::Error, std::move(message) });
    }
}

std::string JsonFields::name(std::string_view member, std::size_t longest)
{
    const nlohmann::json *value = find(member);
    const std::string expected = "expected a text of 1 to " + std::to_string(longest) + " printable ASCII bytes, saw ";
    if (value == nullptr) {
        addFinding(member, expected + "nothing");
        return {};
    }
    if (!value->is_string() || !isName(value->get_ref<const std::string &>(), longest)) {
        addFinding(member, expected + seen(*value));
        return {};
    }
    return value->get<std::string>();
}

std::optional<std::string> JsonFields::text(std::string_view member, std::size_t longest)
{
    const nlohmann::json *value = find(member);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()
        || value->get_ref<const std::string &>().size() > longest) {
        addFinding(member, "expected a text of 1 to " + std::to_string(longest) + " bytes, saw " + seen(*value));
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::string JsonFields::requiredText(std::string_view member, std::size_t longest)
{
    if (!has(member)) {
        addFinding(member, "expected a text of 1 to " + std::to_string(longest) + " bytes, saw nothing");
    }
    return text(member, longest).value_or("");
}

std::optional<std::int64_t> JsonFields::integer(std::string_view member, std::int64_t minimum, std::int64_t maximum)
{
    const nlohmann::json *value = find(member);
    if (value == nullptr) {
        return std::nullopt;
    }
    const bool tooLarge =
        value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum);
    if (!value->is_number_integer() || tooLarge || value->get<std::int64_t>() < minimum
        || value->get<std::int64_t>() > maximum) {
        addFinding(member,
                   "expected an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum) + ", saw "
                       + seen(*value));
        return std::nullopt;
    }
    return value->get<std::int64_t>();
}

std::int64_t JsonFields::requiredInteger(std::string_view member, std::int64_t minimum, std::int64_t maximum)
{
    if (!has(member)) {
        addFinding(member,
                   "expected an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum)
                       + ", saw nothing");
    }
    return integer(member, minimum, maximum).value_or(minimum);
}

bool JsonFields::flag(std::string_view member, bool absent)
{
    const nlohmann::json *value = find(member);
    if (value == nullptr) {
        return absent;
    }
    if (!value->is_boolean()) {
        addFinding(member, "expected true or false, saw " + seen(*value));
        return absent;
    }
    return value->get<bool>();
}

bool JsonFields::has(std::string_view member) const
{
    return m_object.contains(std::string(member));
}

Findings JsonFields::findings() const
{
    Findings all = m_findings;
    for (const auto &[member, value] : m_object.items()) {
        if (!m_known.contains(member)) {
            all.push_back({ place(member.substr(0, 64)), Severity::Error, "unknown member" });
        }
    }
    return all;
}

} // namespace currantring
