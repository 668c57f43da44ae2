#include "libraries/drivers/budget/store_committer.hpp"

#include "libraries/codecs/budget/shard_codec.hpp"
#include "libraries/drivers/budget/random_fraction.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// The maximum time that a leader or a follower sleeps before it checks again
/// whether a call is due or its deadline has passed.
constexpr std::chrono::milliseconds max_wait{20};

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
    , m_limiter(settings.max_calls_per_second, settings.max_call_burst)
{
    for (std::int32_t shard = 0; shard < settings.shard_count; ++shard)
    {
        m_shards.push_back(
            std::make_unique<shard_state>(settings.writer, policy));
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
        return error{result_code::invalid_field, "shard",
                     "the shard number is out of range"};
    }
    shard_state& state = *m_shards[static_cast<std::size_t>(shard)];
    std::unique_lock<std::mutex> lock(state.mutex);
    const domain::submission_number number = state.writer.submit(batch);
    state.replies.emplace(number, std::nullopt);
    while (!state.replies.at(number).has_value())
    {
        if (m_clock.steady_now() >= deadline)
        {
            state.writer.withdraw(number);
            state.replies.erase(number);
            return timeout_error(state);
        }
        if (state.has_leader)
        {
            state.changed.wait_for(lock, max_wait);
            continue;
        }
        state.has_leader = true;
        make_due_call(shard, state, lock);
        state.has_leader = false;
        state.changed.notify_all();
    }
    domain::batch_reply reply = std::move(*state.replies.at(number));
    state.replies.erase(number);
    return reply;
}

error store_committer::timeout_error(const shard_state& state)
{
    if (state.last_failure.has_value())
    {
        return *state.last_failure;
    }
    return error{result_code::platform_timeout, "",
                 "the batch was not committed before the deadline",
                 outcome::outcome_unknown};
}

bool store_committer::try_acquire_call()
{
    std::lock_guard<std::mutex> lock(m_limiter_mutex);
    return m_limiter.try_take(m_clock.steady_now());
}

void store_committer::make_due_call(std::int32_t shard, shard_state& state,
                                    std::unique_lock<std::mutex>& lock)
{
    const std::optional<ports::steady_time> due = state.writer.due_at();
    if (!due.has_value())
    {
        return;
    }
    const ports::steady_time now = m_clock.steady_now();
    if (now < *due || !try_acquire_call())
    {
        const ports::steady_time::duration wait =
            std::clamp(*due - now, ports::steady_time::duration(1'000'000),
                       ports::steady_time::duration(max_wait));
        state.changed.wait_for(lock, wait);
        return;
    }
    const domain::shard_call call =
        state.writer.start(now, m_clock.system_now());
    const std::string key = key_of(shard);
    if (call.kind == domain::shard_call_kind::read)
    {
        read_shard(key, state, lock);
        return;
    }
    write_shard(key, call, state, lock);
}

void store_committer::read_shard(const std::string& key, shard_state& state,
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
        record_failure(state, got.failure());
        return;
    }
    if (!decoded.has_value())
    {
        state.writer.on_read(std::nullopt, 0);
        return;
    }
    if (!*decoded)
    {
        record_failure(state, decoded->failure());
        return;
    }
    state.writer.on_read(std::move(decoded->value()),
                         got.value()->modification_revision);
}

void store_committer::write_shard(const std::string& key,
                                  const domain::shard_call& call,
                                  shard_state& state,
                                  std::unique_lock<std::mutex>& lock)
{
    lock.unlock();
    const std::string value = codecs::encode_shard(*call.value);
    result<ports::revision> written =
        error{result_code::platform_value_too_large, key,
              "the encoded shard exceeds the size limit"};
    if (value.size() <= m_settings.max_value_bytes)
    {
        ++m_writes;
        written = m_store.compare_and_swap(key, value, call.expected, 0);
    }
    lock.lock();
    if (!written)
    {
        record_failure(state, written.failure());
        return;
    }
    m_bytes_written += static_cast<std::int64_t>(value.size());
    state.last_failure.reset();
    for (domain::submission_reply& reply :
         state.writer.on_written(written.value()))
    {
        auto found = state.replies.find(reply.number);
        if (found != state.replies.end())
        {
            found->second = std::move(reply.reply);
        }
    }
}

void store_committer::record_failure(shard_state& state, const error& failure)
{
    const bool is_conflict = failure.code == result_code::platform_conflict;
    const bool is_unknown =
        failure.code == result_code::platform_outcome_unknown;
    m_conflicts += is_conflict ? 1 : 0;
    m_unknown_outcomes += is_unknown ? 1 : 0;
    m_failures += is_conflict || is_unknown ? 0 : 1;
    if (!is_conflict)
    {
        m_log.write(log_level::warning, log_event::commit_failed,
                    {{"code", std::string(name_of(failure.code))},
                     {"detail", failure.detail}});
    }
    state.last_failure = failure;
    state.writer.on_failed(failure.code, m_clock.steady_now(),
                           random_fraction(m_random));
}

committer_counts store_committer::counts() const
{
    return {m_reads,    m_writes,       m_conflicts, m_unknown_outcomes,
            m_failures, m_bytes_written};
}

} // namespace turmeric::drivers
