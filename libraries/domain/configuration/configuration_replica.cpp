#include "libraries/domain/configuration/configuration_replica.hpp"

#include "libraries/domain/configuration/parts.hpp"

#include <set>
#include <utility>

namespace turmeric::domain
{

namespace
{

// An older head can still be completed by a peer that has not got the newer
// one, so a few are kept.
constexpr std::size_t max_waiting_heads = 4;

error contradiction(const configuration_head& head)
{
    return error{result_code::corrupt_value, "live/configuration",
                 "two heads of version " + std::to_string(head.version) +
                     " differ"};
}

} // namespace

configuration_replica::configuration_replica(configuration_assembler assemble)
    : m_assemble(std::move(assemble))
    , m_current(std::make_shared<const configuration>())
{
}

result<bool> configuration_replica::offer_head(const configuration_head& head)
{
    if (head.version == m_head.version && !(head == m_head))
    {
        return contradiction(head);
    }
    if (head.version <= m_head.version || head.version == m_rejected_version)
    {
        return false;
    }
    const auto [slot, is_new] = m_waiting.try_emplace(head.version, head);
    if (!is_new)
    {
        return slot->second == head ? result<bool>(false) : contradiction(head);
    }
    if (m_waiting.size() > max_waiting_heads)
    {
        m_waiting.erase(m_waiting.begin());
    }
    return settle();
}

result<bool> configuration_replica::offer_part(const std::string& text)
{
    std::string digest = part_digest(text);
    for (const std::string& wanted : missing_parts())
    {
        if (wanted == digest)
        {
            m_waiting_parts.emplace(std::move(digest), text);
            return settle();
        }
    }
    return false;
}

std::vector<std::string> configuration_replica::missing_parts() const
{
    std::vector<std::string> missing;
    std::set<std::string> seen;
    for (auto head = m_waiting.rbegin(); head != m_waiting.rend(); ++head)
    {
        for (const auto& [name, digest] : head->second.parts)
        {
            if (find_part(digest) == nullptr && seen.insert(digest).second)
            {
                missing.push_back(digest);
            }
        }
    }
    return missing;
}

std::shared_ptr<const configuration> configuration_replica::current() const
{
    return m_current;
}

const configuration_head& configuration_replica::head() const
{
    return m_head;
}

const part_texts& configuration_replica::parts() const
{
    return m_parts;
}

bool configuration_replica::is_complete(const configuration_head& head) const
{
    for (const auto& [name, digest] : head.parts)
    {
        if (find_part(digest) == nullptr)
        {
            return false;
        }
    }
    return true;
}

const std::string*
configuration_replica::find_part(const std::string& digest) const
{
    for (const part_texts* texts : {&m_parts, &m_waiting_parts})
    {
        auto found = texts->find(digest);
        if (found != texts->end())
        {
            return &found->second;
        }
    }
    return nullptr;
}

result<bool> configuration_replica::settle()
{
    for (auto head = m_waiting.rbegin(); head != m_waiting.rend(); ++head)
    {
        if (is_complete(head->second))
        {
            const configuration_head chosen = head->second;
            return enforce(chosen);
        }
    }
    return false;
}

result<bool> configuration_replica::enforce(const configuration_head& head)
{
    part_texts texts;
    for (const auto& [name, digest] : head.parts)
    {
        texts.emplace(digest, *find_part(digest));
    }
    result<configuration> assembled = m_assemble(head, texts);
    if (!assembled)
    {
        m_rejected_version = head.version;
        m_waiting.erase(head.version);
        forget_unwanted();
        return assembled.failure();
    }
    m_head = head;
    m_parts = std::move(texts);
    m_current =
        std::make_shared<const configuration>(std::move(assembled.value()));
    m_waiting.erase(m_waiting.begin(), m_waiting.upper_bound(head.version));
    forget_unwanted();
    return true;
}

void configuration_replica::forget_unwanted()
{
    std::set<std::string> wanted;
    for (const auto& [version, head] : m_waiting)
    {
        for (const auto& [name, digest] : head.parts)
        {
            wanted.insert(digest);
        }
    }
    std::erase_if(m_waiting_parts, [&wanted](const auto& part)
                  { return wanted.count(part.first) == 0; });
}

} // namespace turmeric::domain
