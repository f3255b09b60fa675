#include "replay/chainreplay.h"

#include "replay/replay.h"
#include "replay/replayconstants.h"

#include <algorithm>
#include <cmath>

namespace banyankeel::replay
{

Outcome runReplay(const Trace &trace, const Deployment &deployment, const Rules &rules)
{
    return ChainReplay(trace, deployment, rules).run();
}

ChainReplay::ChainReplay(const Trace &trace, const Deployment &deployment, const Rules &rules)
    : m_trace(trace)
    , m_deployment(deployment)
    , m_rules(rules)
    , m_random(seededRandom(trace.seed))
    , m_workRandom(seededRandom(trace.seed + 1))
    , m_recorder(trace)
    , m_factors(trace.organisations.size(), 1.0)
    , m_links{FakeLink(Deployment::BetweenRegions, Deployment::LinkBytesPerSecond), FakeLink(Deployment::BetweenRegions, Deployment::LinkBytesPerSecond)}
{
    m_rules.admission.isCold = false;
    for (const TraceOrganisation &it : trace.organisations) {
        m_organisations.emplace_back(it.name);
    }
    double reported = 1;
    for (const TraceEvent &it : trace.events) {
        reported = it.kind == EventKind::Misreport ? it.factor : reported;
    }
    m_nodes.reserve(std::size_t(trace.depth) * Deployment::TargetsPerService);
    for (std::uint32_t hop = 0; hop < trace.depth; ++hop) {
        for (std::uint32_t i = 0; i < Deployment::TargetsPerService; ++i) {
            m_nodes.emplace_back(m_rules, deployment, hop, i, trace.depth, isLast(hop) ? reported : 1.0);
        }
    }
}

bool ChainReplay::isLast(std::uint32_t hop) const
{
    return hop + 1 == m_trace.depth;
}

void ChainReplay::at(TimePoint time, Kind kind, std::uint32_t index, std::uint32_t extra)
{
    m_steps.push({time, m_order++, kind, index, extra});
}

void ChainReplay::begin()
{
    for (const ChainNode &it : m_nodes) {
        for (ChainNode &other : m_nodes) {
            other.router.update(it.record(), m_now);
        }
    }
    for (std::uint32_t i = 0; i < m_organisations.size(); ++i) {
        at(m_now, Kind::NextRequest, i);
    }
    for (std::uint32_t i = 0; i < m_trace.events.size(); ++i) {
        at(TimePoint(m_trace.events[i].at), Kind::EventBegins, i);
        at(TimePoint(m_trace.events[i].until), Kind::EventEnds, i);
    }
    at(m_now, Kind::Tick, 0);
}

Outcome ChainReplay::run()
{
    begin();
    const TimePoint end(m_trace.duration);
    while (!m_steps.empty() && m_steps.top().time < end) {
        const Step step = m_steps.top();
        m_steps.pop();
        m_now = step.time;
        dispatch(step);
    }
    Outcome outcome = m_recorder.outcome();
    finish(outcome);
    return outcome;
}

void ChainReplay::finish(Outcome &outcome) const
{
    outcome.crashes = m_crashes;
    outcome.highestExecutions = m_highestExecutions;
    outcome.interRegionBytes = m_links[0].bytes() + m_links[1].bytes();
    outcome.lateAtDrained = m_lateAtDrained;
    outcome.requests = m_tries.size();
    outcome.succeeded = static_cast<std::uint64_t>(std::ranges::count_if(m_tries, [](const Try &it) { return it.isSuccess; }));
}

void ChainReplay::dispatch(const Step &step)
{
    switch (step.kind) {
    case Kind::NextRequest:
        return nextRequest(step.index);
    case Kind::TryArrives:
        return tryArrives(step.index);
    case Kind::AttemptArrives:
        return attemptArrives(step.index);
    case Kind::WorkDone:
        return workDone(step.index, step.extra);
    case Kind::AnswerArrives:
        return answerArrives(step.index);
    case Kind::CancelArrives:
        return cancelArrives(step.index);
    case Kind::CallExpires:
        return callExpires(step.index);
    case Kind::TryEnds:
        return tryEnds(step.index);
    case Kind::SendAgain: {
        const Try again = m_tries[step.index];
        const bool isKeyed = m_trace.organisations[again.organisation].isKeyed;
        return sendTry(again.organisation, isKeyed ? again.root : freshRoot(), again.sendings + 1, again.crashHop);
    }
    case Kind::Tick:
        return tick();
    case Kind::EventBegins:
        return eventBegins(step.index);
    case Kind::EventEnds:
        return eventEnds(step.index);
    case Kind::CrashAgain:
        return crashAgain(step.index);
    case Kind::RecordArrives:
        for (ChainNode &it : m_nodes) {
            it.router.update(m_records[step.index], m_now);
        }
        return;
    case Kind::ReportArrives:
        for (ChainNode &it : m_nodes) {
            it.quarantine.merge(m_reports[step.index], m_now);
        }
        return;
    case Kind::TargetReturns:
        if (step.extra == 0) {
            m_nodes[step.index].target.restart(m_now, ColdFactor, ColdTime);
            m_nodes[step.index].gate->restart(m_now);
            m_nodes[step.index].peer.incarnation = Incarnation{static_cast<std::uint64_t>(m_nodes[step.index].peer.incarnation) + 1};
            announce(step.index, TargetState::Starting);
            at(m_now + StartingTime, Kind::TargetReturns, step.index, m_nodes[step.index].target.life());
        } else if (step.extra == m_nodes[step.index].target.life() && m_nodes[step.index].state == TargetState::Starting) {
            announce(step.index, TargetState::Serving);
        }
        return;
    }
}

RequestId ChainReplay::freshRoot()
{
    const std::uint64_t high = m_random();
    return {high, m_random()};
}

void ChainReplay::nextRequest(std::uint32_t organisation)
{
    const double rate = m_trace.organisations[organisation].part * m_trace.load * baseCapacity() * m_factors[organisation];
    if (m_now > TimePoint{}) {
        m_recorder.noteRequest(m_now);
        sendTry(organisation, freshRoot(), 1, None);
    }
    const double gap = -std::log(1 - uniformReal(m_random)) / rate;
    at(m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), Kind::NextRequest, organisation);
}

