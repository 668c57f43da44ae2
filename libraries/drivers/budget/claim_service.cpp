#include "libraries/drivers/budget/claim_service.hpp"

#include "libraries/codecs/budget/claim_codec.hpp"
#include "libraries/domain/budget/backoff.hpp"
#include "libraries/drivers/budget/random_fraction.hpp"

#include <utility>

namespace turmeric::drivers
{

using domain::claim_attempt;
using domain::claim_create_result;
using domain::claim_step;
using domain::claim_value;
using domain::sys_seconds;

namespace
{

claim_create_result create_result_of(const result<ports::revision>& created)
{
    if (created)
    {
        return claim_create_result::created;
    }
    switch (created.failure().code)
    {
    case result_code::platform_conflict:
        return claim_create_result::conflicted;
    case result_code::platform_unavailable:
    case result_code::platform_rate_limited:
        return claim_create_result::failed;
    default:
        return claim_create_result::unknown;
    }
}

} // namespace

claim_service::claim_service(ports::key_value_store& store,
                             const ports::clock& clock,
                             ports::random_source& random, logger& log,
                             const claim_settings& settings,
                             std::string incarnation)
    : m_store(store)
    , m_clock(clock)
    , m_random(random)
    , m_log(log)
    , m_settings(settings)
    , m_incarnation(std::move(incarnation))
{
}

status claim_service::claim(const std::string& account,
                            const std::string& request_id,
                            ports::steady_time deadline)
{
    if (request_id.empty() || request_id.find('/') != std::string::npos)
    {
        return error{result_code::invalid_field, "request_id",
                     "the request id is empty or contains a slash"};
    }
    claim_value value;
    value.incarnation = m_incarnation;
    value.attempt = m_next_attempt++;
    value.kept_until = std::chrono::time_point_cast<std::chrono::seconds>(
        m_clock.system_now() + m_settings.retention);
    claim_attempt attempt(value, m_settings.max_calls);
    const std::string key = domain::claim_key(account, request_id);
    std::int32_t calls = 0;
    for (claim_step step = attempt.next();
         step == claim_step::create || step == claim_step::read;
         step = attempt.next())
    {
        const bool is_repeat = calls > 1;
        const bool is_stopped =
            is_repeat && !m_stop.sleep_for(domain::backoff_after(
                             calls - 1, random_fraction(m_random),
                             m_settings.min_backoff, m_settings.max_backoff));
        if (is_stopped || m_clock.steady_now() >= deadline)
        {
            attempt.on_timeout();
            break;
        }
        ++calls;
        if (step == claim_step::create)
        {
            create_claim(attempt, key);
            continue;
        }
        read_claim(attempt, key);
    }
    return finish(attempt, request_id);
}

void claim_service::create_claim(claim_attempt& attempt, const std::string& key)
{
    constexpr ports::revision must_not_exist = 0;
    constexpr ports::lease_id no_lease = 0;
    attempt.on_create_result(create_result_of(m_store.compare_and_swap(
        key, codecs::encode_claim(attempt.value()), must_not_exist, no_lease)));
}

void claim_service::read_claim(claim_attempt& attempt, const std::string& key)
{
    result<std::optional<ports::key_value>> got = m_store.get(key);
    if (!got)
    {
        attempt.on_read_failed();
        return;
    }
    if (!got.value().has_value())
    {
        attempt.on_read_result(std::nullopt);
        return;
    }
    result<claim_value> decoded = codecs::decode_claim(got.value()->value);
    if (!decoded)
    {
        attempt.on_read_failed();
        return;
    }
    attempt.on_read_result(decoded.value());
}

status claim_service::finish(const claim_attempt& attempt,
                             const std::string& request_id)
{
    const claim_step step = attempt.next();
    if (step == claim_step::granted)
    {
        return success();
    }
    const bool is_refused = step == claim_step::refused;
    m_log.write(
        log_level::info, log_event::claim_resolved,
        {{"request_id", request_id},
         {"outcome", std::string(is_refused ? "refused" : "unresolved")}});
    if (is_refused)
    {
        return error{result_code::duplicate_request, "request_id",
                     "another attempt owns the claim of this request",
                     outcome::outcome_unknown};
    }
    return error{result_code::claim_unresolved, "request_id",
                 "the owner of the claim could not be determined",
                 outcome::outcome_unknown};
}

result<std::int32_t> claim_service::collect_expired_claims()
{
    result<ports::key_range> range = m_store.list("/turmericfront/claims/");
    if (!range)
    {
        return range.failure();
    }
    const sys_seconds now = std::chrono::time_point_cast<std::chrono::seconds>(
        m_clock.system_now());
    std::int32_t collected = 0;
    for (const ports::key_value& entry : range.value().entries)
    {
        if (collected >= m_settings.max_collected_per_run)
        {
            break;
        }
        result<claim_value> claim = codecs::decode_claim(entry.value);
        if (!claim ||
            !domain::is_collectable(claim.value(), now, m_settings.clock_skew))
        {
            continue;
        }
        if (m_store.compare_and_delete(entry.key, entry.modification_revision))
        {
            ++collected;
        }
    }
    return collected;
}

void claim_service::stop()
{
    m_stop.request_stop();
}

} // namespace turmeric::drivers
