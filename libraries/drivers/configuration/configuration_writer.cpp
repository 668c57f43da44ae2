#include "libraries/drivers/configuration/configuration_writer.hpp"

#include "libraries/codecs/configuration/configuration_codec.hpp"
#include "libraries/domain/configuration/validation.hpp"
#include "libraries/drivers/configuration/configuration_keys.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

constexpr int max_merge_attempts = 16;
constexpr int max_resolve_attempts = 20;
/// How many versions back the base version of a change may be.
constexpr int max_history = 256;

change_outcome rejected(error failure)
{
    return rejected_change{{std::move(failure)}};
}

} // namespace

configuration_writer::configuration_writer(ports::key_value_store& store,
                                           std::string writer,
                                           std::function<void()> pause)
    : m_store(store)
    , m_writer(std::move(writer))
    , m_pause(std::move(pause))
    , m_parts(store)
{
}

change_outcome configuration_writer::apply(const configuration_change& change)
{
    std::int64_t base_version = change.base_version;
    if (base_version == 0)
    {
        result<stored_head> newest = read_head();
        if (!newest)
        {
            return rejected(newest.failure());
        }
        base_version = newest.value().head.version;
    }
    for (int count = 0; count < max_merge_attempts; ++count)
    {
        std::optional<change_outcome> outcome = try_apply(change, base_version);
        if (outcome)
        {
            return *outcome;
        }
    }
    return rejected(error{result_code::platform_conflict, "",
                          "other operators changed the configuration during "
                          "every attempt"});
}

result<domain::configuration> configuration_writer::read(std::int64_t version)
{
    result<stored_head> newest = read_head();
    if (!newest)
    {
        return newest.failure();
    }
    if (version == 0)
    {
        return m_parts.load(newest.value().head);
    }
    result<domain::configuration_head> found =
        find_version(newest.value(), version);
    if (!found)
    {
        return found.failure();
    }
    return m_parts.load(found.value());
}

result<configuration_writer::stored_head> configuration_writer::read_head()
{
    result<std::optional<ports::key_value>> read =
        m_store.get(std::string(head_key));
    if (!read)
    {
        return read.failure();
    }
    if (!read.value())
    {
        return stored_head{};
    }
    result<domain::configuration_head> head =
        codecs::decode_head(read.value()->value);
    if (!head)
    {
        return head.failure();
    }
    return stored_head{read.value()->value, read.value()->modification_revision,
                       std::move(head.value())};
}

result<domain::configuration_head>
configuration_writer::find_version(const stored_head& newest,
                                   std::int64_t version)
{
    domain::configuration_head head = newest.head;
    if (version == 0)
    {
        return domain::configuration_head{};
    }
    for (int step = 0; step < max_history && head.version > version; ++step)
    {
        result<domain::configuration_head> previous =
            m_parts.load_previous(head);
        if (!previous)
        {
            return previous.failure();
        }
        head = std::move(previous.value());
    }
    if (head.version != version)
    {
        return error{result_code::unknown_object, "base_version",
                     "expected one of the last " + std::to_string(max_history) +
                         " versions up to " +
                         std::to_string(newest.head.version)};
    }
    return head;
}

result<std::optional<std::int64_t>>
configuration_writer::find_operation(const stored_head& newest,
                                     const configuration_change& change)
{
    domain::configuration_head head = newest.head;
    for (int step = 0; step < max_history && !change.operation.empty(); ++step)
    {
        if (head.operation == change.operation)
        {
            return std::optional(head.version);
        }
        if (head.version <= change.base_version || head.previous.empty())
        {
            break;
        }
        result<domain::configuration_head> previous =
            m_parts.load_previous(head);
        if (!previous)
        {
            return previous.failure();
        }
        head = std::move(previous.value());
    }
    return std::optional<std::int64_t>();
}

