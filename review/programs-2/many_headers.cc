// One consumer sends a request with many small headers, inside the limits of the configuration. What do the other consumers of the machine get?

#include "review/rig-2/rig.hh"

using namespace rig;

namespace
{
constexpr int Kept = 8;
constexpr int Once = 8;
constexpr int Rounds = 3;
constexpr int ManyHeaders = 300;
constexpr int FewHeaders = 100;
constexpr int LongWorkMs = 1500;
constexpr std::size_t LongBytes = 200'000;
constexpr int AnswerLimitMs = 6000;

std::atomic<int> closedWithoutAnswer = 0;
std::atomic<int> answered = 0;
std::atomic<int> unknown = 0;
std::atomic<bool> isOver = false;
std::mutex arrivedMutex;
std::set<std::string> arrived;

bool hasArrived(const std::string &id)
{
    const std::scoped_lock lock(arrivedMutex);
    return arrived.contains(id);
}

// Answers the first part of a long answer at once and the rest after its work.
void work(Machine &, const Message &request, Connection &connection)
{
    const std::string target = request.target();
    {
        const std::scoped_lock lock(arrivedMutex);
        arrived.insert(request.header(names::headers::RequestId));
    }
    if (target == "/a/long") {
        const std::string answer = Rig::signedAnswer(request, std::string(LongBytes, 'x'));
        connection.write(answer.substr(0, answer.size() / 2));
        pause(LongWorkMs);
        connection.write(answer.substr(answer.size() / 2));
        return;
    }
    if (target.starts_with("/z/")) {
        pause(LongWorkMs);
    }
    connection.write(Rig::signedAnswer(request, "done"));
}

void keep(Rig &it, int number, bool isLong)
{
    for (int n = 0; !isOver; ++n) {
        Connection connection(it.machines[0]->ip, Rig::CallersPort);
        for (; !isOver && connection.isOpen(); ++n) {
            const std::string id = (isLong ? "long-" : "once-") + std::to_string(number) + "-" + std::to_string(n);
            connection.write(isLong ? Rig::head("GET", "/a/long", id, 5000) : Rig::head("POST", "/z/1", id, 5000, "Content-Length: 0\r\n"));
            const std::optional<Message> answer = readMessage(connection, AnswerLimitMs);
            if (answer) {
                it.record.line("answered " + id + " " + std::to_string(answer->status()) + (hasArrived(id) ? ", arrived at its upstream" : ""));
                answered += answer->status() == 200 ? 1 : 0;
                unknown += answer->status() == 502 ? 1 : 0;
                continue;
            }
            it.record.line("closed without a whole answer " + id + (hasArrived(id) ? ", its upstream is at work on it" : ", not passed on"));
            closedWithoutAnswer += hasArrived(id) ? 1 : 0;
            break;
        }
        pause(50);
    }
}
} // namespace

int main()
{
    return runCase([] {
        // All upstreams are beside other machines than that of the consumers.
        Rig it({{"einsatz", 104}, {"archiv", 104}}, work);
        it.publish({{"/a/", "archiv", std::string(names::values::Safe)}, {"/z/", "archiv", std::string(names::values::Unsafe)}});
        it.startAll();
        std::vector<std::thread> kept;
        for (int n = 0; n < Kept + Once; ++n) {
            kept.emplace_back([&it, n] { keep(it, n, n < Kept); });
        }
        pause(4000);
        const int count = isTroubled() ? ManyHeaders : FewHeaders;
        for (int round = 0; round < Rounds; ++round) {
            std::string headers;
            for (int n = 0; n < count; ++n) {
                headers += "x-t" + std::to_string(n) + ": 1\r\n";
            }
            const std::string id = "headers-" + std::to_string(round);
            Connection connection(it.machines[0]->ip, Rig::CallersPort);
            const std::string head = Rig::head("GET", "/a/short", id, 5000, headers);
            it.record.line("send " + id + " with " + std::to_string(count) + " headers more, " + std::to_string(head.size()) + " bytes in all");
            connection.write(head);
            const std::optional<Message> answer = readMessage(connection, AnswerLimitMs);
            it.record.line("answered " + id + " " + std::to_string(answer ? answer->status() : 0));
            pause(3500);
        }
        isOver = true;
        for (std::thread &thread : kept) {
            thread.join();
        }
        it.record.line("answered 200: " + std::to_string(answered) + ", 502: " + std::to_string(unknown)
                       + ", closed without a whole answer though their upstream was at work: " + std::to_string(closedWithoutAnswer));
        return closedWithoutAnswer > 3;
    });
}
