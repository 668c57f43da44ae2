#include "libraries/drivers/budget/store_committer.hpp"

#include "libraries/codecs/budget/shard_codec.hpp"
#include "libraries/drivers/budget/uniform.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// How long a leader or a follower waits before it looks again.
constexpr std::chrono::milliseconds longest_wait{20};

} // namespace

store_committer::store_committer(ports::key_value_store& store,
                                 const ports::clock& clock,
                                 ports::random_source& random, logger& log,
                                 const store_committer_settings& settings,
                                 const domain::grant_policy& policy)
    : m_store(store)
    , m_clock(clock)
    , m_random(random)
    , m_log(log)
    , m_settings(settings)
    , m_limiter(settings.calls_per_second, settings.call_burst)
{
    for (std::int32_t shard = 0; shard < settings.shard_count; ++shard)
    {
        m_slots.push_back(std::make_unique<slot>(settings.writer, policy));
    }
}

std::string store_committer::key_of(std::int32_t shard)
{
    constexpr std::size_t digits = 3;
    std::string number = std::to_string(shard);
    number.insert(0, digits - std::min(digits, number.size()), '0');
    return "/turmericfront/budgets/" + number;
}

result<domain::batch_reply>
store_committer::commit(std::int32_t shard, const domain::router_batch& batch,
                        ports::steady_time deadline)
{
    if (shard < 0 || shard >= m_settings.shard_count)
    {
        return error{result_code::invalid_field, "shard", "no such shard"};
    }
    slot& place = *m_slots[static_cast<std::size_t>(shard)];
    std::unique_lock<std::mutex> lock(place.mutex);
    const domain::submission_number number = place.writer.submit(batch);
    place.waiting.emplace(number, std::nullopt);
    while (!place.waiting.at(number).has_value())
    {
        if (m_clock.steady_now() >= deadline)
        {
            place.writer.withdraw(number);
            place.waiting.erase(number);
            return timed_out(place);
        }
        if (place.has_leader)
        {
            place.changed.wait_for(lock, longest_wait);
            continue;
        }
        place.has_leader = true;
        lead(shard, place, lock);
        place.has_leader = false;
        place.changed.notify_all();
    }
    domain::batch_reply reply = std::move(*place.waiting.at(number));
    place.waiting.erase(number);
    return reply;
}

error store_committer::timed_out(const slot& place)
{
    if (place.last_failure.has_value())
    {
        return *place.last_failure;
    }
    return error{result_code::platform_timeout, "", "no commit in time",
                 outcome::outcome_unknown};
}

bool store_committer::try_take_call()
{
    std::lock_guard<std::mutex> lock(m_limiter_mutex);
    return m_limiter.try_take(m_clock.steady_now());
}

void store_committer::lead(std::int32_t shard, slot& place,
                           std::unique_lock<std::mutex>& lock)
{
    const std::optional<ports::steady_time> due = place.writer.due_at();
    if (!due.has_value())
    {
        return;
    }
    const ports::steady_time now = m_clock.steady_now();
    if (now < *due || !try_take_call())
    {
        const ports::steady_time::duration wait =
            std::clamp(*due - now, ports::steady_time::duration(1'000'000),
                       ports::steady_time::duration(longest_wait));
        place.changed.wait_for(lock, wait);
        return;
    }
    const domain::shard_call call =
        place.writer.start(now, m_clock.system_now());
    const std::string key = key_of(shard);
    if (call.kind == domain::shard_call_kind::read)
    {
        call_read(key, place, lock);
        return;
    }
    call_write(key, call, place, lock);
}

void store_committer::call_read(const std::string& key, slot& place,
                                std::unique_lock<std::mutex>& lock)
{
    lock.unlock();
    ++m_reads;
    result<std::optional<ports::key_value>> got = m_store.get(key);
    std::optional<result<domain::budget_shard>> decoded;
    if (got && got.value().has_value())
    {
        decoded = codecs::decode_shard(got.value()->value);
    }
    lock.lock();
    if (!got)
    {
        fail(place, got.failure());
        return;
    }
    if (!decoded.has_value())
    {
        place.writer.on_read(std::nullopt, 0);
        return;
    }
    if (!*decoded)
    {
        fail(place, decoded->failure());
        return;
    }
    place.writer.on_read(std::move(decoded->value()),
                         got.value()->modification_revision);
}

void store_committer::call_write(const std::string& key,
                                 const domain::shard_call& call, slot& place,
                                 std::unique_lock<std::mutex>& lock)
{
    lock.unlock();
    const std::string value = codecs::encode_shard(*call.value);
    result<ports::revision> written =
        error{result_code::platform_value_too_large, key,
              "the shard is over its bound in bytes"};
    if (value.size() <= m_settings.value_bytes)
    {
        ++m_writes;
        written = m_store.compare_and_swap(key, value, call.expected, 0);
    }
    lock.lock();
    if (!written)
    {
        fail(place, written.failure());
        return;
    }
    m_bytes += static_cast<std::int64_t>(value.size());
    place.last_failure.reset();
    for (domain::submission_reply& reply :
         place.writer.on_written(written.value()))
    {
        auto waiting = place.waiting.find(reply.number);
        if (waiting != place.waiting.end())
        {
            waiting->second = std::move(reply.reply);
        }
    }
}

void store_committer::fail(slot& place, const error& failure)
{
    const bool is_conflict = failure.code == result_code::platform_conflict;
    const bool is_unknown =
        failure.code == result_code::platform_outcome_unknown;
    m_conflicts += is_conflict ? 1 : 0;
    m_unknown += is_unknown ? 1 : 0;
    m_failures += is_conflict || is_unknown ? 0 : 1;
    if (!is_conflict)
    {
        m_log.write(log_level::warning, log_event::commit_failed,
                    {{"code", std::string(name_of(failure.code))},
                     {"detail", failure.detail}});
    }
    place.last_failure = failure;
    place.writer.on_failed(failure.code, m_clock.steady_now(),
                           uniform(m_random));
}

committer_counts store_committer::counts() const
{
    return {m_reads, m_writes, m_conflicts, m_unknown, m_failures, m_bytes};
}

} // namespace turmeric::drivers
