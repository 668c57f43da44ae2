#pragma once

#include "libraries/core/metrics/family.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace turmeric::metrics
{

/// Owns the families of one process and renders them. Thread safe.
class registry
{
public:
    /// The content type of `render`.
    static constexpr const char* content_type = "text/plain; version=0.0.4";

    /// Adds a family, which lives as long as the registry. Precondition: the
    /// name is not in use. Thread safe.
    template <class Metric>
    family<Metric>& make(family_options options)
    {
        auto made = std::make_unique<family<Metric>>(std::move(options));
        family<Metric>& reference = *made;
        const std::lock_guard lock(m_mutex);
        m_families.push_back(std::move(made));
        return reference;
    }

    /// Returns all families in the Prometheus text format. Thread safe.
    [[nodiscard]] std::string render() const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<family_base>> m_families;
};

} // namespace turmeric::metrics
