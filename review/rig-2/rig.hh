#pragma once

// What the cases of this review share: a small store, upstreams that say that they live, processes of the project, and connections of consumers.
// All on addresses of this machine's loopback, with one address a machine.
//
//   Rig rig({{"alfa"}, {"beta"}});
//   rig.publish({{"/b/", "beta", "safe"}});
//   rig.startAll();

#include "platform/names.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rig
{
namespace names = banyankeel::platform;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// The case can't run on this machine.
struct CantRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline void pause(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

inline bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// What was sent, answered and run, in the order in which it was seen.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_begin(Clock::now())
    {
    }
    void line(const std::string &text)
    {
        const std::scoped_lock lock(m_mutex);
        const double t = std::chrono::duration<double>(Clock::now() - m_begin).count();
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", t);
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_begin;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenAt(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(fd, 1024) != 0) {
        close(fd);
        throw CantRun("the address " + ip + ":" + std::to_string(port) + " can't be used");
    }
    return fd;
}

// One connection, blocking, with time limits.
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int yes = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    }
    Connection(const std::string &ip, int port)
        : Connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = addressOf(ip, port);
        m_isOpen = connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection()
    {
        end();
    }
    [[nodiscard]] bool isOpen() const
    {
        return m_isOpen;
    }
    // Whether a peer that has not answered yet has closed the connection.
    [[nodiscard]] bool isClosedByPeer() const
    {
        pollfd it{m_fd, POLLIN | POLLRDHUP, 0};
        if (poll(&it, 1, 0) <= 0) {
            return false;
        }
        return (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    bool write(const std::string &bytes)
    {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            at += static_cast<std::size_t>(n);
        }
        return true;
    }
    // Reads up to and with @p end. Empty if the connection ends before, or after the time limit.
    std::string readUntil(const std::string &end, int limitMs)
    {
        const Clock::time_point until = Clock::now() + Milliseconds(limitMs);
        std::size_t found;
        while ((found = m_buffer.find(end)) == std::string::npos) {
            if (!fill(until)) {
                return {};
            }
        }
        return take(found + end.size());
    }
    // Reads @p bytes, or what came before the end.
    std::string read(std::size_t bytes, int limitMs)
    {
        const Clock::time_point until = Clock::now() + Milliseconds(limitMs);
        while (m_buffer.size() < bytes && fill(until)) {
        }
        return take(std::min(bytes, m_buffer.size()));
    }
    [[nodiscard]] bool hasEnded() const
    {
        return m_hasEnded;
    }
    void end()
    {
        if (m_fd >= 0) {
            close(m_fd);
            m_fd = -1;
        }
    }
    void shutDown()
    {
        shutdown(m_fd, SHUT_RDWR);
    }

private:
    bool fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        pollfd it{m_fd, POLLIN, 0};
        if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[65536];
        const ssize_t n = recv(m_fd, bytes, sizeof(bytes), 0);
        if (n <= 0) {
            m_hasEnded = true;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    std::string take(std::size_t bytes)
    {
        std::string found = m_buffer.substr(0, bytes);
        m_buffer.erase(0, bytes);
        return found;
    }

    int m_fd;
    bool m_isOpen = true;
    bool m_hasEnded = false;
    std::string m_buffer;
};

struct Message {
    std::string head;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const
    {
        const std::string begin = "\r\n" + std::string(name) + ": ";
        const std::size_t at = head.find(begin);
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t from = at + begin.size();
        return head.substr(from, head.find("\r\n", from) - from);
    }
    [[nodiscard]] std::string method() const
    {
        return head.substr(0, head.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const std::size_t from = head.find(' ') + 1;
        return head.substr(from, head.find(' ', from) - from);
    }
    [[nodiscard]] int status() const
    {
        return head.size() < 12 ? 0 : std::atoi(head.c_str() + 9);
    }
};

// Reads one message with a length. Absent if the connection ends before its end, or after the time limit.
inline std::optional<Message> readMessage(Connection &connection, int limitMs)
{
    Message message;
    message.head = connection.readUntil("\r\n\r\n", limitMs);
    if (message.head.empty()) {
        return std::nullopt;
    }
    const std::string length = message.header("Content-Length");
    const std::size_t bytes = length.empty() ? 0 : static_cast<std::size_t>(std::atoll(length.c_str()));
    message.body = connection.read(bytes, limitMs);
    return message.body.size() == bytes ? std::optional(message) : std::nullopt;
}

// Accepts connections, each served by a thread, until it ends.
class Server
{
public:
    using Serve = std::function<void(Connection &)>;

    Server(const std::string &ip, int port, Serve serve)
        : m_fd(listenAt(ip, port))
        , m_serve(std::move(serve))
        , m_thread([this] { accept(); })
    {
    }
    ~Server()
    {
        m_isStopped = true;
        shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        close(m_fd);
        {
            const std::scoped_lock lock(m_mutex);
            for (const auto &it : m_connections) {
                it->shutDown();
            }
        }
        for (std::thread &it : m_threads) {
            it.join();
        }
    }

private:
    void accept()
    {
        while (!m_isStopped) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_isStopped) {
                    return;
                }
                continue;
            }
            auto connection = std::make_shared<Connection>(fd);
            const std::scoped_lock lock(m_mutex);
            m_connections.push_back(connection);
            m_threads.emplace_back([this, connection] {
                m_serve(*connection);
                const std::scoped_lock ended(m_mutex);
                std::erase(m_connections, connection);
                connection->end();
            });
        }
    }

    int m_fd;
    Serve m_serve;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::deque<std::thread> m_threads;
    std::thread m_thread;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = (value << 8U) | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += n + k > bytes.size() ? '=' : digits[(value >> (18 - 6 * k)) & 63U];
        }
    }
    return text;
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> found;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        std::string value;
        for (std::size_t n = pair.find('=') + 1; n < pair.size(); ++n) {
            if (pair[n] == '%') {
                value += static_cast<char>(std::strtol(pair.substr(n + 1, 2).c_str(), nullptr, 16));
                n += 2;
            } else {
                value += pair[n];
            }
        }
        found[pair.substr(0, pair.find('='))] = value;
        at = end;
    }
    return found;
}

