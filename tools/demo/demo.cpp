#include "tools/demo/demo.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;
using testing::Caller;
using testing::Fleet;
using testing::FleetPlan;
using testing::Host;
using testing::LoadPlan;
using testing::LoadReport;
using Clock = std::chrono::steady_clock;

// The outcomes that the demo states. They come from the users' promises.
constexpr Duration WithdrawalLimit = 3s;
constexpr Duration DrainLimit = 3s;
constexpr double LowestShareOfDue = 0.9;

constexpr Duration OverloadTime = 6s;
constexpr Duration DrainTime = 3s;
constexpr double DrainRate = 100;
constexpr int ChainCalls = 100;
constexpr int StatusOk = 200;
constexpr int StatusUnauthorized = 401;

double secondsSince(Clock::time_point begin)
{
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

/// Small targets, so that one machine can overload them.
void shrink(FleetPlan &plan, const std::string &service)
{
    constexpr unsigned Slots = 3;
    for (auto &it : plan.services) {
        if (it.name == service) {
            it.slots = Slots;
            it.serviceTime = 20ms;
        }
    }
}

std::uint64_t countOf(const std::string &line, const std::string &name)
{
    const std::size_t at = line.find(name + '=');
    return at == std::string::npos ? 0 : std::stoull(line.substr(at + name.size() + 1));
}

std::uint64_t countOf(const LoadReport &report, const std::string &verdict)
{
    std::uint64_t n = 0;
    for (const auto &[outcome, count] : report.outcomes) {
        n += outcome.starts_with(verdict + ' ') ? count : 0;
    }
    return n;
}
} // namespace

DemoPlan DemoPlan::steigflug()
{
    DemoPlan plan{
        .fleet = FleetPlan::steigflug(1),
        .configuration = "steigflug.yaml",
        .organisations =
            {
                {"kranich", 4, 250},
                {"falke", 4, 350},
                {"amsel", 2, 100},
                {"drossel", 2, 60},
                {"sperling", 1, 60},
                {"zeisig", 1, 30},
                {"star", 1, 20},
                {"luftamt", 2, 20},
            },
        .chainPath = "/einsatz/check/crew-7",
        .chainService = "einsatz",
    };
    shrink(plan.fleet, plan.chainService);
    return plan;
}

DemoPlan DemoPlan::aigaio()
{
    DemoPlan plan{
        .fleet = FleetPlan::aigaio(1),
        .configuration = "aigaio.yaml",
        .organisations =
            {
                {"mainland-day", 3, 200},
                {"mainland-late", 3, 60},
                {"islands-day", 3, 150},
                {"islands-late", 3, 60},
                {"dispatchers", 2, 60},
                {"warehouse", 1, 30},
                {"broadcaster", 1, 30},
                {"regulator", 1, 10},
            },
        .chainPath = "/monitor/state/mast-12",
        .chainService = "monitor",
    };
    shrink(plan.fleet, plan.chainService);
    return plan;
}

Demo::Demo(DemoPlan plan, std::string binaries, std::string examples)
    : m_plan(std::move(plan))
    , m_examples(std::move(examples))
    , m_fleet(m_plan.fleet, std::move(binaries))
    , m_observer("")
    , m_begin(Clock::now())
{
}

bool Demo::run()
{
    startFleet();
    publishAndGrant();
    callChain();
    withdrawOnOpenConnection();
    overload();
    drain();
    printTable();
    return m_allHold;
}

void Demo::event(const std::string &text) const
{
    std::cout << fmt::format("t={:.2f}s {}\n", secondsSince(m_begin), text) << std::flush;
}

void Demo::outcome(bool holds, const std::string &text)
{
    event(fmt::format("outcome={} {}", holds ? "held" : "broken", text));
    m_allHold = m_allHold && holds;
}

std::vector<Endpoint> Demo::entries()
{
    std::vector<Endpoint> endpoints;
    for (const Host &host : m_fleet.hosts()) {
        endpoints.push_back(host.callers);
    }
    return endpoints;
}

