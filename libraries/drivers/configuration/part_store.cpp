#include "libraries/drivers/configuration/part_store.hpp"

#include "libraries/codecs/configuration/configuration_codec.hpp"
#include "libraries/drivers/configuration/configuration_keys.hpp"

namespace turmeric::drivers
{

namespace
{

constexpr std::size_t max_cached_parts = 512;
constexpr int max_write_attempts = 4;

} // namespace

part_store::part_store(ports::key_value_store& store)
    : m_store(store)
{
}

result<std::string> part_store::write(const std::string& text)
{
    const std::string digest = domain::part_digest(text);
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_cache.count(digest) != 0)
        {
            return digest;
        }
    }
    result<std::string> written = create_part(digest, text);
    for (int attempt = 1; attempt < max_write_attempts && !written; ++attempt)
    {
        // If the earlier attempt took effect, the next one finds its part.
        if (written.failure().code != result_code::platform_outcome_unknown)
        {
            break;
        }
        written = create_part(digest, text);
    }
    if (written)
    {
        add_to_cache(digest, text);
    }
    return written;
}

result<std::string> part_store::create_part(const std::string& digest,
                                            const std::string& text)
{
    constexpr ports::revision must_not_exist = 0;
    constexpr ports::lease_id no_lease = 0;
    result<ports::revision> created = m_store.compare_and_swap(
        part_key(digest), text, must_not_exist, no_lease);
    if (created)
    {
        return digest;
    }
    if (created.failure().code != result_code::platform_conflict)
    {
        return created.failure();
    }
    result<std::string> existing = read(digest);
    if (!existing)
    {
        return existing.failure();
    }
    if (existing.value() != text)
    {
        return error{result_code::corrupt_value, part_key(digest),
                     "the stored part has the same digest but differs"};
    }
    return digest;
}

result<std::string> part_store::read(const std::string& digest)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        auto cached = m_cache.find(digest);
        if (cached != m_cache.end())
        {
            return cached->second;
        }
    }
    result<std::optional<ports::key_value>> stored =
        m_store.get(part_key(digest));
    if (!stored)
    {
        return stored.failure();
    }
    if (!stored.value())
    {
        return error{result_code::unknown_object, part_key(digest),
                     "the part is not stored"};
    }
    add_to_cache(digest, stored.value()->value);
    return stored.value()->value;
}

result<domain::configuration>
part_store::load(const domain::configuration_head& head)
{
    domain::part_texts texts;
    for (const auto& [name, digest] : head.parts)
    {
        result<std::string> text = read(digest);
        if (!text)
        {
            return text.failure();
        }
        texts.emplace(digest, std::move(text.value()));
    }
    return codecs::assemble_configuration(head, texts);
}

result<domain::configuration_head>
part_store::load_previous(const domain::configuration_head& head)
{
    if (head.previous.empty())
    {
        return error{result_code::unknown_object, "version",
                     "the version has no predecessor"};
    }
    result<std::string> text = read(head.previous);
    if (!text)
    {
        return text.failure();
    }
    return codecs::decode_head(text.value());
}

void part_store::add_to_cache(const std::string& digest,
                              const std::string& text)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_cache.size() >= max_cached_parts)
    {
        m_cache.clear();
    }
    m_cache.emplace(digest, text);
}

} // namespace turmeric::drivers
