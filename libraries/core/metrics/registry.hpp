#pragma once

#include "libraries/core/metrics/family.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace turmeric::metrics
{

/// Owns the metric families of one process and renders them. Thread safe;
/// takes no locks.
class registry
{
public:
    /// The content type of the text that `render` returns.
    static constexpr const char* content_type = "text/plain; version=0.0.4";

    registry() = default;
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;
    ~registry();

    /// Adds a family, which lives as long as the registry. Precondition: no
    /// family has its name yet. Thread safe.
    template <class Metric>
    family<Metric>& make(family_options options)
    {
        auto new_family = std::make_unique<family<Metric>>(std::move(options));
        family<Metric>& reference = *new_family;
        add(std::move(new_family));
        return reference;
    }

    /// Returns all families in the Prometheus text format, in the order in
    /// which they were added. Thread safe.
    [[nodiscard]] std::string render() const;

private:
    struct entry
    {
        std::unique_ptr<family_base> owned;
        entry* next = nullptr;
    };

    void add(std::unique_ptr<family_base> new_family);

    /// Head of a linked list of the families, newest first.
    std::atomic<entry*> m_newest{nullptr};
};

} // namespace turmeric::metrics
