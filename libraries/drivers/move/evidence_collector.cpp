#include "libraries/drivers/move/evidence_collector.hpp"

#include "libraries/codecs/move/evidence_codec.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace turmeric::drivers
{

namespace
{

/// The maximum number of router incarnations whose reports are kept for one
/// move. Each restart of a router adds one.
constexpr std::size_t max_incarnations = 4096;

} // namespace

evidence_collector::evidence_collector(ports::peer_caller& peers,
                                       const ports::clock& clock,
                                       const move_driver_settings& settings)
    : m_peers(peers)
    , m_clock(clock)
    , m_settings(settings)
{
}

void evidence_collector::collect(const domain::evidence_request& request,
                                 const std::vector<std::string>& addresses)
{
    const std::string body = codecs::encode(request);
    std::atomic<std::size_t> next{0};
    const auto request_from_next = [&]
    {
        for (std::size_t index = next++; index < addresses.size();
             index = next++)
        {
            request_evidence(addresses[index], body);
        }
    };
    std::vector<std::thread> threads;
    const std::size_t thread_count =
        std::min(m_settings.max_parallel_calls, addresses.size());
    for (std::size_t number = 1; number < thread_count; ++number)
    {
        threads.emplace_back(request_from_next);
    }
    request_from_next();
    for (std::thread& thread : threads)
    {
        thread.join();
    }
}

void evidence_collector::request_evidence(const std::string& address,
                                          const std::string& body)
{
    const result<std::string> reply = m_peers.call(
        address, {std::string(codecs::evidence_message_kind), body},
        m_settings.call_timeout);
    if (!reply)
    {
        return;
    }
    const result<domain::evidence_response> response =
        codecs::decode_evidence_response(reply.value());
    if (!response)
    {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_responded_at[address] = m_clock.steady_now();
    for (const domain::evidence_report& report : response.value().reports)
    {
        auto& reports = m_reports[report.identity];
        if (reports.size() < max_incarnations ||
            reports.contains(response.value().incarnation))
        {
            reports[response.value().incarnation] = report;
        }
    }
}

fleet_evidence evidence_collector::evidence_of(std::uint64_t identity) const
{
    const std::lock_guard lock(m_mutex);
    fleet_evidence sum;
    const auto found = m_reports.find(identity);
    if (found == m_reports.end())
    {
        return sum;
    }
    for (const auto& [incarnation, report] : found->second)
    {
        sum.tally += report.tally;
        if (report.from_evidence)
        {
            sum.from_evidence.merge(*report.from_evidence);
        }
        if (!report.cut_reason.empty())
        {
            sum.cut_reason = report.cut_reason;
        }
    }
    return sum;
}

bool evidence_collector::is_fresh(
    const std::vector<std::string>& addresses) const
{
    const std::lock_guard lock(m_mutex);
    const ports::steady_time oldest =
        m_clock.steady_now() - m_settings.max_evidence_age;
    const auto fresh =
        std::count_if(addresses.begin(), addresses.end(),
                      [&](const std::string& address)
                      {
                          const auto responded_at =
                              m_responded_at.find(address);
                          return responded_at != m_responded_at.end() &&
                                 responded_at->second >= oldest;
                      });
    return fresh > 0 && static_cast<double>(fresh) >=
                            m_settings.min_fresh_fraction *
                                static_cast<double>(addresses.size());
}

void evidence_collector::clear()
{
    const std::lock_guard lock(m_mutex);
    m_responded_at.clear();
    m_reports.clear();
}

} // namespace turmeric::drivers
