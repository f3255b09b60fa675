#pragma once

// Requests, routes and answers that tests of a MeshFleet share.
//
//   MeshFleet fleet({"alpha", "beta"});
//   publishRoutes(fleet);
//   fleet.request(0, getRequest("/b/1", "r1"));

#include "mesh/test/meshfleet.h"

#include <cstddef>
#include <string>
#include <vector>

namespace banyankeel::testing
{

/// The head of a request for @p path, without the empty line at its end. @param id of the request; @param remaining milliseconds.
std::string getRequest(const std::string &path, const std::string &id, const std::string &remaining = "5000");
/// A route named @p name with the prefix "/name/".
MeshRoute route(const std::string &name, const std::string &service, Repeatability repeatability = Repeatability::Idempotent);
/// Adds the organisation whose key getRequest() sends.
void addOrganisation(MeshObjects &objects);
/// Publishes the routes a (alpha), b and orders (beta), the last for requests that may run once, as far as their service is part of the fleet.
void publishRoutes(MeshFleet &fleet);
/// An answer of the target that has seen @p seen.
HttpResponse signedResponse(const SeenRequest &seen, int status);
/// How many of the requests have the id @p id.
std::size_t countOf(const std::vector<SeenRequest> &seen, const std::string &id);

} // namespace banyankeel::testing