void ChainReplay::sendTry(std::uint32_t organisation, const RequestId &root, std::uint32_t sendings, std::uint32_t crashHop)
{
    const auto index = static_cast<std::uint32_t>(m_tries.size());
    m_tries.push_back({organisation, root, m_now, sendings});
    m_tries.back().entry = static_cast<std::uint32_t>(uniformBelow(m_random, m_nodes.size()));
    m_tries.back().crashHop = crashHop;
    if (crashHop == None) {
        m_recorder.noteTry(organisation, m_now);
    }
    at(m_now + Deployment::ToClient, Kind::TryArrives, index);
}

void ChainReplay::tryArrives(std::uint32_t index)
{
    const Try &it = m_tries[index];
    ChainNode &node = m_nodes[it.entry];
    if (m_rules.usesQuarantine && node.quarantine.isQuarantined(fingerprintOf(it), m_now)) {
        return endTry(index, false, true);
    }
    startCall(index, it.entry, None, 0, it.sent + m_trace.deadline, RetryPolicy::budgetOfRoot(MaxExecutions));
}

void ChainReplay::endTry(std::uint32_t index, bool isSuccess, bool isRefused)
{
    m_tries[index].isSuccess = isSuccess;
    m_tries[index].isRefused = isRefused;
    at(m_now + Deployment::ToClient, Kind::TryEnds, index);
}

void ChainReplay::tryEnds(std::uint32_t index)
{
    const Try &it = m_tries[index];
    if (it.crashHop != None) {
        return;
    }
    m_recorder.noteEnd(it.organisation, it.sent, it.isSuccess, it.isRefused, m_now);
    m_recorder.noteExecutions(it.executions, !it.isSuccess);
    if (!it.isSuccess && it.sendings <= m_trace.clientRetries) {
        at(m_now + scaled(m_trace.clientBackoff, 0.5 + uniformReal(m_random)), Kind::SendAgain, index);
    }
}

std::uint32_t
ChainReplay::startCall(std::uint32_t tryIndex, std::uint32_t node, std::uint32_t parent, std::uint32_t hop, TimePoint deadline, std::uint16_t budget)
{
    const auto index = static_cast<std::uint32_t>(m_calls.size());
    const std::uint16_t grant = RetryPolicy::grantOf(budget, !isLast(hop));
    CallProgress progress{true, static_cast<std::uint16_t>(budget - grant), grant, 0, 0, 0, true, !isLast(hop), {}};
    m_calls.push_back({tryIndex, node, parent, hop, deadline, progress, {}});
    m_nodes[node].retries.recordCall();
    at(deadline, Kind::CallExpires, index);
    attemptNext(index);
    return index;
}

void ChainReplay::attemptNext(std::uint32_t index)
{
    Call &call = m_calls[index];
    ChainNode &node = m_nodes[call.node];
    const Try &root = m_tries[call.tryIndex];
    const TraceOrganisation &organisation = m_trace.organisations[root.organisation];
    RoutingRequest question{m_nodes[std::size_t(call.hop) * Deployment::TargetsPerService].service,
                            PriorityLevel{organisation.priority},
                            root.root,
                            m_organisations[root.organisation],
                            m_trace.requestBytes + HeaderBytes,
                            organisation.isKeyed && m_rules.gate == GateKind::Controlled,
                            MaxExecutions,
                            call.tried,
                            !m_rules.usesHints};
    const RoutingDecision found = node.router.choose(question, m_now);
    if (!found.choice) {
        noteDownstream(call, found.hint.value());
        return endCall(index, found.verdict, false, found.verdict.reason() == Reason::Overloaded);
    }
    node.router.recordAttemptStart(*found.choice, m_now);
    const auto to =
        static_cast<std::uint32_t>(std::ranges::find(m_nodes, found.choice->peer.node, [](const ChainNode &it) { return it.peer.node; }) - m_nodes.begin());
    call.attempt = static_cast<std::uint32_t>(m_attempts.size());
    ++call.attempts;
    call.tried.push_back(found.choice->peer.node);
    m_attempts.push_back({index, to, m_now, found.choice->slot, found.choice->serial, found.choice->flow, found.choice->isInterRegion});
    at(arrivalAt(call.node, to, m_trace.requestBytes + HeaderBytes), Kind::AttemptArrives, call.attempt);
}