void Demo::startFleet()
{
    m_fleet.start();
    event(fmt::format("event=fleet-started hosts={} processes={}", m_fleet.hosts().size(), 2 * m_fleet.hosts().size() + 1));
}

void Demo::publishAndGrant()
{
    const auto begin = Clock::now();
    m_fleet.publish(m_examples + '/' + m_plan.configuration);
    event(fmt::format("event=published file={} in_force_after={:.2f}s", m_plan.configuration, secondsSince(begin)));
    for (const DemoOrganisation &it : m_plan.organisations) {
        m_callers[it.name] = std::make_unique<Caller>(m_fleet.grantKey(it.name, it.name + "-key"));
        event(fmt::format("event=key-granted organisation={}", it.name));
    }
}

void Demo::callChain()
{
    Caller &caller = *m_callers.begin()->second;
    int whole = 0;
    const std::vector<Endpoint> all = entries();
    for (int n = 0; n < ChainCalls; ++n) {
        const HttpResult result = caller.call(all[static_cast<std::size_t>(n) % all.size()], "GET", m_plan.chainPath);
        whole += result.response && result.response->status == StatusOk ? 1 : 0;
    }
    event(fmt::format("event=chain-called path={} calls={} whole={}", m_plan.chainPath, ChainCalls, whole));
    outcome(whole == ChainCalls, "promise=\"every caller gets the whole answer\"");
}

void Demo::withdrawOnOpenConnection()
{
    const std::string &organisation = m_plan.organisations.front().name;
    Caller caller(m_fleet.grantKey(organisation, "short-lived"), 1);
    const Endpoint entry = entries().back();
    caller.call(entry, "GET", m_plan.chainPath);
    const auto begin = Clock::now();
    const Fleet::ToolResult result = m_fleet.ctl({"key", "withdraw", "short-lived"});
    event(fmt::format("event=key-withdrawn name=short-lived status={}", result.status));
    int status = StatusOk;
    while (status != StatusUnauthorized && Clock::now() - begin < 2 * WithdrawalLimit) {
        const HttpResult answer = caller.call(entry, "GET", m_plan.chainPath);
        status = answer.response ? answer.response->status : 0;
    }
    const double took = secondsSince(begin);
    event(fmt::format("event=key-refused on=open-connection after={:.2f}s status={}", took, status));
    const bool holds = status == StatusUnauthorized && took < std::chrono::duration<double>(WithdrawalLimit).count();
    outcome(holds, "promise=\"a withdrawn key stops working within seconds on open connections\"");
}

std::uint64_t Demo::executionsAt(Host &host)
{
    const HttpResult result = m_observer.call(host.target, "GET", "/control/counts");
    return result.response ? countOf(result.response->body, "began") : 0;
}

std::uint64_t Demo::executionsOf(const std::string &service)
{
    std::uint64_t n = 0;
    for (Host &host : m_fleet.hosts()) {
        n += host.service == service ? executionsAt(host) : 0;
    }
    return n;
}

