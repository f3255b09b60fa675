// Consumers give up at about the moment at which a long answer begins. What do the other consumers of the machine get?

#include "review/rig-2/rig.hh"

using namespace rig;

namespace
{
// Up to three times, for at most 5.5 s each, a fifth of the consumers leave: 12 of 60.
constexpr int Windows = 3;
constexpr int RoundsPerWindow = 5;
constexpr int Leaving = 12;
constexpr int Kept = 8;
constexpr int Staying = 40;
constexpr int LongWorkMs = 300;
constexpr int KeptWorkMs = 1500;
constexpr std::size_t LongBytes = 200'000;
// An answer may be late by so much before its connection counts as closed without one.
constexpr int AnswerLimitMs = 6000;

std::atomic<int> closedWithoutAnswer = 0;
std::atomic<int> answered = 0;
std::atomic<bool> isOver = false;
std::mutex arrivedMutex;
std::set<std::string> arrived;

bool hasArrived(const std::string &id)
{
    const std::scoped_lock lock(arrivedMutex);
    return arrived.contains(id);
}

void work(Machine &machine, const Message &request, Connection &connection)
{
    const std::string target = request.target();
    const std::string id = request.header(names::headers::RequestId);
    {
        const std::scoped_lock lock(arrivedMutex);
        arrived.insert(id);
    }
    if (target.starts_with("/z/")) {
        pause(KeptWorkMs);
        connection.write(Rig::signedAnswer(request, "issued"));
    } else if (target == "/a/long") {
        pause(LongWorkMs);
        connection.write(Rig::signedAnswer(request, std::string(LongBytes, 'x')));
    } else {
        connection.write(Rig::signedAnswer(request, "short"));
    }
    (void)machine;
}

// Keeps a connection and sends one request after the other that may run once only.
void keep(Rig &it, int number)
{
    for (int n = 0; !isOver; ++n) {
        Connection connection(it.machines[0]->ip, Rig::CallersPort);
        for (; !isOver && connection.isOpen(); ++n) {
            const std::string id = "kept-" + std::to_string(number) + "-" + std::to_string(n);
            if (!connection.write(Rig::head("POST", "/z/1", id, 5000, "Content-Length: 0\r\n"))) {
                break;
            }
            const std::optional<Message> answer = readMessage(connection, AnswerLimitMs);
            if (answer) {
                ++answered;
                it.record.line("answered " + id + " " + std::to_string(answer->status()));
                continue;
            }
            const bool isPassedOn = hasArrived(id);
            it.record.line("closed without an answer " + id + (isPassedOn ? ", its upstream is at work on it" : ", not passed on"));
            closedWithoutAnswer += isPassedOn ? 1 : 0;
            break;
        }
        pause(50);
    }
}

// Keeps a connection and looks something up now and then.
void stay(Rig &it, int number)
{
    for (int n = 0; !isOver; ++n) {
        Connection connection(it.machines[0]->ip, Rig::CallersPort);
        while (!isOver && connection.isOpen()) {
            connection.write(Rig::head("GET", "/a/short", "stay-" + std::to_string(number) + "-" + std::to_string(++n), 5000));
            if (!readMessage(connection, AnswerLimitMs)) {
                break;
            }
            pause(200);
        }
        pause(200);
    }
}

// Sends two requests that may be repeated, the second one before the first has been answered, and leaves while the second one waits.
void leave(Rig &it, int round, int number, bool isTroubled)
{
    Connection connection(it.machines[0]->ip, Rig::CallersPort);
    const std::string id = "left-" + std::to_string(round) + "-" + std::to_string(number);
    connection.write(Rig::head("GET", "/a/short", id + "-a", 5000) + Rig::head("GET", "/a/long", id + "-b", 5000));
    if (!isTroubled) {
        const std::optional<Message> first = readMessage(connection, AnswerLimitMs);
        const std::optional<Message> second = readMessage(connection, AnswerLimitMs);
        it.record.line("stayed " + id + " " + std::to_string(first ? first->status() : 0) + " " + std::to_string(second ? second->body.size() : 0));
        return;
    }
    std::this_thread::sleep_for(Milliseconds(LongWorkMs) + std::chrono::microseconds(500 * (number % 12)));
    connection.end();
    it.record.line("left " + id);
}
} // namespace

int main()
{
    return runCase([] {
        Rig it({{"archiv", 104}, {"zertifikat", 104}}, work);
        it.publish({{"/a/", "archiv", std::string(names::values::Safe)}, {"/z/", "zertifikat", std::string(names::values::Unsafe)}});
        it.startAll();
        std::vector<std::thread> others;
        for (int n = 0; n < Kept; ++n) {
            others.emplace_back([&it, n] { keep(it, n); });
        }
        for (int n = 0; n < Staying; ++n) {
            others.emplace_back([&it, n] { stay(it, n); });
        }
        pause(4000);
        int status = 0;
        bool hasEnded = false;
        for (int window = 0; window < Windows && !hasEnded; ++window) {
            const Clock::time_point begin = Clock::now();
            for (int round = 0; round < RoundsPerWindow && !hasEnded; ++round) {
                std::vector<std::thread> leaving;
                for (int n = 0; n < Leaving; ++n) {
                    leaving.emplace_back([&it, window, round, n] { leave(it, window * RoundsPerWindow + round, n, isTroubled()); });
                }
                for (std::thread &thread : leaving) {
                    thread.join();
                }
                pause(600);
                hasEnded = it.hasEnded(0, status);
            }
            it.record.line("some consumers left, for " + std::to_string(std::chrono::duration_cast<Milliseconds>(Clock::now() - begin).count()) + " ms");
            pause(hasEnded ? 0 : 4000);
        }
        pause(300);
        isOver = true;
        for (std::thread &thread : others) {
            thread.join();
        }
        if (hasEnded) {
            it.record.line("the process of " + it.machines[0]->name + " ended by itself, "
                           + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "status " + std::to_string(WEXITSTATUS(status))));
            it.record.line("its last log lines: " + it.logOf(0).substr(std::max<std::size_t>(it.logOf(0).size(), 600) - 600));
        }
        it.record.line("answered " + std::to_string(answered) + ", closed without an answer though passed on: " + std::to_string(closedWithoutAnswer));
        return closedWithoutAnswer > 3;
    });
}
