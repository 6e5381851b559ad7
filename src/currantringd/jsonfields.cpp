#include "jsonfields.h"

#include <algorithm>
#include <mutex>
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
    // A long text isn't copied as a whole.
    std::string text = value.is_string() ? nlohmann::json(value.get_ref<const std::string &>().substr(0, longest + 1))
                                               .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                                         : value.dump();
    if (text.size() > longest) {
        text = text.substr(0, longest) + "...";
    }
    return text;
}

/** Members of one object; the largest request has twelve. */
constexpr std::size_t mostMembers = 64;
constexpr std::size_t listedFindings = 10;
/** Longer than the name of any known member, and as much of a name as a finding tells. */
constexpr std::size_t longestMemberName = 64;
/** Larger bodies are parsed one at a time, as the parser takes several times the length of a text for it. */
constexpr std::size_t largeBodyBytes = 65'536;

/** Takes the members of an object into a document; of what is nested in them only the type is kept. */
class MemberReader : public nlohmann::json_sax<nlohmann::json>
{
public:
    using json = nlohmann::json;

    explicit MemberReader(std::size_t longestText)
        : m_longestText(longestText)
    {
    }

    bool null() override
    {
        return take(nullptr);
    }
    bool boolean(bool value) override
    {
        return take(value);
    }
    bool number_integer(json::number_integer_t value) override
    {
        return take(value);
    }
    bool number_unsigned(json::number_unsigned_t value) override
    {
        return take(value);
    }
    bool number_float(json::number_float_t value, const json::string_t & /*text*/) override
    {
        return take(value);
    }
    bool string(json::string_t &value) override
    {
        return m_level > 1 || take(value.substr(0, m_longestText + 1));
    }
    bool binary(json::binary_t & /*value*/) override
    {
        return take(nullptr);
    }
    bool start_object(std::size_t /*elements*/) override
    {
        return enter(json::object());
    }
    bool key(json::string_t &name) override
    {
        if (m_level == 1) {
            m_member = name.substr(0, longestMemberName);
        }
        return true;
    }
    bool end_object() override
    {
        --m_level;
        return true;
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return enter(json::array());
    }
    bool end_array() override
    {
        --m_level;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const json::exception & /*error*/) override
    {
        m_fault = "expected a JSON object, saw text that is no JSON";
        return false;
    }

    [[nodiscard]] const std::string &fault() const
    {
        return m_fault;
    }
    /** The object; another type when the text isn't one. */
    json takeDocument()
    {
        return std::move(m_document);
    }

private:
    bool take(json value)
    {
        if (m_level == 0) {
            m_document = std::move(value);
        } else if (m_level == 1 && m_document.is_object()) {
            m_document[m_member] = std::move(value);
            if (m_document.size() > mostMembers) {
                m_fault = "expected at most " + std::to_string(mostMembers) + " members";
                return false;
            }
        }
        return true;
    }

    bool enter(json empty)
    {
        const bool isTaken = take(std::move(empty));
        ++m_level;
        return isTaken;
    }

    const std::size_t m_longestText;
    json m_document;
    std::string m_member;
    std::size_t m_level = 0;
    std::string m_fault;
};

/** Takes the members of @p body into @p object; the fault, if there is one. */
std::string readMembers(std::string_view body, std::size_t longestText, nlohmann::json &object)
{
    static std::mutex largeBody;
    std::unique_lock<std::mutex> turn(largeBody, std::defer_lock);
    if (body.size() > largeBodyBytes) {
        turn.lock();
    }
    MemberReader reader(longestText);
    nlohmann::json::sax_parse(body, &reader);
    object = reader.takeDocument();
    return reader.fault();
}

} // namespace

bool isName(std::string_view text, std::size_t longest)
{
    return !text.empty() && text.size() <= longest
        && std::all_of(text.begin(), text.end(), [](char character) { return character >= ' ' && character <= '~'; });
}

JsonFields::JsonFields(std::string_view body, std::size_t longestText)
    : m_object(nlohmann::json::object())
{
    if (body.empty()) {
        return;
    }
    std::string fault = readMembers(body, longestText, m_object);
    if (fault.empty() && !m_object.is_object()) {
        fault = std::string("expected a JSON object, saw ") + m_object.type_name();
    }
    if (!fault.empty()) {
        m_findings.push_back({ "body", Severity::Error, std::move(fault) });
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
    std::size_t unknown = 0;
    for (const auto &[member, value] : m_object.items()) {
        if (!m_known.contains(member) && ++unknown <= listedFindings) {
            all.push_back({ place(member), Severity::Error, "unknown member" });
        }
    }
    if (unknown > listedFindings) {
        all.push_back(
            { "body", Severity::Error, std::to_string(unknown - listedFindings) + " further unknown members" });
    }
    return all;
}

} // namespace currantring
