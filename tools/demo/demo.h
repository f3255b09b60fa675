#pragma once

// A tour of the product with real processes on loopback: publishes, calls, withdraws, overloads, drains, and says whether each
// stated outcome held.
//
//   Demo demo(DemoPlan::steigflug(), "build/bin", "examples");
//   return demo.run() ? EXIT_SUCCESS : EXIT_FAILURE;

#include "state/time.h"
#include "testing/fleet/caller.h"
#include "testing/fleet/fleet.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyankeel
{

/// An organisation and what it sends during the overload.
struct DemoOrganisation {
    std::string name;
    unsigned weight;
    double overloadRate;
};

struct DemoPlan {
    testing::FleetPlan fleet;
    std::string configuration;
    std::vector<DemoOrganisation> organisations;
    /// The path at the head of the longest chain, and the service that it reaches.
    std::string chainPath;
    std::string chainService;

    static DemoPlan steigflug();
    static DemoPlan aigaio();
};

/// Runs once, in under a minute.
class Demo
{
public:
    Demo(DemoPlan plan, std::string binaries, std::string examples);

    /// Returns whether every stated outcome held.
    bool run();

private:
    void startFleet();
    void publishAndGrant();
    void callChain();
    void withdrawOnOpenConnection();
    void overload();
    void drain();
    void printTable() const;

    void event(const std::string &text) const;
    void outcome(bool holds, const std::string &text);
    [[nodiscard]] std::vector<Endpoint> entries();
    [[nodiscard]] std::uint64_t executionsAt(testing::Host &host);
    [[nodiscard]] std::uint64_t executionsOf(const std::string &service);
    [[nodiscard]] std::map<std::string, double> dueShares(double capacity) const;
    [[nodiscard]] std::map<std::string, testing::LoadReport> runOverload();

    DemoPlan m_plan;
    std::string m_examples;
    testing::Fleet m_fleet;
    testing::Caller m_observer;
    std::map<std::string, std::unique_ptr<testing::Caller>> m_callers;
    std::map<std::string, testing::LoadReport> m_reports;
    std::chrono::steady_clock::time_point m_begin;
    bool m_allHold = true;
};

} // namespace banyankeel
