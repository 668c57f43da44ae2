#include "libraries/domain/configuration/configuration_replica.hpp"

#include "libraries/domain/configuration/parts.hpp"

#include <set>
#include <utility>

namespace turmeric::domain
{

namespace
{

// A peer without the newest head may still have the parts of an older one, so
// a few incomplete heads are kept.
constexpr std::size_t max_incomplete_heads = 4;

error conflicting_head(const configuration_head& head)
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
        return conflicting_head(head);
    }
    if (head.version <= m_head.version || head.version == m_rejected_version)
    {
        return false;
    }
    const auto [entry, is_new] =
        m_incomplete_heads.try_emplace(head.version, head);
    if (!is_new)
    {
        return entry->second == head ? result<bool>(false)
                                     : conflicting_head(head);
    }
    if (m_incomplete_heads.size() > max_incomplete_heads)
    {
        m_incomplete_heads.erase(m_incomplete_heads.begin());
    }
    return put_newest_complete_in_force();
}

result<bool> configuration_replica::offer_part(const std::string& text)
{
    std::string digest = part_digest(text);
    for (const std::string& missing : missing_parts())
    {
        if (missing == digest)
        {
            m_pending_parts.emplace(std::move(digest), text);
            return put_newest_complete_in_force();
        }
    }
    return false;
}

std::vector<std::string> configuration_replica::missing_parts() const
{
    std::vector<std::string> missing;
    std::set<std::string> seen;
    for (auto head = m_incomplete_heads.rbegin();
         head != m_incomplete_heads.rend(); ++head)
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
    for (const part_texts* texts : {&m_parts, &m_pending_parts})
    {
        auto found = texts->find(digest);
        if (found != texts->end())
        {
            return &found->second;
        }
    }
    return nullptr;
}

result<bool> configuration_replica::put_newest_complete_in_force()
{
    for (auto head = m_incomplete_heads.rbegin();
         head != m_incomplete_heads.rend(); ++head)
    {
        if (is_complete(head->second))
        {
            const configuration_head chosen = head->second;
            return put_in_force(chosen);
        }
    }
    return false;
}

result<bool> configuration_replica::put_in_force(const configuration_head& head)
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
        m_incomplete_heads.erase(head.version);
        drop_unreferenced_parts();
        return assembled.failure();
    }
    m_head = head;
    m_parts = std::move(texts);
    m_current =
        std::make_shared<const configuration>(std::move(assembled.value()));
    m_incomplete_heads.erase(m_incomplete_heads.begin(),
                             m_incomplete_heads.upper_bound(head.version));
    drop_unreferenced_parts();
    return true;
}

void configuration_replica::drop_unreferenced_parts()
{
    std::set<std::string> referenced;
    for (const auto& [version, head] : m_incomplete_heads)
    {
        for (const auto& [name, digest] : head.parts)
        {
            referenced.insert(digest);
        }
    }
    std::erase_if(m_pending_parts, [&referenced](const auto& part)
                  { return referenced.count(part.first) == 0; });
}

} // namespace turmeric::domain
