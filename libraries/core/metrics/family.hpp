#pragma once

#include "libraries/core/metrics/family_base.hpp"
#include "libraries/core/metrics/family_options.hpp"
#include "libraries/core/metrics/text_format.hpp"

#include <cassert>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <utility>

namespace turmeric::metrics
{

/// Metrics of one name told apart by labels, bounded in number. Thread safe.
template <class Metric>
class family final : public family_base
{
public:
    /// Makes an empty family. Precondition: `max_label_sets` is at least 1.
    explicit family(family_options options)
        : m_options(std::move(options))
    {
        assert(m_options.max_label_sets > 0);
    }

    /// Returns the metric of a label set, which lives as long as the family;
    /// a caller on a hot path may keep the reference. Past the bound the
    /// metric whose label values are all "other" is returned. Precondition:
    /// as many values as label names. Thread safe.
    Metric& with(const std::vector<std::string>& values)
    {
        assert(values.size() == m_options.label_names.size());
        {
            const std::shared_lock lock(m_mutex);
            const auto found = m_metrics.find(values);
            if (found != m_metrics.end())
            {
                return found->second;
            }
        }
        const std::unique_lock lock(m_mutex);
        if (m_metrics.size() >= m_options.max_label_sets &&
            !m_metrics.contains(values))
        {
            return m_metrics[std::vector<std::string>(values.size(), "other")];
        }
        return m_metrics[values];
    }

    /// Appends all lines of the family. Thread safe.
    void render(std::string& out) const override
    {
        const std::shared_lock lock(m_mutex);
        append_header(out, m_options, Metric::type_name);
        for (const auto& [values, metric] : m_metrics)
        {
            append_samples(out, m_options,
                           label_text(m_options.label_names, values), metric);
        }
    }

private:
    const family_options m_options;
    mutable std::shared_mutex m_mutex;
    std::map<std::vector<std::string>, Metric> m_metrics;
};

} // namespace turmeric::metrics
