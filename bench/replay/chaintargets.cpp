#include "replay/chainreplay.h"

#include "replay/replayconstants.h"

#include <algorithm>
#include <utility>

// The side of the targets' own nodes: admission, executions, answers and crashes.

namespace banyankeel::replay
{

void ChainReplay::attemptArrives(std::uint32_t index)
{
    Attempt &attempt = m_attempts[index];
    ChainNode &node = m_nodes[attempt.node];
    const Try &root = tryOf(attempt);
    const TraceOrganisation &organisation = m_trace.organisations[root.organisation];
    if (node.state == TargetState::Draining && m_now - node.drainedAt > std::chrono::seconds(3)) {
        ++m_lateAtDrained;
    }
    if (node.target.isDown()) {
        return answer(index, Verdict::refused(Reason::NoTarget), false, false);
    }
    if (m_rules.usesQuarantine) {
        if (const std::optional<Verdict> refused = node.quarantine.begin(fingerprintOf(root), m_now)) {
            return answer(index, *refused, false, false);
        }
    }
    if (organisation.isKeyed && m_rules.gate == GateKind::Controlled && node.ledger.begin(root.root, 1, m_now) != LedgerResult::Granted) {
        return answer(index, Verdict::refused(Reason::RetryBudgetSpent), false, false);
    }
    attempt.isWaiting = true;
    const TimePoint deadline = m_calls[attempt.call].deadline;
    AdmissionActions actions;
    node.gate->offer({AttemptTicket{index},
                      root.root,
                      m_organisations[root.organisation],
                      PriorityLevel{organisation.priority},
                      organisation.weight,
                      deadline,
                      static_cast<std::uint8_t>(node.hop)},
                     m_now,
                     actions);
    apply(attempt.node, actions);
}

void ChainReplay::apply(std::uint32_t node, const AdmissionActions &actions)
{
    for (const RefusedOffer &it : actions.refused) {
        const auto index = static_cast<std::uint32_t>(it.ticket);
        m_attempts[index].isWaiting = false;
        const Try &root = tryOf(m_attempts[index]);
        if (m_trace.organisations[root.organisation].isKeyed) {
            m_nodes[node].ledger.undoBegin(root.root);
        }
        m_nodes[node].quarantine.recordEnd(fingerprintOf(root));
        answer(index, it.verdict, false, false);
    }
    for (const AttemptTicket it : actions.run) {
        startExecution(static_cast<std::uint32_t>(it));
    }
}

void ChainReplay::startExecution(std::uint32_t index)
{
    Attempt &attempt = m_attempts[index];
    ChainNode &node = m_nodes[attempt.node];
    attempt.isWaiting = false;
    attempt.isRunning = true;
    attempt.started = m_now;
    attempt.life = node.target.life();
    if (!node.target.arrive(index)) {
        attempt.isRunning = false;
        AdmissionActions actions;
        node.gate->complete(AttemptTicket{index}, {Duration::zero(), CompletionKind::TargetOverloaded}, m_now, actions);
        answer(index, Verdict::refused(Reason::ConnectionLost), false, false);
        return apply(attempt.node, actions);
    }
    node.running.push_back(index);
    beginWork(attempt.node);
}

void ChainReplay::beginWork(std::uint32_t nodeIndex)
{
    ChainNode &node = m_nodes[nodeIndex];
    const Duration own = isLast(node.hop) ? m_trace.lastTime : m_trace.ownTime;
    for (const std::uint32_t index : node.target.takeStarted()) {
        Try &root = tryOf(m_attempts[index]);
        ++root.executions;
        countExecution(root, node.hop);
        m_attempts[index].isWorking = true;
        m_attempts[index].slowness = node.target.beginWork(m_now);
        const double varied = 1 + WorkSpread * (2 * uniformReal(m_workRandom) - 1);
        at(m_now + scaled(own, m_attempts[index].slowness * varied), Kind::WorkDone, index, node.target.life());
    }
}

void ChainReplay::countExecution(const Try &it, std::uint32_t hop)
{
    if (m_trace.organisations[it.organisation].isKeyed) {
        m_highestExecutions = std::max(m_highestExecutions, ++m_executionsOf[{it.root, hop}]);
    }
}

void ChainReplay::workDone(std::uint32_t index, std::uint32_t life)
{
    Attempt &attempt = m_attempts[index];
    ChainNode &node = m_nodes[attempt.node];
    if (!attempt.isRunning || node.target.life() != life) {
        return;
    }
    const Call &call = m_calls[attempt.call];
    if (m_tries[call.tryIndex].crashHop == node.hop) {
        return crash(attempt.node, CrashDownTime);
    }
    if (isLast(node.hop)) {
        return endExecution(index, CompletionKind::Succeeded, Verdict::ran());
    }
    attempt.childBegan = m_now;
    const std::uint32_t childIndex = static_cast<std::uint32_t>(m_calls.size());
    attempt.childCall = childIndex;
    startCall(call.tryIndex, attempt.node, index, call.hop + 1, call.deadline, call.progress.granted);
}

void ChainReplay::endExecution(std::uint32_t index, CompletionKind kind, const Verdict &verdict)
{
    Attempt &attempt = m_attempts[index];
    ChainNode &node = m_nodes[attempt.node];
    if (!attempt.isRunning) {
        return;
    }
    attempt.isRunning = false;
    std::erase(node.running, index);
    if (node.target.life() == attempt.life && (attempt.isWorking || !node.target.abandon(index))) {
        node.target.leave(attempt.slowness);
    }
    std::vector<CrashReport> reports;
    const bool isAnswered = kind == CompletionKind::Succeeded || kind == CompletionKind::Failed || kind == CompletionKind::DownstreamOverloaded;
    if (m_rules.usesQuarantine && isAnswered) {
        node.quarantine.recordSuccess(fingerprintOf(tryOf(attempt)), m_now, reports);
    } else if (m_rules.usesQuarantine) {
        node.quarantine.recordEnd(fingerprintOf(tryOf(attempt)));
    }
    spread(reports);
    beginWork(attempt.node);
    AdmissionActions actions;
    const std::uint32_t nodeIndex = attempt.node;
    node.gate->complete(AttemptTicket{index}, {m_now - attempt.started, kind, attempt.downstreamTime, attempt.downstream}, m_now, actions);
    answer(index, verdict, kind != CompletionKind::Succeeded, kind == CompletionKind::DownstreamOverloaded);
    apply(nodeIndex, actions);
}

void ChainReplay::answer(std::uint32_t index, const Verdict &verdict, bool isError, bool isOverload)
{
    Attempt &attempt = m_attempts[index];
    const Try &root = tryOf(attempt);
    const TraceOrganisation &organisation = m_trace.organisations[root.organisation];
    attempt.verdict = verdict;
    attempt.isError = isError;
    attempt.isOverload = isOverload;
    attempt.hint = m_nodes[attempt.node].gate->hintFor(m_organisations[root.organisation], PriorityLevel{organisation.priority}, m_now);
    if (attempt.downstream) {
        attempt.hint = combinedHint(attempt.hint, *attempt.downstream);
    }
    const bool isWhole = verdict.isSuccess() && !isError;
    at(arrivalAt(attempt.node, m_calls[attempt.call].node, HeaderBytes + (isWhole ? m_trace.answerBytes : 0)), Kind::AnswerArrives, index);
}

void ChainReplay::cancelArrives(std::uint32_t index)
{
    Attempt &attempt = m_attempts[index];
    ChainNode &node = m_nodes[attempt.node];
    const std::uint32_t nodeIndex = attempt.node;
    AdmissionActions actions;
    if (attempt.isWaiting && node.gate->cancel(AttemptTicket{index}, m_now, actions)) {
        attempt.isWaiting = false;
        if (m_trace.organisations[tryOf(attempt).organisation].isKeyed) {
            node.ledger.undoBegin(tryOf(attempt).root);
        }
        node.quarantine.recordEnd(fingerprintOf(tryOf(attempt)));
        return apply(nodeIndex, actions);
    }
    if (!attempt.isRunning) {
        return;
    }
    if (attempt.childCall != None) {
        dropCall(attempt.childCall);
    }
    endExecution(index, CompletionKind::Cancelled, Verdict::unknown(Reason::Cancelled));
}

void ChainReplay::crash(std::uint32_t nodeIndex, Duration downTime)
{
    ChainNode &node = m_nodes[nodeIndex];
    if (node.target.isDown()) {
        return;
    }
    ++m_crashes;
    node.target.crash();
    const std::vector<std::uint32_t> running = std::exchange(node.running, {});
    std::vector<RequestFingerprint> fingerprints;
    fingerprints.reserve(running.size());
    for (const std::uint32_t it : running) {
        fingerprints.push_back(fingerprintOf(tryOf(m_attempts[it])));
    }
    std::vector<CrashReport> reports;
    if (m_rules.usesQuarantine) {
        node.quarantine.recordCrash(fingerprints, node.peer.incarnation, m_now, reports);
    }
    spread(reports);
    AdmissionActions actions;
    node.gate->startDraining(m_now, actions);
    for (const std::uint32_t it : running) {
        m_attempts[it].isRunning = false;
        if (m_attempts[it].childCall != None) {
            dropCall(m_attempts[it].childCall);
        }
        node.gate->complete(AttemptTicket{it}, {m_now - m_attempts[it].started, CompletionKind::Crashed}, m_now, actions);
        answer(it, Verdict::unknown(Reason::TargetFailed), false, false);
    }
    apply(nodeIndex, actions);
    announce(nodeIndex, TargetState::Gone);
    at(m_now + downTime, Kind::TargetReturns, nodeIndex);
}

void ChainReplay::announce(std::uint32_t index, TargetState state)
{
    ChainNode &node = m_nodes[index];
    node.state = state;
    ++node.version;
    m_records.push_back(node.record());
    at(m_now + SpreadTime, Kind::RecordArrives, static_cast<std::uint32_t>(m_records.size() - 1));
}

void ChainReplay::spread(const std::vector<CrashReport> &reports)
{
    for (const CrashReport &it : reports) {
        m_reports.push_back(it);
        at(m_now + SpreadTime, Kind::ReportArrives, static_cast<std::uint32_t>(m_reports.size() - 1));
    }
}

} // namespace banyankeel::replay
