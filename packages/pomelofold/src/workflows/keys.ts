/**
 * Keys in the platform's store for the scheduling of workflows.
 *
 * @module
 */

/** Requests of callers: workflows and cancellations. They share a prefix so that one watch covers both. */
export const INTAKE_PREFIX = 'pomelofold/intake/'
const WORKFLOWS_PREFIX = `${INTAKE_PREFIX}workflows/`
const CANCELLATIONS_PREFIX = `${INTAKE_PREFIX}cancelled/`
/** Recorded progress and outcomes of workflows. */
export const PROGRESS_PREFIX = 'pomelofold/progress/'
/** Leader, last term and members of the cell. */
export const CELL_PREFIX = 'pomelofold/cell/'
/** The daemon that schedules. The key is attached to its lease. */
export const LEADER_KEY = `${CELL_PREFIX}leader`
/** Number and VM size of the last term. Not attached to a lease, so that it is kept when the leader ends. */
export const TERM_KEY = `${CELL_PREFIX}term`
/** Ends of the leases of lost workers. Under this prefix, since every daemon counts them from when it sees them. */
export const LEASE_ENDS_KEY = `${CELL_PREFIX}lease-ends`
const MEMBERS_PREFIX = `${CELL_PREFIX}members/`
/** Worker incarnations that may hold a lease from a scheduler. */
export const ROSTER_KEY = 'pomelofold/roster'

/** Learned speeds of the workers, which a new scheduler starts with. */
export const SPEEDS_KEY = 'pomelofold/speeds'

/** Key of a workflow. */
export function workflowKey (id: string): string {
  return `${WORKFLOWS_PREFIX}${id}`
}

/** Key of the cancellation of a workflow. */
export function cancellationKey (id: string): string {
  return `${CANCELLATIONS_PREFIX}${id}`
}

/** Key of the progress or outcome of a workflow. */
export function progressKey (id: string): string {
  return `${PROGRESS_PREFIX}${id}`
}

/** Key of a member of the cell. */
export function memberKey (vm: string): string {
  return `${MEMBERS_PREFIX}${vm}`
}

/** Id of the workflow at `key`; undefined for other kinds of keys. */
export function workflowIdOf (key: string): string | undefined {
  return key.startsWith(WORKFLOWS_PREFIX) ? key.slice(WORKFLOWS_PREFIX.length) : undefined
}

/** Id of the workflow whose cancellation is at `key`; undefined for other kinds of keys. */
export function cancelledWorkflowIdOf (key: string): string | undefined {
  return key.startsWith(CANCELLATIONS_PREFIX) ? key.slice(CANCELLATIONS_PREFIX.length) : undefined
}

/** VM of the member at `key`; undefined for other kinds of keys. */
export function memberNameOf (key: string): string | undefined {
  return key.startsWith(MEMBERS_PREFIX) ? key.slice(MEMBERS_PREFIX.length) : undefined
}