// The platform's store: rows with one counter, reads, writes and the feed.
class Store
{
public:
    Store(const std::string &ip, int port)
        : m_server(ip, port, [this](Connection &it) { serve(it); })
    {
    }
    ~Store()
    {
        stop();
    }
    void stop()
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopped = true;
        m_changed.notify_all();
    }
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::scoped_lock lock(m_mutex);
        m_rows[{table, key}] = {value, ++m_newest};
        m_changed.notify_all();
    }
    // How long each call takes.
    void setDelay(int milliseconds)
    {
        m_delay = milliseconds;
    }
    std::vector<std::string> keysOf(const std::string &table)
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<std::string> found;
        for (const auto &[at, row] : m_rows) {
            if (at.first == table) {
                found.push_back(at.second);
            }
        }
        return found;
    }

private:
    using Json = nlohmann::json;
    struct Row {
        std::string value;
        std::uint64_t version = 0;
    };

    void serve(Connection &connection)
    {
        while (const std::optional<Message> request = readMessage(connection, 600'000)) {
            pause(m_delay);
            if (!connection.write(answerTo(*request))) {
                return;
            }
        }
    }
    std::string answerTo(const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        std::unique_lock lock(m_mutex);
        if (path == names::paths::RowsGet) {
            return answer(200, rows(queryOf(target)));
        }
        if (path == names::paths::RowsFeed) {
            const auto query = queryOf(target);
            const std::uint64_t after = std::strtoull(query.at(names::fields::After).c_str(), nullptr, 10);
            const auto has = [&] {
                return m_isStopped || std::ranges::any_of(m_rows, [&](const auto &it) {
                    return it.first.first == query.at(names::fields::Table) && it.second.version > after;
                });
            };
            m_changed.wait_for(lock, Milliseconds(std::atoi(query.at(names::fields::WaitMs).c_str())), has);
            return answer(200, changes(query.at(names::fields::Table), after));
        }
        if (path == names::paths::RowsTransaction) {
            return write(Json::parse(request.body));
        }
        return response(404, "", "");
    }
    std::string answer(int status, Json body)
    {
        body["now"] = std::to_string(std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count()) + "ms";
        body[names::fields::RowVersion] = m_newest;
        return response(status, "Content-Type: application/json\r\n", body.dump());
    }
    static Json rowOf(const std::pair<std::string, std::string> &at, const Row &row)
    {
        return {{names::fields::Table, at.first},
                {names::fields::Part, ""},
                {names::fields::Key, at.second},
                {names::fields::Value, row.value},
                {names::fields::RowVersion, row.version}};
    }
    Json rows(const std::map<std::string, std::string> &query)
    {
        const auto get = [&query](const char *name) { return query.contains(name) ? query.at(name) : std::string(); };
        const std::string end = get(names::fields::RangeEnd);
        // The page allows 500 rows an answer.
        const std::string limit = get(names::fields::RowLimit);
        const std::size_t most = std::min<std::size_t>(limit.empty() ? 500 : static_cast<std::size_t>(std::atoi(limit.c_str())), 500);
        Json found = Json::array();
        bool hasMore = false;
        for (const auto &[at, row] : m_rows) {
            if (at.first == get(names::fields::Table) && at.second >= get(names::fields::RangeStart) && (end.empty() || at.second < end)) {
                hasMore = found.size() >= most;
                if (hasMore) {
                    break;
                }
                found.push_back(rowOf(at, row));
            }
        }
        return {{names::fields::Rows, found}, {"hasMore", hasMore}};
    }
    Json changes(const std::string &table, std::uint64_t after)
    {
        std::map<std::uint64_t, Json> ordered;
        for (const auto &[at, row] : m_rows) {
            if (at.first == table && row.version > after) {
                ordered[row.version] = rowOf(at, row);
            }
        }
        Json found = Json::array();
        for (auto &[version, row] : ordered) {
            found.push_back(row);
        }
        return {{names::fields::Rows, found}};
    }
    std::string write(const Json &request)
    {
        const auto at = [](const Json &it) {
            return std::pair(it.at(names::fields::Table).get<std::string>(), it.at(names::fields::Key).get<std::string>());
        };
        for (const Json &it : request.at(names::fields::ExpectedRows)) {
            const auto known = m_rows.find(at(it));
            if ((known == m_rows.end() ? 0 : known->second.version) != it.at(names::fields::RowVersion).get<std::uint64_t>()) {
                return answer(412, {{names::fields::Rows, Json::array()}});
            }
        }
        ++m_newest;
        for (const Json &it : request.at(names::fields::Writes)) {
            m_rows[at(it)] = {it.at(names::fields::Value).get<std::string>(), m_newest};
        }
        for (const Json &it : request.at(names::fields::Removals)) {
            m_rows.erase(at(it));
        }
        m_changed.notify_all();
        return answer(200, Json::object());
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    std::uint64_t m_newest = 0;
    bool m_isStopped = false;
    std::atomic<int> m_delay = 2;
    Server m_server;
};

struct MachineSettings {
    std::string service;
    int slots = 40;
    std::string zone = "muc-a";
    std::string region = "muc";
};

struct TenantSettings {
    std::string name;
    std::vector<std::string> keys;
};

struct RouteSettings {
    std::string prefix;
    std::string service;
    std::string kind;
    int timeoutMs = 5000;
    int maxAttempts = 2;
};

// A machine: an upstream and the process of the system beside it.
struct Machine {
    MachineSettings settings;
    std::string ip;
    std::string name;
    std::string id;
    std::string folder;
    std::uint64_t sequence = 0;
    long long born = 0;
    std::unique_ptr<Server> upstream;
    pid_t pid = -1;
    int starts = 0;
};

class Rig
{
public:
    // Answers a request at the upstream of a machine. The connection is that of the node.
    using Handler = std::function<void(Machine &, const Message &, Connection &)>;

    static constexpr int ApplicationPort = 9001;
    static constexpr int CallersPort = 9002;
    static constexpr int ReadyPort = 9003;
    static constexpr int ReportsPort = 9004;
    static constexpr int PeersPort = 9010;
    static constexpr int StorePort = 9020;
    static constexpr const char *Host = "a.example";
    static constexpr const char *ApiKey = "key-of-the-carrier";

    Rig(std::vector<MachineSettings> machines, Handler handler, const std::string &recordPath = "record.txt")
        : record(recordPath)
        , m_handler(std::move(handler))
    {
        signal(SIGPIPE, SIG_IGN);
        const char *root = std::getenv("REVIEW_ROOT");
        m_root = root == nullptr ? "." : root;
        char folder[] = "/tmp/banyankeel-review-XXXXXX";
        if (mkdtemp(folder) == nullptr) {
            throw CantRun("no temporary folder");
        }
        m_folder = folder;
        const unsigned pid = static_cast<unsigned>(getpid());
        const auto ipOf = [pid](std::size_t n) {
            return "127." + std::to_string(60 + n) + "." + std::to_string((pid >> 8U) & 0xffU) + "." + std::to_string(1 + (pid & 0xffU) % 254);
        };
        m_storeIp = ipOf(machines.size());
        store = std::make_unique<Store>(m_storeIp, StorePort);
        for (std::size_t n = 0; n < machines.size(); ++n) {
            auto machine = std::make_unique<Machine>();
            machine->settings = machines[n];
            machine->ip = ipOf(n);
            machine->name = "sidecar-" + std::to_string(n);
            machine->id = "i-" + std::to_string(n) + "-1";
            machine->folder = m_folder + "/" + std::to_string(n);
            std::filesystem::create_directories(machine->folder);
            machine->born = wallMs();
            Machine &it = *machine;
            machine->upstream = std::make_unique<Server>(machine->ip, ApplicationPort, [this, &it](Connection &connection) { serveUpstream(it, connection); });
            this->machines.push_back(std::move(machine));
        }
    }
    ~Rig()
    {
        stopBeats();
        for (const auto &it : machines) {
            if (it->pid > 0) {
                ::kill(it->pid, SIGCONT);
                ::kill(it->pid, SIGKILL);
                waitpid(it->pid, nullptr, 0);
            }
        }
        store->stop();
        for (const auto &it : machines) {
            it->upstream.reset();
        }
        store.reset();
        if (std::getenv("REVIEW_KEEP") == nullptr) {
            std::filesystem::remove_all(m_folder);
        }
    }

    static long long wallMs()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    // Publishes the first configuration, or a next one.
    void publish(const std::vector<RouteSettings> &routes, const std::vector<TenantSettings> &tenants = {{"carrier", {ApiKey}}})
    {
        using Json = nlohmann::json;
        namespace f = names::fields;
        Json paths = Json::array();
        for (const RouteSettings &it : routes) {
            paths.push_back({{f::Name, "r" + std::to_string(paths.size())},
                             {f::Prefix, it.prefix},
                             {f::Kind, it.kind},
                             {f::TimeLimit, std::to_string(it.timeoutMs) + "ms"},
                             {f::TargetLatency, "1500ms"},
                             {f::Priority, 1},
                             {f::Service, it.service},
                             {f::MaxAttempts, it.maxAttempts},
                             {f::Anonymous, false}});
        }
        std::set<std::string> known;
        Json services = Json::array();
        for (const auto &it : machines) {
            if (known.insert(it->settings.service).second) {
                services.push_back({{f::Name, it->settings.service}, {f::HealthPath, "/health"}, {f::Connections, 700}});
            }
        }
        Json organisations = Json::array();
        for (const TenantSettings &it : tenants) {
            organisations.push_back({{f::Name, it.name}, {f::Keys, it.keys}, {f::Priority, 1}});
        }
        const Json document{
            {f::Version, "r" + std::to_string(++m_version)},
            {f::Services, services},
            {f::Limits, {{f::HeaderBytes, 16384}, {f::BodyBytes, 67108864}, {f::HeaderTime, "3000ms"}, {f::IdleTime, "15000ms"}}},
            {f::Organisations, organisations},
            {f::Hosts, {{{f::Host, Host}, {f::Routes, paths}}}},
        };
        store->put(std::string(names::OperatorTable), std::string(names::ConfigurationKey), base64(document.dump()));
    }

    void start(std::size_t n)
    {
        Machine &it = *machines[n];
        const std::string settings = it.folder + "/boot.json";
        std::ofstream(settings) << settingsOf(it).dump();
        const std::string log = it.folder + "/log-" + std::to_string(++it.starts) + ".txt";
        const std::string program = std::filesystem::absolute(m_root + "/target/bin/banyankeel-mesh");
        if (access(program.c_str(), X_OK) != 0) {
            throw CantRun("the program of the deploy file is not built");
        }
        const std::string variable = std::string(names::SettingsVariable) + "=" + settings;
        const pid_t pid = fork();
        if (pid == 0) {
            // It must not outlive this program, whatever ends it.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
            dup2(out, 1);
            dup2(out, 2);
            if (chdir(m_root.c_str()) != 0) {
                _exit(126);
            }
            char *arguments[] = {const_cast<char *>(program.c_str()), nullptr};
            char secret[] = "FLEET_SECRET=a-secret-of-the-review";
            char *environment[] = {const_cast<char *>(variable.c_str()), secret, nullptr};
            execve(program.c_str(), arguments, environment);
            _exit(127);
        }
        it.pid = pid;
        record.line("start " + it.name);
    }

    // Starts all processes and waits until each is ready and each upstream is reached.
    void startAll()
    {
        for (std::size_t n = 0; n < machines.size(); ++n) {
            start(n);
        }
        startBeats();
        for (std::size_t n = 0; n < machines.size(); ++n) {
            waitReady(n);
        }
        pause(1500);
    }
    void waitReady(std::size_t n)
    {
        for (int tries = 0; tries < 200; ++tries) {
            if (isReady(n)) {
                return;
            }
            pause(50);
        }
        throw CantRun(machines[n]->name + " is not ready after 10 s");
    }
    bool isReady(std::size_t n)
    {
        Connection connection(machines[n]->ip, ReadyPort);
        if (!connection.isOpen()) {
            return false;
        }
        connection.write("GET " + std::string(names::paths::Readiness) + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        const std::optional<Message> answer = readMessage(connection, 1000);
        return answer && answer->status() == 200;
    }

    // Says of the upstream of machine @p n that it lives, or leaves. Returns the status.
    int beat(std::size_t n, std::string_view state)
    {
        using Json = nlohmann::json;
        namespace f = names::fields;
        Machine &it = *machines[n];
        std::string id;
        Json body;
        {
            const std::scoped_lock lock(m_beatMutex);
            id = it.id;
            body = {{f::Address, it.ip + ":" + std::to_string(ApplicationPort)},
                    {f::StartedAt, it.born},
                    {f::Information, {{f::Service, it.settings.service}, {"version", "v1"}, {f::Zone, it.settings.zone}, {f::Slots, it.settings.slots}}},
                    {f::Status, {{f::State, state}, {f::Sequence, ++it.sequence}, {f::ColdTime, "0ms"}}}};
        }
        return report(n, "PUT", id, body.dump());
    }
    int report(std::size_t n, const std::string &method, const std::string &id, const std::string &body)
    {
        Connection connection(machines[n]->ip, ReportsPort);
        if (!connection.isOpen()) {
            return 0;
        }
        connection.write(method + " " + std::string(names::paths::Targets) + id
                         + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                         + "\r\n\r\n" + body);
        const std::optional<Message> answer = readMessage(connection, 1000);
        return answer ? answer->status() : 0;
    }
    // Adds a machine whose process is not started yet, and which is gone again before its upstream is there.
    std::size_t addPassing(const MachineSettings &settings, const std::string &ip, const std::string &name)
    {
        auto machine = std::make_unique<Machine>();
        machine->settings = settings;
        machine->ip = ip;
        machine->name = name;
        machine->id = "i-" + name;
        machine->folder = m_folder + "/" + name;
        std::filesystem::create_directories(machine->folder);
        machines.push_back(std::move(machine));
        return machines.size() - 1;
    }
    void killNode(std::size_t n)
    {
        ::kill(machines[n]->pid, SIGKILL);
        waitpid(machines[n]->pid, nullptr, 0);
        machines[n]->pid = -1;
    }
    void startBeats()
    {
        // Machines that are added later have no upstream.
        m_beats = std::thread([this, count = machines.size()] {
            while (!m_isStopped) {
                for (std::size_t n = 0; n < count && !m_isStopped; ++n) {
                    if (!isSilent(n)) {
                        beat(n, names::values::Ready);
                    }
                }
                for (int k = 0; k < 15 && !m_isStopped; ++k) {
                    pause(100);
                }
            }
        });
    }
    void stopBeats()
    {
        m_isStopped = true;
        if (m_beats.joinable()) {
            m_beats.join();
        }
    }
    // From now on the regular beats of machine @p n are sent, or not.
    void setSilent(std::size_t n, bool isSilent)
    {
        const std::scoped_lock lock(m_beatMutex);
        isSilent ? void(m_silent.insert(n)) : void(m_silent.erase(n));
    }
    bool isSilent(std::size_t n)
    {
        const std::scoped_lock lock(m_beatMutex);
        return m_silent.contains(n);
    }
    // The upstream of machine @p n is a new one from now on.
    void renewUpstream(std::size_t n, const std::string &id)
    {
        const std::scoped_lock lock(m_beatMutex);
        Machine &it = *machines[n];
        it.id = id;
        it.sequence = 0;
        it.born = wallMs();
    }

    void signalNode(std::size_t n, int number)
    {
        record.line("signal " + std::to_string(number) + " to " + machines[n]->name);
        ::kill(machines[n]->pid, number);
    }
    // Whether the process of machine @p n has ended; @p status gets its end as waitpid() tells it.
    bool hasEnded(std::size_t n, int &status)
    {
        Machine &it = *machines[n];
        if (it.pid > 0 && waitpid(it.pid, &status, WNOHANG) == it.pid) {
            it.pid = -1;
            return true;
        }
        return it.pid < 0;
    }
    std::string logOf(std::size_t n) const
    {
        const Machine &it = *machines[n];
        std::ifstream file(it.folder + "/log-" + std::to_string(it.starts) + ".txt");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    static std::string head(const std::string &method,
                            const std::string &path,
                            const std::string &id,
                            int remainingMs,
                            const std::string &more = {},
                            const std::string &key = ApiKey)
    {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Host + "\r\n" + std::string(names::headers::RequestId) + ": " + id + "\r\n"
            + std::string(names::headers::RemainingTime) + ": " + std::to_string(remainingMs) + "\r\n" + std::string(names::headers::Authorization) + ": "
            + std::string(names::headers::AuthorizationScheme) + key + "\r\n" + more + "\r\n";
    }
    // The answer of an upstream to the request.
    static std::string signedAnswer(const Message &request, const std::string &body, const std::string &more = {})
    {
        return response(200,
                        std::string(names::headers::RequestId) + ": " + request.header(names::headers::RequestId) + "\r\n"
                            + std::string(names::headers::TargetSignature) + ": s1\r\n" + more,
                        body);
    }

    Record record;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Machine>> machines;

private:
    nlohmann::json settingsOf(const Machine &it) const
    {
        namespace f = names::fields;
        const auto at = [&it](int port) { return it.ip + ":" + std::to_string(port); };
        return {
            {f::Node, it.name},
            {"role", "node"},
            {"machineClass", "sidecar"},
            {"serves", {"sidecar"}},
            {f::HostAddress, it.ip},
            {f::Zone, it.settings.zone},
            {f::Region, it.settings.region},
            {f::Listen, {{f::CallerAddress, at(CallersPort)}, {"inbound", at(9005)}, {f::ReadinessAddress, at(ReadyPort)}, {f::ReportAddress, at(ReportsPort)}}},
            {f::PeerPorts, {PeersPort, PeersPort + 5}},
            {"bootstrap", true},
            {f::Limits, {{"cpuShare", 0.4}, {"cores", 1}, {f::MemoryMegabytes, 260}, {f::Descriptors, 4100}, {"linkMbps", 1000.0}, {"diskMb", 0}}},
            {"heartbeatInterval", "1500ms"},
            {f::Bounds,
             {"contactWindow=3000ms",
              "drainTimeout=2000ms",
              "gracePeriod=6s",
              "lossSlack=200ms",
              "configPropagation=2000ms",
              "retryBudgetRatio=0.2",
              "retryWindow=10s",
              "retryBudgetSlack=48",
              "quotaWindow=5s",
              "quotaOvershoot=0.1",
              "quotaSlack=20"}},
            {f::TargetAddress, at(ApplicationPort)},
            {f::Service, it.settings.service},
            {f::Store, {{f::Address, m_storeIp + ":" + std::to_string(StorePort)}, {"form", "table"}}},
        };
    }
    void serveUpstream(Machine &machine, Connection &connection)
    {
        while (const std::optional<Message> request = readMessage(connection, 600'000)) {
            std::string id;
            {
                const std::scoped_lock lock(m_beatMutex);
                id = machine.id;
            }
            if (request->target() == "/health") {
                connection.write(response(200, std::string(names::headers::TargetName) + ": " + id + "\r\n", ""));
                continue;
            }
            const std::string expected = request->header(names::headers::ExpectedTarget);
            if (!expected.empty() && expected != id) {
                connection.write(response(421, std::string(names::headers::TargetName) + ": " + id + "\r\n", ""));
                continue;
            }
            m_handler(machine, *request, connection);
        }
    }

    Handler m_handler;
    std::string m_root;
    std::string m_folder;
    std::string m_storeIp;
    unsigned m_version = 0;
    std::thread m_beats;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_beatMutex;
    std::set<std::size_t> m_silent;
};

// Runs a case. @param body returns whether the rule was broken.
inline int runCase(const std::function<bool()> &body)
{
    try {
        const bool isBroken = body();
        std::puts(isBroken ? "BROKEN" : "held");
        return isBroken ? 1 : 0;
    } catch (const std::exception &it) {
        std::printf("can't run: %s\n", it.what());
        return 2;
    }
}

} // namespace rig
