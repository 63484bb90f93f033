/**
 * Settings of the job manager.
 *
 * @module
 */

/** Settings with their defaults. All times in milliseconds. */
export const DEFAULT_JOB_SETTINGS = {
  /** Length of a task's lease at its worker. */
  leaseMs: 120_000,
  /** Period of renewing the leases of one worker. */
  renewEveryMs: 40_000,
  /** Deadline of a call to a worker. */
  callTimeoutMs: 2_000,
  /** A message that was sent longer ago than this has arrived or never will; clock drift over a lease is included. */
  maxDeliveryMs: 15_000,
  /** Least time between two renewals of one worker. */
  minPollMs: 1_000,
  /** Longest time between two polls for a task that is past its expected end. */
  maxPollMs: 15_000,
  /** Time between probes of a worker that does not answer. */
  probeEveryMs: 5_000,
  /** Least time between two writes to the platform. */
  commitEveryMs: 250,
  /** Deadline of a caller's submission or cancellation. */
  commitTimeoutMs: 5_000,
  /** Pause between two turns of the scheduler while work is left. */
  passDelayMs: 5,
  /** Ended jobs are told for this long. */
  retentionMs: 24 * 3_600_000,
  /** First wait before a failed job or gang is tried again; doubles up to `maxBackoffMs`. */
  backoffMs: 1_000,
  maxBackoffMs: 60_000,
  /** Longest wait for a checkpoint before a task is stopped. */
  checkpointWaitMs: 2_500,
  /** Failures of one task after which its job fails. */
  maxTaskFailures: 5,
  /** First length of a worker's probation; doubles each time up to `maxProbationMs`. */
  probationMs: 60_000,
  maxProbationMs: 3_600_000
} as const

/** Settings of the job manager. */
export type JobSettings = { [K in keyof typeof DEFAULT_JOB_SETTINGS]: number }
