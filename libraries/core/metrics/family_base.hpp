#pragma once

#include <string>

namespace turmeric::metrics
{

/// The interface through which a registry uses a family. Implementations are
/// thread safe.
class family_base
{
public:
    family_base() = default;
    family_base(const family_base&) = delete;
    family_base& operator=(const family_base&) = delete;
    virtual ~family_base() = default;

    /// Appends the family in the Prometheus text format. Thread safe.
    virtual void render(std::string& out) const = 0;
};

} // namespace turmeric::metrics