std::optional<change_outcome>
configuration_writer::try_apply(const configuration_change& change,
                                std::int64_t base_version)
{
    result<stored_head> newest = read_head();
    if (!newest)
    {
        return rejected(newest.failure());
    }
    result<std::optional<std::int64_t>> applied_version =
        find_operation(newest.value(), change);
    if (applied_version && applied_version.value())
    {
        return accepted_change{*applied_version.value(), {}, true};
    }
    result<domain::configuration> current = m_parts.load(newest.value().head);
    result<domain::configuration_head> base_head =
        find_version(newest.value(), base_version);
    if (!current || !base_head)
    {
        return rejected(current ? base_head.failure() : current.failure());
    }
    result<domain::configuration> base = m_parts.load(base_head.value());
    if (!base)
    {
        return rejected(base.failure());
    }
    domain::adopt_unspecified_fields(current.value(), change.declared,
                                     base.value());
    const domain::configuration wanted =
        domain::with_declarations(base.value(), change.declared);
    domain::merge_result merged =
        domain::merge(base.value(), current.value(), wanted);
    if (!merged.conflicts.empty())
    {
        return conflicting_change{base_version, std::move(merged.conflicts),
                                  std::move(current.value()), wanted};
    }
    std::vector<error> errors = domain::validate(merged.merged);
    if (!errors.empty())
    {
        return rejected_change{std::move(errors)};
    }
    accepted_change accepted{
        newest.value().head.version,
        domain::changes_between(current.value(), merged.merged), false};
    if (change.is_dry_run || accepted.changes.empty())
    {
        return accepted;
    }
    return write_version(newest.value(), merged.merged, change.operation,
                         std::move(accepted));
}

std::optional<change_outcome> configuration_writer::write_version(
    const stored_head& old_head, const domain::configuration& wanted,
    const std::string& operation, accepted_change accepted)
{
    result<domain::configuration_head> head = write_parts(old_head, wanted);
    if (!head)
    {
        return rejected(head.failure());
    }
    head.value().writer = m_writer;
    head.value().operation = operation;
    result<bool> swapped = swap_head(old_head, head.value());
    if (!swapped)
    {
        return rejected(swapped.failure());
    }
    if (!swapped.value())
    {
        return std::nullopt;
    }
    accepted.version = head.value().version;
    accepted.is_written = true;
    return accepted;
}

result<domain::configuration_head>
configuration_writer::write_parts(const stored_head& old_head,
                                  const domain::configuration& wanted)
{
    domain::configuration_head head;
    head.version = old_head.head.version + 1;
    if (!old_head.text.empty())
    {
        result<std::string> previous = m_parts.write(old_head.text);
        if (!previous)
        {
            return previous.failure();
        }
        head.previous = std::move(previous.value());
    }
    for (const domain::configuration_part& part :
         domain::split_configuration(wanted))
    {
        result<std::string> text = codecs::encode_part(part);
        if (!text)
        {
            return text.failure();
        }
        result<std::string> digest = m_parts.write(text.value());
        if (!digest)
        {
            return digest.failure();
        }
        head.parts[part.name] = std::move(digest.value());
    }
    return head;
}

result<bool>
configuration_writer::swap_head(const stored_head& old_head,
                                const domain::configuration_head& head)
{
    constexpr ports::lease_id no_lease = 0;
    const std::string text = codecs::encode_head(head);
    bool may_have_taken_effect = false;
    for (int count = 0; count < max_resolve_attempts; ++count)
    {
        result<ports::revision> swapped =
            m_store.compare_and_swap(std::string(head_key), text,
                                     old_head.modification_revision, no_lease);
        if (swapped)
        {
            return true;
        }
        const result_code code = swapped.failure().code;
        if (code == result_code::platform_conflict && !may_have_taken_effect)
        {
            return false;
        }
        if (code == result_code::platform_conflict)
        {
            result<stored_head> newest = read_head();
            result<bool> found = newest ? is_in_history(newest.value(), head)
                                        : result<bool>(newest.failure());
            if (found)
            {
                return found;
            }
        }
        else if (code != result_code::platform_outcome_unknown &&
                 !may_have_taken_effect)
        {
            return swapped.failure();
        }
        may_have_taken_effect = true;
        m_pause();
    }
    return error{result_code::platform_outcome_unknown, std::string(head_key),
                 "the change may have taken effect; repeat it with the same "
                 "operation to find out",
                 outcome::outcome_unknown};
}

result<bool>
configuration_writer::is_in_history(const stored_head& newest,
                                    const domain::configuration_head& head)
{
    result<domain::configuration_head> found =
        find_version(newest, head.version);
    if (!found)
    {
        return found.failure();
    }
    return found.value() == head;
}

} // namespace turmeric::drivers
