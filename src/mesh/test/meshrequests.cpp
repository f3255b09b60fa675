#include "mesh/test/meshrequests.h"

#include <algorithm>

namespace banyankeel::testing
{

using namespace std::chrono_literals;

std::string getRequest(const std::string &path, const std::string &id, const std::string &remaining)
{
    return "GET " + path + " HTTP/1.1\r\nRequest: " + id + "\r\nHost: hr.example\r\nRemaining: " + remaining + "\r\nAuthorization: Key k1\r\n";
}

MeshRoute route(const std::string &name, const std::string &service, Repeatability repeatability)
{
    return {
        .name = RouteName(name),
        .host = "hr.example",
        .pathPrefix = "/" + name + "/",
        .repeatability = repeatability,
        .timeLimit = 5s,
        .targetLatency = 1s,
        .priority = PriorityLevel{1},
        .services = {{ServiceName(service), 1}},
        .maxAttempts = 2,
        .isAnonymous = false,
    };
}

void addOrganisation(MeshObjects &objects)
{
    objects.organisations = {{OrganisationId("carrier"), {"k1"}, std::nullopt, 0, 0}};
}

void publishRoutes(MeshFleet &fleet)
{
    fleet.publish([](MeshObjects &it) {
        it.routes = {route("a", "alpha"), route("b", "beta"), route("orders", "beta", Repeatability::AtMostOnce)};
        std::erase_if(it.routes, [&it](const MeshRoute &route) {
            return std::ranges::find(it.services, route.services.front().service, &MeshService::name) == it.services.end();
        });
        addOrganisation(it);
    });
}

HttpResponse signedResponse(const SeenRequest &seen, int status)
{
    return {.status = status,
            .headers = {{"Request", std::string(findHeader(seen.request.headers, "Request").value_or(""))}, {"Signature", "s"}},
            .body = seen.target};
}

std::size_t countOf(const std::vector<SeenRequest> &seen, const std::string &id)
{
    return static_cast<std::size_t>(std::ranges::count_if(seen, [&](const SeenRequest &it) { return findHeader(it.request.headers, "Request") == id; }));
}

} // namespace banyankeel::testing
