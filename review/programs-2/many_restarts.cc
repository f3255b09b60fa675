// One machine is stopped as planned and started again more often than a list of departures has room for, while another machine goes on.

#include "review/rig-2/rig.hh"

using namespace rig;

namespace
{
constexpr int Kept = 8;
constexpr int Restarts = 16;
constexpr int FewRestarts = 2;
constexpr int DrainMs = 2050;
constexpr int StopLimitMs = 8000;
constexpr int LongWorkMs = 1500;
constexpr std::size_t LongBytes = 200'000;
constexpr int AnswerLimitMs = 6000;
constexpr int ContactWindowMs = 3000;
constexpr int ObservedMs = 3000;

std::atomic<int> closedWithoutAnswer = 0;
std::atomic<int> answered = 0;
std::atomic<int> failed = 0;
std::atomic<bool> isOver = false;
std::mutex arrivedMutex;
std::set<std::string> arrived;

bool hasArrived(const std::string &id)
{
    const std::scoped_lock lock(arrivedMutex);
    return arrived.contains(id);
}

// Answers the first part at once and the rest after its work.
void work(Machine &, const Message &request, Connection &connection)
{
    {
        const std::scoped_lock lock(arrivedMutex);
        arrived.insert(request.header(names::headers::RequestId));
    }
    const std::string answer = Rig::signedAnswer(request, std::string(LongBytes, 'x'));
    connection.write(answer.substr(0, answer.size() / 2));
    pause(LongWorkMs);
    connection.write(answer.substr(answer.size() / 2));
}

void keep(Rig &it, int number)
{
    for (int n = 0; !isOver; ++n) {
        Connection connection(it.machines[0]->ip, Rig::CallersPort);
        for (; !isOver && connection.isOpen(); ++n) {
            const std::string id = "long-" + std::to_string(number) + "-" + std::to_string(n);
            connection.write(Rig::head("GET", "/a/long", id, 5000));
            const std::optional<Message> answer = readMessage(connection, AnswerLimitMs);
            if (answer) {
                it.record.line("answered " + id + " " + std::to_string(answer->status()) + (hasArrived(id) ? ", arrived at its upstream" : ""));
                ++(answer->status() == 200 ? answered : failed);
                pause(answer->status() == 200 ? 0 : 500);
                continue;
            }
            it.record.line("closed without a whole answer " + id + (hasArrived(id) ? ", its upstream is at work on it" : ", not passed on"));
            closedWithoutAnswer += hasArrived(id) ? 1 : 0;
            break;
        }
        pause(200);
    }
}

// A planned stop of machine @p n and its next start: its upstream leaves and ends, then its process is stopped; both come back, the upstream anew.
void restart(Rig &it, std::size_t n, int number)
{
    it.setSilent(n, true);
    const std::string old = it.machines[n]->id;
    it.record.line("leaving of " + old + " acknowledged: " + std::to_string(it.beat(n, names::values::Draining)));
    pause(DrainMs);
    it.record.line("goodbye of " + old + " acknowledged: " + std::to_string(it.report(n, "DELETE", old, "")));
    it.signalNode(n, SIGTERM);
    const Clock::time_point limit = Clock::now() + Milliseconds(StopLimitMs);
    for (int status = 0; !it.hasEnded(n, status);) {
        if (Clock::now() > limit) {
            throw CantRun("a process does not stop");
        }
        pause(10);
    }
    it.start(n);
    it.waitReady(n);
    it.renewUpstream(n, "i-" + std::to_string(n) + "-" + std::to_string(number));
    it.record.line("start of " + it.machines[n]->id + " acknowledged: " + std::to_string(it.beat(n, names::values::Ready)));
    it.setSilent(n, false);
    pause(200);
}
} // namespace

int main()
{
    return runCase([] {
        Rig it({{"einsatz", 104}, {"archiv", 104}}, work);
        it.publish({{"/a/", "archiv", std::string(names::values::Safe)}});
        it.startAll();
        const int restarts = isTroubled() ? Restarts : FewRestarts;
        for (int n = 0; n < restarts; ++n) {
            restart(it, 1, n + 2);
        }
        it.record.line("the last one of " + std::to_string(restarts) + " restarts is over");
        std::vector<std::thread> kept;
        for (int n = 0; n < Kept; ++n) {
            kept.emplace_back([&it, n] { keep(it, n); });
        }
        // From here on both machines have run for more than the contact window.
        pause(ContactWindowMs + 900);
        // Both upstreams leave as planned; they go on serving.
        for (const std::size_t n : {std::size_t{1}, std::size_t{0}}) {
            it.setSilent(n, true);
            it.record.line("leaving of " + it.machines[n]->id + " acknowledged: " + std::to_string(it.beat(n, names::values::Draining)));
        }
        pause(ObservedMs);
        isOver = true;
        for (std::thread &thread : kept) {
            thread.join();
        }
        it.record.line("answered 200: " + std::to_string(answered) + ", otherwise: " + std::to_string(failed)
                       + ", closed without a whole answer though their upstream was at work: " + std::to_string(closedWithoutAnswer));
        const std::string log = it.logOf(1);
        const std::size_t at = log.find("connection-refused");
        it.record.line("first refused connection in the log of " + it.machines[1]->name + ": "
                       + (at == std::string::npos ? "none" : log.substr(log.rfind('\n', at) + 1, 200)));
        return closedWithoutAnswer > 3;
    });
}
