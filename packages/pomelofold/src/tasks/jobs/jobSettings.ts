/**
 * Settings of the job manager.
 *
 * @module
 */

/** Default settings. All times are in milliseconds. */
export const DEFAULT_JOB_SETTINGS = {
  /** Length of a task's lease at its worker. */
  leaseMs: 120_000,
  /** Period at which the task leases of one worker are renewed. */
  renewEveryMs: 40_000,
  /** Deadline of a call to a worker. */
  callTimeoutMs: 2_000,
  /** Longest time until a sent message arrives, if it ever does. Includes clock drift over the length of a lease. */
  maxDeliveryMs: 15_000,
  /** Shortest time between two renewals of one worker. */
  minPollMs: 1_000,
  /** Longest time between two polls for a task that is past its expected end. */
  maxPollMs: 15_000,
  /** Time between probes of a worker that does not answer. */
  probeEveryMs: 5_000,
  /** Shortest time between two writes to the platform. */
  commitEveryMs: 250,
  /** Deadline for the commit of a submission or cancellation, after which the caller is answered. */
  commitTimeoutMs: 5_000,
  /** Delay between two passes of the scheduler while work is left. */
  passDelayMs: 5,
  /** Time for which ended jobs are kept. */
  retentionMs: 24 * 3_600_000,
  /** First delay before a failed job or gang is placed again; doubles up to `maxBackoffMs`. */
  backoffMs: 1_000,
  maxBackoffMs: 60_000,
  /** Longest wait for a checkpoint before a task is stopped. */
  checkpointWaitMs: 2_500,
  /** Number of task failures after which a job may end as failed. */
  maxTaskFailures: 5,
  /** First length of a worker's probation; doubles each time up to `maxProbationMs`. */
  probationMs: 60_000,
  maxProbationMs: 3_600_000
} as const

/** Settings of the job manager. */
export type JobSettings = { [K in keyof typeof DEFAULT_JOB_SETTINGS]: number }
