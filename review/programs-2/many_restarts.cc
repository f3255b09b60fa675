// An upstream is stopped as planned and started again beside a process that goes on, more often than a departure list has room for.

#include "review/rig-2/rig.hh"

using namespace rig;

namespace
{
constexpr int Kept = 8;
constexpr int Restarts = 18;
constexpr int FewRestarts = 3;
constexpr int DrainMs = 2200;
constexpr int LongWorkMs = 1500;
constexpr std::size_t LongBytes = 200'000;
constexpr int AnswerLimitMs = 6000;
constexpr int ObservedMs = 15'000;

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

// A planned stop of the upstream of machine @p n, and its next start.
void restart(Rig &it, std::size_t n, int number)
{
    it.setSilent(n, true);
    const std::string old = it.machines[n]->id;
    it.record.line("leaving of " + old + " acknowledged: " + std::to_string(it.beat(n, names::values::Draining)));
    pause(DrainMs);
    it.record.line("goodbye of " + old + " acknowledged: " + std::to_string(it.report(n, "DELETE", old, "")));
    pause(300);
    it.renewUpstream(n, "i-" + std::to_string(n) + "-" + std::to_string(number));
    it.record.line("start of " + it.machines[n]->id + " acknowledged: " + std::to_string(it.beat(n, names::values::Ready)));
    it.setSilent(n, false);
    pause(500);
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
        pause(3000);
        it.record.line("the last one of " + std::to_string(restarts) + " restarts is over");
        std::vector<std::thread> kept;
        for (int n = 0; n < Kept; ++n) {
            kept.emplace_back([&it, n] { keep(it, n); });
        }
        pause(3000);
        // The upstream beside the consumers, which these don't use.
        restart(it, 0, 2);
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
