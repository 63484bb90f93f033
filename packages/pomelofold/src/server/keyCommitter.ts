/**
 * Commits the records of requests' idempotency keys to the platform in batches. The rate of each entry VM is limited so that
 * the total rate of the cell does not depend on its number of entry VMs.
 *
 * @module
 */

import Result from 'true-myth/result'
import type { Committer } from '../outcomes/keyedRequests.js'
import { COMMIT_REFUSALS, CommitRefusedError, GroupCommitter } from '../commits/groupCommitter.js'
import type { DaemonDependencies } from './daemonDependencies.js'

/** Minimum time between two group commits of an entry VM, multiplied by the number of entry VMs of the cell, in milliseconds. */
const MIN_COMMIT_INTERVAL_PER_VM_MS = 10

/** Timeout of storing the record of an idempotency key, in milliseconds. */
const COMMIT_TIMEOUT_MS = 3_000

/** Options of {@link createKeyCommitter}. */
export interface KeyCommitterOptions {
  dependencies: Pick<DaemonDependencies, 'timers' | 'platform' | 'random'>
  vm: string
  /** Number of entry VMs of the cell. */
  entryVms: number
}

/** Creates the committer of one entry daemon. A guard that does not match is reported as `applied: false`, not as an error. */
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
