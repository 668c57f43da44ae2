#include "libraries/drivers/budget/shard_editor.hpp"

#include "libraries/codecs/budget/shard_codec.hpp"
#include "libraries/domain/budget/backoff.hpp"
#include "libraries/drivers/budget/random_fraction.hpp"
#include "libraries/drivers/budget/store_committer.hpp"

#include <utility>

namespace turmeric::drivers
{

using domain::change;

namespace
{

constexpr std::chrono::milliseconds min_backoff{10};
constexpr std::chrono::milliseconds max_backoff{1000};

bool is_retryable(result_code code)
{
    switch (code)
    {
    case result_code::platform_conflict:
    case result_code::platform_outcome_unknown:
    case result_code::platform_unavailable:
    case result_code::platform_rate_limited:
    case result_code::platform_timeout:
        return true;
    default:
        return false;
    }
}

} // namespace

shard_editor::shard_editor(ports::key_value_store& store,
                           const ports::clock& clock,
                           ports::random_source& random)
    : m_store(store)
    , m_clock(clock)
    , m_random(random)
{
}

result<change> shard_editor::apply(std::int32_t shard, const shard_edit& edit,
                                   ports::steady_time deadline)
{
    result<change> tried = try_edit(shard, edit);
    bool is_unknown = false;
    for (std::int32_t failures = 1;
         !tried && is_retryable(tried.failure().code); ++failures)
    {
        is_unknown = is_unknown || tried.failure().code ==
                                       result_code::platform_outcome_unknown;
        const bool is_late = m_clock.steady_now() >= deadline;
        if (is_late ||
            !m_stop.sleep_for(domain::backoff_after(
                failures, random_fraction(m_random), min_backoff, max_backoff)))
        {
            error failure = tried.failure();
            failure.effect =
                is_unknown ? outcome::outcome_unknown : outcome::not_run;
            return failure;
        }
        tried = try_edit(shard, edit);
    }
    return tried;
}

result<shard_editor::versioned_shard>
shard_editor::read_versioned(std::int32_t shard)
{
    result<std::optional<ports::key_value>> got =
        m_store.get(store_committer::key_of(shard));
    if (!got)
    {
        return got.failure();
    }
    if (!got.value().has_value())
    {
        return versioned_shard{};
    }
    result<domain::budget_shard> decoded =
        codecs::decode_shard(got.value()->value);
    if (!decoded)
    {
        return decoded.failure();
    }
    return versioned_shard{std::move(decoded.value()),
                           got.value()->modification_revision};
}

result<domain::budget_shard> shard_editor::read(std::int32_t shard)
{
    result<versioned_shard> got = read_versioned(shard);
    if (!got)
    {
        return got.failure();
    }
    return std::move(got.value().shard);
}

result<change> shard_editor::try_edit(std::int32_t shard,
                                      const shard_edit& edit)
{
    result<versioned_shard> got = read_versioned(shard);
    if (!got)
    {
        return got.failure();
    }
    result<change> edited = edit(got.value().shard);
    if (!edited || edited.value() == change::none)
    {
        return edited;
    }
    constexpr ports::lease_id no_lease = 0;
    result<ports::revision> written = m_store.compare_and_swap(
        store_committer::key_of(shard), codecs::encode_shard(got.value().shard),
        got.value().modification_revision, no_lease);
    if (!written)
    {
        return written.failure();
    }
    return change::made;
}

result<change> shard_editor::top_up(const domain::top_up& added,
                                    std::int32_t shard_count,
                                    const domain::shard_limits& limits,
                                    ports::steady_time deadline)
{
    const shard_edit edit = [&](domain::budget_shard& shard)
    {
        return domain::apply_top_up(
            shard, added,
            std::chrono::time_point_cast<std::chrono::seconds>(
                m_clock.system_now()),
            limits);
    };
    return apply(domain::shard_of(added.account, shard_count), edit, deadline);
}

void shard_editor::stop()
{
    m_stop.request_stop();
}

} // namespace turmeric::drivers
