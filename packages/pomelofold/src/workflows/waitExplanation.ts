/**
 * Finds out why a blocked step waits.
 *
 * @module
 */

import { withoutExcluded } from './avoidedWorkers.js'
import { isSuspect } from './crashTracker.js'
import { ELIGIBILITY, type EligibilityCache } from './eligibilityCache.js'
import type { PlacementPass } from './placementPass.js'
import type { BlockedStep } from './readyStep.js'
import { StepRoom } from './stepPlacer.js'
import { WAIT_CAUSES, type WaitCause } from './waitReporter.js'
import type { WorkerSession } from './workerSession.js'

/** Cause of a wait, with the counts of workers and of room that show it. */
export interface WaitExplanation {
  cause: WaitCause
  [count: string]: string | number
}

/** Why the tasks of a blocked step could not be placed in the pass. */
export function explainWait (blocked: BlockedStep, pass: PlacementPass, eligibility: EligibilityCache): WaitExplanation {
  const { step, queue, waiting } = blocked
  const usable = pass.workersFor(step, queue.service)
  const slotsOf = (room: StepRoom, workers: WorkerSession[]): number =>
    workers.reduce((sum, worker) => sum + room.slots(worker, waiting), 0)
  const unclaimed = new StepRoom(step, worker => pass.freeRoom(blocked, worker))
  const answers = usable.map(worker => eligibility.stateOf(step.name, worker.incarnation))
  const countOf = (state: string): number => answers.filter(answer => answer === state).length
  const allowed = queue.eligibility ? usable.filter((_worker, index) => answers[index] !== ELIGIBILITY.refused) : usable
  const holders = usable.filter((_worker, index) => answers[index] === ELIGIBILITY.ticket)
  const known = usable.filter((_worker, index) => answers[index] === ELIGIBILITY.ticket || answers[index] === ELIGIBILITY.expired)
  const waitingTasks = step.waitingTasks(pass.nowMs)
  const counts = {
    workers: usable.length,
    eligible: queue.eligibility ? known.length : usable.length,
    unknown: queue.eligibility ? countOf(ELIGIBILITY.unknown) : 0,
    slots: slotsOf(new StepRoom(step), usable),
    openSlots: slotsOf(new StepRoom(step), withoutExcluded(usable, waitingTasks, pass.nowMs)),
    allowedSlots: slotsOf(new StepRoom(step), allowed),
    unclaimedSlots: slotsOf(unclaimed, allowed),
    ...queue.eligibility && {
      tickets: holders.length,
      expired: countOf(ELIGIBILITY.expired),
      ticketSlots: slotsOf(unclaimed, holders),
      eligibleSlots: slotsOf(unclaimed, known),
      calls: [...eligibility.pendingCalls(step.name)].length
    }
  }
  const cause = ((): WaitCause => {
    if (waitingTasks.some(isSuspect)) return WAIT_CAUSES.trial
    if (usable.length === 0) return WAIT_CAUSES.noWorker
    if (eligibility.isQueryPending(step.name)) return WAIT_CAUSES.eligibilityPending
    if (counts.slots === 0) return WAIT_CAUSES.noRoom
    if (counts.openSlots === 0) return WAIT_CAUSES.avoided
    if (counts.allowedSlots === 0) return WAIT_CAUSES.notEligible
    if (counts.unclaimedSlots === 0) return WAIT_CAUSES.roomClaimed
    if (step.spec.gang && counts.unclaimedSlots < waiting) return WAIT_CAUSES.tooLittleRoom
    return queue.eligibility ? WAIT_CAUSES.eligibilityBusy : WAIT_CAUSES.tooLittleRoom
  })()
  return { cause, ...counts }
}
