#include <CppUTest/CommandLineTestRunner.h>

#include <csignal>

int main(int argc, char** argv)
{
    // A write to a socket that the peer has closed must not end the program.
    std::signal(SIGPIPE, SIG_IGN);
    // The sanitizer builds detect leaks; CppUTest's own detector reports false
    // leaks for objects that RapidCheck caches.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
