/**
 * Keys of the platform's store that the scheduling of workflows uses.
 *
 * @module
 */

/** Everything that callers have asked for: workflows and cancellations. One watch covers both. */
export const INTAKE_PREFIX = 'pomelofold/intake/'
const WORKFLOWS_PREFIX = `${INTAKE_PREFIX}workflows/`
const CANCELLATIONS_PREFIX = `${INTAKE_PREFIX}cancelled/`
/** What has become of workflows. */
export const PROGRESS_PREFIX = 'pomelofold/progress/'
/** Leader and members of the cell. */
export const CELL_PREFIX = 'pomelofold/cell/'
/** Daemon that schedules, under the lease of its session. */
export const LEADER_KEY = `${CELL_PREFIX}leader`
/** Number of the last term; outlives its leader. */
export const TERM_KEY = `${CELL_PREFIX}term`
const MEMBERS_PREFIX = `${CELL_PREFIX}members/`
/** Workers that may hold a lease of a scheduler. */
export const ROSTER_KEY = 'pomelofold/roster'

/** Key of a workflow. */
export function workflowKey (id: string): string {
  return `${WORKFLOWS_PREFIX}${id}`
}

/** Key of the cancellation of a workflow. */
export function cancellationKey (id: string): string {
  return `${CANCELLATIONS_PREFIX}${id}`
}

/** Key of what has become of a workflow. */
export function progressKey (id: string): string {
  return `${PROGRESS_PREFIX}${id}`
}

/** Key of a member of the cell. */
export function memberKey (vm: string): string {
  return `${MEMBERS_PREFIX}${vm}`
}

/** Id of the workflow at `key`; undefined when it is another key. */
export function workflowIdOf (key: string): string | undefined {
  return key.startsWith(WORKFLOWS_PREFIX) ? key.slice(WORKFLOWS_PREFIX.length) : undefined
}

/** Id of the workflow whose cancellation is at `key`; undefined when it is another key. */
export function cancelledWorkflowIdOf (key: string): string | undefined {
  return key.startsWith(CANCELLATIONS_PREFIX) ? key.slice(CANCELLATIONS_PREFIX.length) : undefined
}

/** Name of the member at `key`; undefined when it is another key. */
export function memberNameOf (key: string): string | undefined {
  return key.startsWith(MEMBERS_PREFIX) ? key.slice(MEMBERS_PREFIX.length) : undefined
}
