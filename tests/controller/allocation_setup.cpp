#include <CppUTest/CommandLineTestRunner.h>

namespace
{

/// Discards the allocations that CppUTest's leak detector recorded while the
/// shared libraries were loaded. Protobuf allocates at that time and frees
/// after `main` has turned the detector off, so the detector's table would keep
/// entries of freed memory.
struct allocation_setup
{
    allocation_setup()
    {
        MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
        MemoryLeakWarningPlugin::destroyGlobalDetector();
    }
};

const allocation_setup setup;

} // namespace
