#include "testing/fleet/process.h"

#include "state/errors.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>

namespace banyankeel::testing
{

namespace
{
using namespace std::chrono_literals;

constexpr Duration PollInterval = 5ms;
constexpr int SignalStatusBase = 128;

pid_t spawn(const std::vector<std::string> &command, int output)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &it : command) {
        arguments.push_back(const_cast<char *>(it.c_str()));
    }
    arguments.push_back(nullptr);
    pid_t id = -1;
    const int ec = posix_spawn(&id, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        throw Error(command.front() + ": can't be started: " + std::strerror(ec));
    }
    return id;
}
} // namespace

Process::Process(std::vector<std::string> command)
    : m_name(command.front())
{
    std::array<int, 2> pipeEnds{};
    if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0) {
        throw Error(m_name + ": no pipe for its output");
    }
    try {
        m_id = spawn(command, pipeEnds[1]);
    } catch (...) {
        close(pipeEnds[0]);
        close(pipeEnds[1]);
        throw;
    }
    close(pipeEnds[1]);
    m_reader = std::thread([this, descriptor = pipeEnds[0]] { readOutput(descriptor); });
}

Process::~Process()
{
    if (isRunning()) {
        // A stopped process takes no other signal.
        kill(m_id, SIGCONT);
        kill(m_id, SIGKILL);
        reap(true);
    }
    m_reader.join();
}

void Process::readOutput(int descriptor)
{
    std::array<char, 4096> buf{};
    std::string rest;
    ssize_t n = 0;
    while ((n = read(descriptor, buf.data(), buf.size())) > 0) {
        rest.append(buf.data(), static_cast<std::size_t>(n));
        const std::lock_guard lock(m_mutex);
        std::size_t end = 0;
        while ((end = rest.find('\n')) != std::string::npos) {
            m_lines.push_back(rest.substr(0, end));
            rest.erase(0, end + 1);
        }
        m_changed.notify_all();
    }
    close(descriptor);
    const std::lock_guard lock(m_mutex);
    m_isOutputEnded = true;
    m_changed.notify_all();
}

std::string Process::waitForLine(std::string_view text, Duration limit)
{
    std::unique_lock lock(m_mutex);
    std::size_t seen = 0;
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (true) {
        for (; seen < m_lines.size(); ++seen) {
            if (m_lines[seen].find(text) != std::string::npos) {
                return m_lines[seen];
            }
        }
        if (m_isOutputEnded || m_changed.wait_until(lock, deadline) == std::cv_status::timeout) {
            const std::string last = m_lines.empty() ? "" : m_lines.back();
            throw Error(m_name + ": no line with '" + std::string(text) + "'; the last one was: " + last);
        }
    }
}

std::vector<std::string> Process::lines() const
{
    const std::lock_guard lock(m_mutex);
    return m_lines;
}

void Process::signal(int number) const
{
    kill(m_id, number);
}

bool Process::reap(bool waits)
{
    if (m_status) {
        return true;
    }
    int status = 0;
    if (waitpid(m_id, &status, waits ? 0 : WNOHANG) != m_id) {
        return false;
    }
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : SignalStatusBase + WTERMSIG(status);
    return true;
}

int Process::waitForExit(Duration limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!reap(false)) {
        if (std::chrono::steady_clock::now() >= deadline) {
            throw Error(m_name + ": has not ended within the limit");
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return *m_status;
}

bool Process::isRunning()
{
    return !reap(false);
}

} // namespace banyankeel::testing
