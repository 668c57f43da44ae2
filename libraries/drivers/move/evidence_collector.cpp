#include "libraries/drivers/move/evidence_collector.hpp"

#include "libraries/codecs/move/evidence_codec.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace turmeric::drivers
{

namespace
{

/// Restarts of routers within one move that are told apart.
constexpr std::size_t most_incarnations = 4096;

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
    const auto ask_some = [&]
    {
        for (std::size_t index = next++; index < addresses.size();
             index = next++)
        {
            ask(addresses[index], body);
        }
    };
    std::vector<std::thread> askers;
    const std::size_t helpers = std::min(m_settings.askers, addresses.size());
    for (std::size_t number = 1; number < helpers; ++number)
    {
        askers.emplace_back(ask_some);
    }
    ask_some();
    for (std::thread& asker : askers)
    {
        asker.join();
    }
}

void evidence_collector::ask(const std::string& address,
                             const std::string& body)
{
    const result<std::string> reply = m_peers.call(
        address, {std::string(codecs::evidence_message_kind), body},
        m_settings.call_timeout);
    if (!reply)
    {
        return;
    }
    const result<domain::evidence_response> answer =
        codecs::decode_evidence_response(reply.value());
    if (!answer)
    {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_answered[address] = m_clock.steady_now();
    for (const domain::evidence_report& report : answer.value().reports)
    {
        auto& known = m_reports[report.identity];
        if (known.size() < most_incarnations ||
            known.contains(answer.value().incarnation))
        {
            known[answer.value().incarnation] = report;
        }
    }
}

fleet_evidence evidence_collector::of(std::uint64_t identity) const
{
    const std::lock_guard lock(m_mutex);
    fleet_evidence sum;
    const auto known = m_reports.find(identity);
    if (known == m_reports.end())
    {
        return sum;
    }
    for (const auto& [incarnation, report] : known->second)
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
        m_clock.steady_now() - m_settings.evidence_age;
    const auto fresh = std::count_if(
        addresses.begin(), addresses.end(),
        [&](const std::string& address)
        {
            const auto answered = m_answered.find(address);
            return answered != m_answered.end() && answered->second >= oldest;
        });
    return fresh > 0 &&
           static_cast<double>(fresh) >=
               m_settings.fresh_share * static_cast<double>(addresses.size());
}

void evidence_collector::clear()
{
    const std::lock_guard lock(m_mutex);
    m_answered.clear();
    m_reports.clear();
}

} // namespace turmeric::drivers
