#pragma once

// A real process under test: its output by line, signals, and its end.
//
//   Process node({"bin/banyankeel-node", "node.yaml"});
//   node.waitForLine("event=serving", 10s);
//   node.signal(SIGKILL);

#include "state/time.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace banyankeel::testing
{

/// Starts a program and reads what it prints. The destructor ends it. Functions may be called from any thread.
class Process
{
public:
    /// @throws Error if the program can't be started.
    explicit Process(std::vector<std::string> command);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Waits until a line that contains @p text was printed, now or before, and returns the first such line.
    /// @throws Error after @p limit, or when the process ended without one.
    std::string waitForLine(std::string_view text, Duration limit);
    /// The lines printed so far.
    [[nodiscard]] std::vector<std::string> lines() const;

    void signal(int number) const;
    /// Waits for the end and returns the exit status; 128 + signal when a signal ended it.
    /// @throws Error after @p limit.
    int waitForExit(Duration limit);
    [[nodiscard]] bool isRunning();
    [[nodiscard]] pid_t id() const
    {
        return m_id;
    }

private:
    void readOutput(int descriptor);
    bool reap(bool waits);

    std::string m_name;
    pid_t m_id = -1;
    std::optional<int> m_status;
    std::thread m_reader;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    bool m_isOutputEnded = false;
};

} // namespace banyankeel::testing