std::map<std::string, LoadReport> Demo::runOverload()
{
    std::map<std::string, LoadReport> reports;
    std::vector<std::thread> threads;
    for (const DemoOrganisation &it : m_plan.organisations) {
        LoadReport &report = reports[it.name];
        threads.emplace_back([this, &it, &report] {
            const LoadPlan load{
                .entries = entries(),
                .path = m_plan.chainPath,
                .ratePerSecond = it.overloadRate,
                .duration = OverloadTime,
                .deadline = 1s,
            };
            report = m_callers.at(it.name)->load(load);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return reports;
}

std::map<std::string, double> Demo::dueShares(double capacity) const
{
    // Weighted max-min: whoever asks for less than its share gets what it asks for, and the rest is shared by weight.
    std::map<std::string, double> due;
    std::vector<DemoOrganisation> open = m_plan.organisations;
    while (!open.empty()) {
        double weights = 0;
        for (const DemoOrganisation &it : open) {
            weights += it.weight;
        }
        const auto isSmall = [&](const DemoOrganisation &it) { return it.overloadRate <= capacity * it.weight / weights; };
        const auto small = std::find_if(open.begin(), open.end(), isSmall);
        if (small == open.end()) {
            for (const DemoOrganisation &it : open) {
                due[it.name] = capacity * it.weight / weights;
            }
            return due;
        }
        due[small->name] = small->overloadRate;
        capacity -= small->overloadRate;
        open.erase(small);
    }
    return due;
}

void Demo::overload()
{
    double rate = 0;
    for (const DemoOrganisation &it : m_plan.organisations) {
        rate += it.overloadRate;
    }
    event(fmt::format("event=overload-begins service={} rate={}/s", m_plan.chainService, rate));
    const std::uint64_t before = executionsOf(m_plan.chainService);
    m_reports = runOverload();
    const std::uint64_t executed = executionsOf(m_plan.chainService) - before;
    LoadReport all;
    for (const auto &[name, report] : m_reports) {
        all.add(report);
    }
    const std::uint64_t ran = countOf(all, "ran");
    const std::uint64_t unknown = all.sent - ran - countOf(all, "not-run");
    event(fmt::format("event=overload-ended sent={} whole={} not_run={} unknown={} executed={}", all.sent, ran, countOf(all, "not-run"), unknown, executed));
    outcome(ran <= executed && executed <= ran + unknown, "promise=\"a refusal that says not run means that the request was not run\"");

    const double seconds = std::chrono::duration<double>(OverloadTime).count();
    const std::map<std::string, double> due = dueShares(static_cast<double>(all.whole) / seconds);
    double worst = 1;
    for (const auto &[name, report] : m_reports) {
        worst = std::min(worst, static_cast<double>(report.whole) / seconds / due.at(name));
    }
    outcome(worst >= LowestShareOfDue, fmt::format("promise=\"fair shares under overload\" worst_served={:.0f}% of its due", 100 * worst));
}

void Demo::drain()
{
    const auto isOfChain = [this](const Host &host) { return host.service == m_plan.chainService; };
    Host &leaving = *std::find_if(m_fleet.hosts().begin(), m_fleet.hosts().end(), isOfChain);
    LoadReport report;
    std::thread load([this, &report] {
        Caller &caller = *m_callers.begin()->second;
        report = caller.load({.entries = entries(), .path = m_plan.chainPath, .ratePerSecond = DrainRate, .duration = DrainLimit + DrainTime});
    });
    const Fleet::ToolResult result = m_fleet.ctl({"drain", leaving.name});
    event(fmt::format("event=drain-asked node={} status={}", leaving.name, result.status));
    std::this_thread::sleep_for(DrainLimit);
    const std::uint64_t after = executionsAt(leaving);
    load.join();
    const std::uint64_t later = executionsAt(leaving);
    event(fmt::format("event=drained node={} new_executions={} whole={}/{}", leaving.name, later - after, report.whole, report.sent));
    outcome(later == after, "promise=\"a leaving target receives no new work after a few seconds\"");
    outcome(report.whole == report.sent, "promise=\"a planned stop cuts no request in flight\"");
}

void Demo::printTable() const
{
    std::cout << fmt::format("{:<16}{:>8}{:>8}{:>10}{:>10}{:>14}\n", "organisation", "sent", "whole", "not-run", "over-rate", "may-have-run");
    for (const auto &[name, report] : m_reports) {
        const auto limited = report.outcomes.find("not-run rate-exceeded");
        const std::uint64_t overRate = limited == report.outcomes.end() ? 0 : limited->second;
        std::cout << fmt::format(
            "{:<16}{:>8}{:>8}{:>10}{:>10}{:>12}\n", name, report.sent, report.whole, countOf(report, "not-run"), overRate, countOf(report, "may-have-run"));
    }
    event(m_allHold ? "result=every stated outcome held" : "result=a stated outcome did not hold");
}

} // namespace banyankeel
