// More machines have come and gone than the store lists in one answer; then all processes are killed and come back.

#include "review/rig-2/rig.hh"

using namespace rig;

namespace
{
constexpr std::size_t Staying = 4;
constexpr int AtOnce = 25;
constexpr int RecoveryMs = 15'000;
constexpr int DownMs = 1400;
constexpr int ObservedMs = 8000;
constexpr int RegisterLimitMs = 20'000;

void work(Machine &, const Message &request, Connection &connection)
{
    connection.write(Rig::signedAnswer(request, "done"));
}

// Sends requests for some time from two machines, each to services beside other machines; returns the part that is served.
double observe(Rig &it, const std::string &name)
{
    int sent = 0;
    int served = 0;
    const Clock::time_point end = Clock::now() + Milliseconds(ObservedMs);
    while (Clock::now() < end) {
        for (std::size_t n = 0; n < 2; ++n) {
            const std::string id = name + "-" + std::to_string(++sent);
            Connection connection(it.machines[n]->ip, Rig::CallersPort);
            connection.write(sent % 4 < 2 ? Rig::head("GET", "/a/1", id, 2000, "Connection: close\r\n")
                                          : Rig::head("POST", "/z/1", id, 2000, "Connection: close\r\nContent-Length: 0\r\n"));
            const std::optional<Message> answer = readMessage(connection, 3000);
            const int status = answer ? answer->status() : 0;
            served += status == 200 ? 1 : 0;
            it.record.line("answered " + id + " at " + it.machines[n]->name + " " + std::to_string(status));
        }
        pause(200);
    }
    it.record.line(name + ": sent " + std::to_string(sent) + ", served " + std::to_string(served));
    return static_cast<double>(served) / sent;
}

// Machines are added, and removed for good once they have joined.
void comeAndGo(Rig &it, int count)
{
    const unsigned pid = static_cast<unsigned>(getpid());
    for (int begin = 0; begin < count; begin += AtOnce) {
        std::vector<std::size_t> batch;
        for (int n = begin; n < std::min(begin + AtOnce, count); ++n) {
            const std::string ip = "127." + std::to_string(120 + n / 250) + "." + std::to_string((pid >> 3U) & 0xffU) + "." + std::to_string(1 + n % 250);
            char name[32];
            std::snprintf(name, sizeof(name), "sidecar-muc-a-%04d", n);
            batch.push_back(it.addPassing({"archiv", 40}, ip, name));
            it.start(batch.back());
        }
        const Clock::time_point limit = Clock::now() + Milliseconds(RegisterLimitMs);
        while (it.store->keysOf("hosts").size() < Staying + static_cast<std::size_t>(begin) + batch.size()) {
            if (Clock::now() > limit) {
                throw CantRun("machines that are added don't join");
            }
            pause(50);
        }
        for (const std::size_t n : batch) {
            it.killNode(n);
        }
    }
    it.record.line(std::to_string(count) + " machines have come and gone, the table has " + std::to_string(it.store->keysOf("hosts").size()) + " rows");
}
} // namespace

int main()
{
    return runCase([] {
        const char *gone = std::getenv("GONE");
        Rig it({{"einsatz", 40, "muc-b"}, {"ausbilder", 40, "nue-a", "nue"}, {"archiv", 40, "muc-b"}, {"zertifikat", 40, "nue-a", "nue"}}, work);
        // The names of those that come and go sort before theirs.
        it.machines[0]->name = "sidecar-muc-b-1";
        it.machines[1]->name = "sidecar-nue-a-1";
        it.machines[2]->name = "sidecar-muc-b-2";
        it.machines[3]->name = "sidecar-nue-a-2";
        it.publish({{"/a/", "archiv", std::string(names::values::Safe)}, {"/z/", "zertifikat", std::string(names::values::Unsafe)}});
        it.startAll();
        comeAndGo(it, gone == nullptr ? 510 : std::atoi(gone));
        pause(3000);
        const double before = observe(it, "before");
        if (isTroubled()) {
            for (std::size_t n = 0; n < Staying; ++n) {
                it.killNode(n);
            }
            it.record.line("all processes are killed");
            pause(DownMs);
            for (std::size_t n = 0; n < Staying; ++n) {
                it.start(n);
            }
        }
        it.record.line("all machines are back");
        pause(RecoveryMs + 1000);
        for (std::size_t n = 0; n < Staying; ++n) {
            it.record.line(it.machines[n]->name + (it.isReady(n) ? " says that it is ready" : " says that it is not ready"));
        }
        const double after = observe(it, "after");
        if (before < 0.25) {
            throw CantRun("too little is served before the fault");
        }
        return after < 0.25;
    });
}
