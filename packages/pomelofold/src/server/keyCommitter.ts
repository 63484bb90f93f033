/**
 * Commits the records of idempotency keys in groups, at a rate that all entry VMs of the cell can share.
 *
 * @module
 */

import Result from 'true-myth/result'
import type { Committer } from '../outcomes/keyedRequests.js'
import { COMMIT_REFUSALS, CommitRefusedError, GroupCommitter } from '../commits/groupCommitter.js'
import type { DaemonDependencies } from './daemonDependencies.js'

/** Least time between two group commits of one entry VM, for each entry VM of the cell, in milliseconds. */
const MIN_COMMIT_INTERVAL_PER_VM_MS = 10

/** Deadline of recording an idempotency key, in milliseconds. */
const COMMIT_TIMEOUT_MS = 3_000

/** Options of {@link createKeyCommitter}. */
export interface KeyCommitterOptions {
  dependencies: Pick<DaemonDependencies, 'timers' | 'platform' | 'random'>
  vm: string
  /** Entry VMs of the cell. */
  entryVms: number
}

/** Makes the committer of one entry daemon. A guard that does not hold is an answer, not an error. */
export function createKeyCommitter ({ dependencies: { timers, platform, random }, vm, entryVms }: KeyCommitterOptions): Committer {
  const committer = new GroupCommitter({ timers, platform, random, writer: `${vm}/keys`, minIntervalMs: MIN_COMMIT_INTERVAL_PER_VM_MS * entryVms })
  return {
    commit: async (changes, guards) => {
      const committed = await committer.commit(changes, { guards, timeoutMs: COMMIT_TIMEOUT_MS })
      if (committed.isOk) return Result.ok({ applied: true })
      const guardFailed = committed.error instanceof CommitRefusedError && committed.error.reason === COMMIT_REFUSALS.guard
      return guardFailed ? Result.ok({ applied: false }) : Result.err(committed.error)
    }
  }
}
