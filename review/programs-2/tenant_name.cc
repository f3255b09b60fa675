// A change of the configuration takes a key away and adds a tenant. Which version do the processes act on afterwards?

#include "review/rig-2/rig.hh"

using namespace rig;

namespace
{
constexpr const char *Revoked = "key-that-is-taken-away";
constexpr const char *Added = "key-of-the-new-tenant";
constexpr int PropagationMs = 2000;
constexpr int ObservedMs = 10'000;

std::mutex ranMutex;
std::set<std::string> ran;

void work(Machine &, const Message &request, Connection &connection)
{
    {
        const std::scoped_lock lock(ranMutex);
        ran.insert(request.header(names::headers::RequestId));
    }
    connection.write(Rig::signedAnswer(request, "done"));
}

int send(Rig &it, std::size_t machine, const std::string &id, const std::string &key)
{
    Connection connection(it.machines[machine]->ip, Rig::CallersPort);
    connection.write(Rig::head("POST", "/z/1", id, 5000, "Connection: close\r\nContent-Length: 0\r\n", key));
    const std::optional<Message> answer = readMessage(connection, 6000);
    const int status = answer ? answer->status() : 0;
    const std::scoped_lock lock(ranMutex);
    it.record.line(id + " at " + it.machines[machine]->name + " with " + key + ": " + std::to_string(status) + (ran.contains(id) ? ", run" : ", not run"));
    return status;
}
} // namespace

int main()
{
    return runCase([] {
        Rig it({{"archiv", 104}, {"zertifikat", 104}, {"zertifikat", 104, "nue-a", "nue"}}, work);
        const std::vector<RouteSettings> routes{{"/z/", "zertifikat", std::string(names::values::Unsafe)}};
        it.publish(routes, {{"carrier", {Rig::ApiKey, Revoked}}});
        it.startAll();
        for (std::size_t n = 0; n < it.machines.size(); ++n) {
            if (send(it, n, "before-" + std::to_string(n), Revoked) != 200) {
                throw CantRun("a request is not served before the change");
            }
        }
        // From here on all machines have run for more than the contact window.
        pause(3000);
        const std::string name = isTroubled() ? "Lufthafen Bayern" : "lufthafen-bayern";
        it.publish(routes, {{"carrier", {Rig::ApiKey}}, {name, {Added}}});
        it.record.line("the store has acknowledged r2: without " + std::string(Revoked) + ", with the tenant \"" + name + "\"");
        pause(PropagationMs + 500);
        int stale = 0;
        const Clock::time_point end = Clock::now() + Milliseconds(ObservedMs);
        for (int round = 0; Clock::now() < end; ++round) {
            for (std::size_t n = 0; n < it.machines.size(); ++n) {
                const std::string id = std::to_string(round) + "-" + std::to_string(n);
                stale += send(it, n, "revoked-" + id, Revoked) == 200 ? 1 : 0;
                stale += send(it, n, "added-" + id, Added) == 401 ? 1 : 0;
            }
            pause(1000);
        }
        it.record.line("handled as only the older version allows: " + std::to_string(stale));
        const std::string log = it.logOf(0);
        const std::size_t at = log.find("configuration-unreadable");
        it.record.line("log of " + it.machines[0]->name + ": " + (at == std::string::npos ? "read" : log.substr(at, log.find('\n', at) - at)));
        return stale > 0;
    });
}