void ChainReplay::answerArrives(std::uint32_t index)
{
    const Attempt &attempt = m_attempts[index];
    Call &call = m_calls[attempt.call];
    if (attempt.isAbandoned) {
        return;
    }
    const AttemptOutcome outcome{attempt.verdict, m_now - attempt.sent, m_trace.answerBytes, attempt.isError && !attempt.isOverload};
    m_nodes[call.node].router.recordAttemptEnd(choiceOf(attempt), outcome, attempt.hint, m_now);
    noteDownstream(call, attempt.hint);
    if (call.isDone) {
        return;
    }
    if (attempt.verdict.isSuccess() && !attempt.isError) {
        call.progress.spentBelow = attempt.spentBelow;
        return endCall(attempt.call, attempt.verdict, false, false);
    }
    retryOrEnd(attempt.call, index);
}

void ChainReplay::noteDownstream(const Call &call, const AdmissionHint &hint)
{
    if (call.parent != None && m_rules.passesHintsUp) {
        std::optional<AdmissionHint> &known = m_attempts[call.parent].downstream;
        known = known ? combinedHint(*known, hint) : hint;
    }
}

void ChainReplay::retryOrEnd(std::uint32_t index, std::uint32_t attemptIndex)
{
    Call &call = m_calls[index];
    const Attempt &attempt = m_attempts[attemptIndex];
    if (!m_rules.usesRetryPolicy) {
        if (call.attempts < m_rules.naiveAttempts) {
            return attemptNext(index);
        }
        return endCall(index, attempt.verdict, attempt.isError, attempt.isOverload);
    }
    const bool isOverload = attempt.verdict.reason() == Reason::Overloaded;
    call.progress.spentBelow = attempt.spentBelow;
    call.progress.overloadRefusals = static_cast<std::uint16_t>(call.progress.overloadRefusals + (isOverload ? 1 : 0));
    call.progress.moveRefusals = static_cast<std::uint16_t>(call.progress.moveRefusals + (isOverload ? 0 : 1));
    call.progress.remaining = call.deadline - m_now;
    const RetryDecision decision = m_nodes[call.node].retries.decide(call.progress, attempt.verdict, m_now);
    call.progress.budget = decision.budget;
    call.progress.granted = decision.grant;
    call.progress.spentBelow = 0;
    if (decision.isRetry) {
        return attemptNext(index);
    }
    endCall(index, attempt.verdict, attempt.isError, attempt.isOverload || isOverload);
}

void ChainReplay::endCall(std::uint32_t index, const Verdict &verdict, bool isError, bool isOverload)
{
    Call &call = m_calls[index];
    call.isDone = true;
    if (call.parent == None) {
        return endTry(call.tryIndex, verdict.isSuccess() && !isError, verdict.runState() == RunState::NotRun || isOverload);
    }
    Attempt &parent = m_attempts[call.parent];
    parent.childCall = None;
    parent.downstreamTime += m_now - parent.childBegan;
    if (verdict.isSuccess() && !isError) {
        return endExecution(call.parent, CompletionKind::Succeeded, verdict);
    }
    endExecution(call.parent, isOverload ? CompletionKind::DownstreamOverloaded : CompletionKind::Failed, Verdict::ran());
}

void ChainReplay::abandon(std::uint32_t index, Reason reason)
{
    Attempt &attempt = m_attempts[index];
    if (attempt.isAbandoned) {
        return;
    }
    const Call &call = m_calls[attempt.call];
    attempt.isAbandoned = true;
    m_nodes[call.node].router.recordAttemptEnd(choiceOf(attempt), {Verdict::unknown(reason), m_now - attempt.sent}, std::nullopt, m_now);
    if (m_rules.gate == GateKind::Controlled) {
        at(arrivalAt(call.node, attempt.node, HeaderBytes), Kind::CancelArrives, index);
    }
}

void ChainReplay::callExpires(std::uint32_t index)
{
    if (m_calls[index].isDone) {
        return;
    }
    if (m_calls[index].attempt != None) {
        abandon(m_calls[index].attempt, Reason::DeadlineExpired);
    }
    endCall(index, Verdict::unknown(Reason::DeadlineExpired), false, false);
}

void ChainReplay::dropCall(std::uint32_t index)
{
    if (m_calls[index].isDone) {
        return;
    }
    m_calls[index].isDone = true;
    if (m_calls[index].attempt != None) {
        abandon(m_calls[index].attempt, Reason::Cancelled);
    }
}

} // namespace banyankeel::replay
