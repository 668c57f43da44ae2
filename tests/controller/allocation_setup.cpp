#include <CppUTest/CommandLineTestRunner.h>

namespace
{

/// Forgets what CppUTest's leak detector noted while the shared libraries
/// were loaded. Protobuf allocates then and frees later, after `main` has
/// turned the detector off, which would leave its table with freed entries.
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
