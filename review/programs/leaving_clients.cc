// Some clients leave, by a reset, while the head of a long answer is on its way to them. The process that serves them must go on serving the others.
#include "rig.hh"

#include <random>

using namespace rig;

int main(int argc, char **argv)
{
    Case it(argc, argv);
    // 60 of 200 clients leave: a share of 0.3, in up to four spells of 5 s.
    constexpr int Leavers = 60;
    constexpr int Stayers = 140;
    constexpr int Spells = 4;
    constexpr auto SpellTime = 5s;
    Store store(addressOf(9), 1);
    Upstream upstream(addressOf(0), "i-0", "archiv", 300, it.record, [](const Arrival &arrival) {
        return arrival.target.starts_with("/long/") ? Upstream::Reply{20ms, 100'000} : Upstream::Reply{400ms, 200};
    });
    publish(store, configuration(1, {{"r-long", "/long/", "safe", "archiv"}, {"r-short", "/short/", "unsafe", "archiv"}}, {"archiv"}, {"key-1"}));
    it.nodes.push_back(std::make_unique<Node>(NodeSettings{0, "node-0", "archiv", "muc-a", "muc", store.door(0)}, it.folder, it.program));
    Node &node = *it.nodes.front();
    if (!waitFor([&] { return call(node.address(), request("GET", "/long/a", "first", "key-1", 2000), 2s) == 200; }, 10s)) {
        it.cannotRun("the node serves nothing");
    }
    // The rules hold for machines in touch.
    std::this_thread::sleep_for(3500ms);

    std::atomic<int> answered = 0;
    std::atomic<int> unanswered = 0;
    std::atomic<int> left = 0;
    std::atomic<bool> isOver = false;
    std::atomic<bool> isSpell = false;
    std::vector<std::thread> threads;
    for (int n = 0; n < Stayers; ++n) {
        threads.emplace_back([&, n] {
            auto connection = Connection::open(node.address(), CallerPort);
            for (int k = 0; connection && !isOver; ++k) {
                const std::string id = "stay-" + std::to_string(n) + "-" + std::to_string(k);
                it.record.line("client sends " + id + (k == 0 ? " on a new connection" : " on a kept connection"));
                if (!connection->write(request("POST", "/short/a", id, "key-1", 5000, 0))) {
                    break;
                }
                const auto head = connection->readHead(Clock::now() + 6s);
                if (!head || !connection->readBody(lengthOf(*head))) {
                    it.record.line("client gets no answer to " + id + (connection->isEnded() ? ", its connection ended" : ""));
                    if (k > 0 && connection->isEnded() && upstream.hasRun(id)) {
                        ++unanswered;
                    }
                    break;
                }
                it.record.line("client gets " + std::to_string(statusOf(*head)) + " for " + id);
                ++answered;
            }
        });
    }
    for (int n = 0; n < Leavers; ++n) {
        threads.emplace_back([&, n] {
            std::mt19937 random(static_cast<unsigned>(n));
            for (int k = 0; !isOver; ++k) {
                const std::string id = "leave-" + std::to_string(n) + "-" + std::to_string(k);
                const auto connection = Connection::open(node.address(), CallerPort);
                if (!connection || !connection->write(request("GET", "/long/a", id, "key-1", 5000))) {
                    std::this_thread::sleep_for(50ms);
                    continue;
                }
                if (it.hasTrouble && isSpell) {
                    std::this_thread::sleep_for(std::chrono::microseconds(std::uniform_int_distribution<>(15'000, 35'000)(random)));
                    connection->reset();
                    ++left;
                    continue;
                }
                const auto head = connection->readHead(Clock::now() + 6s);
                if (head && connection->readBody(lengthOf(*head))) {
                    ++answered;
                }
            }
        });
    }
    std::optional<std::string> ended;
    for (int spell = 0; spell < Spells && !ended; ++spell) {
        std::this_thread::sleep_for(2s);
        it.record.line("some clients begin to leave");
        isSpell = true;
        waitFor([&] { return (ended = node.ended()).has_value(); }, SpellTime);
        isSpell = false;
        it.record.line("no more clients leave");
    }
    std::this_thread::sleep_for(1s);
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    ended = ended ? ended : node.ended();
    it.record.result("answers " + std::to_string(answered) + ", clients that left " + std::to_string(left)
                     + ", requests of kept connections that ran and got no answer " + std::to_string(unanswered) + ", node "
                     + (ended ? "ended by itself with " + *ended : "still runs"));
    it.exit(ended || unanswered > 3 ? 1 : 0);
}
