/**
 * Runs random sequences of sentences of the scenario language and shrinks a failing one to a shortest sequence that violates
 * an invariant.
 *
 * @module
 */

import fc from 'fast-check'
import { findViolations } from './invariants.js'
import { runSentence, type World } from './steps.js'

/** Time in which work in flight and the leases of tasks end, in milliseconds. */
const SETTLE_MS = 300_000

const CELL = 'a cell of 2 failure domains with 2 entry VMs, 2 service instances and 2 workers each'

const entryVm = fc.constantFrom('a1', 'a2', 'b1', 'b2')
const domain = fc.constantFrom('a', 'b')
const worker = fc.constantFrom('worker-a1', 'worker-b1')
const instance = fc.constantFrom('instance-a1', 'instance-b2')

/** Generates the sentences of a sequence. */
const anySentence = fc.oneof(
  { weight: 4, arbitrary: fc.integer({ min: 1, max: 20 }).map(seconds => `${seconds} seconds pass`) },
  fc.constant('150 normal requests come in within 15 seconds'),
  fc.constant('80 keyed requests come in within 20 seconds, each through 2 entry VMs'),
  fc.constant('2 batch jobs of 12 tasks with 2 cpus for 6 seconds come in'),
  fc.constant('1 gang job of 5 tasks with 3 cpus for 6 seconds comes in'),
  entryVm.map(vm => `entry VM "${vm}" is killed`),
  entryVm.map(vm => `entry VM "${vm}" is restarted`),
  entryVm.map(vm => `entry VM "${vm}" is frozen`),
  fc.constant('every frozen entry VM resumes'),
  domain.map(name => `failure domain "${name}" is cut off from the other failure domains`),
  domain.map(name => `failure domain "${name}" is cut off from the platform`),
  fc.constantFrom('the platform is unavailable', 'the answers of the platform are lost', 'the platform answers with a delay of 700 milliseconds'),
  fc.constantFrom('the platform recovers', 'all connections are restored'),
  worker.map(name => `worker "${name}" is lost`),
  worker.map(name => `worker "${name}" is listed as leaving`),
  instance.map(name => `service instance "${name}" is listed as leaving`),
  instance.map(name => `service instance "${name}" answers 3000 milliseconds late`),
  fc.constant('every second job is cancelled')
)

/** Runs `runs` random sequences. Rejects with the shortest sequence found that violates an invariant. */
export async function randomWalk ({ seed, runs, maxSteps = 25 }: { seed: number, runs: number, maxSteps?: number }): Promise<void> {
  await fc.assert(fc.asyncProperty(fc.array(anySentence, { minLength: 5, maxLength: maxSteps }), async steps => {
    const found = await runSequence(steps)
    if (found.length > 0) throw new Error(found.slice(0, 5).join('; '))
  }), { seed, numRuns: runs, endOnFailure: true })
}

/** Runs one sequence in a new cell, ends all faults and returns the violations found. */
export async function runSequence (steps: string[]): Promise<string[]> {
  const world = { seed: 1, submissionResults: [], shutdowns: [] } as unknown as World
  for (const text of [CELL, ...steps]) await runSentence(world, text)
  for (const text of ['the platform recovers', 'all connections are restored', 'every frozen entry VM resumes']) await runSentence(world, text)
  await world.cell.clock.advance(SETTLE_MS)
  return findViolations(world)
}
