#include "libraries/drivers/budget/bill_copy_store.hpp"

#include "libraries/codecs/budget/batch_codec.hpp"

namespace turmeric::drivers
{

bill_copy_store::bill_copy_store(const bill_copy_limits& limits,
                                 const ports::clock& clock)
    : m_limits(limits)
    , m_clock(clock)
{
}

result<std::string> bill_copy_store::handle_message(const std::string& message)
{
    result<codecs::forwarded_batch> decoded = codecs::decode_batch(message);
    if (!decoded)
    {
        return decoded.failure();
    }
    const domain::router_batch& batch = decoded.value().batch;
    std::lock_guard<std::mutex> lock(m_mutex);
    erase_expired_locked();
    if (m_copies.size() + batch.bills.size() > m_limits.copies)
    {
        return error{result_code::ledger_full, "copies",
                     "the limit of stored bill copies is reached"};
    }
    for (const domain::pending_bill& bill : batch.bills)
    {
        m_copies.push_back({batch.incarnation, decoded.value().shard, bill,
                            m_clock.steady_now()});
    }
    return std::string("{}");
}

std::vector<bill_copy> bill_copy_store::copies()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    erase_expired_locked();
    return {m_copies.begin(), m_copies.end()};
}

void bill_copy_store::erase(const std::string& incarnation, std::int32_t shard)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::erase_if(
        m_copies, [&](const bill_copy& copy)
        { return copy.shard == shard && copy.incarnation == incarnation; });
}

void bill_copy_store::erase_expired_locked()
{
    ports::steady_time now = m_clock.steady_now();
    while (!m_copies.empty() && now - m_copies.front().stored_at > m_limits.age)
    {
        m_copies.pop_front();
    }
}

} // namespace turmeric::drivers
