/**
 * Messages between entry daemons, with the validators that stand at the boundary.
 * To add a method, add one entry to {@link peerMethodSchemas}.
 *
 * @module
 */

import { z } from 'zod'
import { JOB_STATES, jobSpecSchema, jobViewSchema } from './jobs.js'
import { manifestSchema } from './manifest.js'
import { vmRecordSchema } from './vms.js'
import { workflowSchema } from './workflows.js'
import { outcomeSchema, requestRecordSchema, serviceAnswerSchema, serviceLoadSchema, serviceRequestSchema } from './requests.js'

/** Version of the protocol between entry daemons. Peers of another version are refused. */
export const PEER_PROTOCOL_VERSION = 1

/** Loads by service name. */
const loadsSchema = z.record(z.string(), serviceLoadSchema)

/** Answer to a call about one job. */
export const jobAnswerSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('job'), job: jobViewSchema }),
  z.object({ kind: z.literal('notFound') }),
  z.object({ kind: z.literal('conflict'), detail: z.string() }),
  z.object({ kind: z.literal('cannotRun'), detail: z.string() }),
  z.object({
    kind: z.literal('unavailable'),
    detail: z.string(),
    retryAfterMs: z.number(),
    /** True when the call may have taken effect all the same. */
    mayHaveEffect: z.boolean().default(false)
  })
])

/** Answer to a call about one job. */
export type JobAnswer = z.infer<typeof jobAnswerSchema>

/** Methods of the protocol: parameters and result of each. */
export const peerMethodSchemas = {
  /** Tells load and revision, and learns the same from the peer. */
  heartbeat: {
    params: z.object({ revision: z.number().int(), loads: loadsSchema }),
    result: z.object({ revision: z.number().int(), loads: loadsSchema, leaving: z.boolean() })
  },
  fetchManifest: {
    params: z.object({}),
    result: z.object({ revision: z.number().int(), manifest: manifestSchema })
  },
  /** Asks the peer to read the platform's list of VMs of a failure domain, for one that cannot. Null when the peer cannot either. */
  listVms: {
    params: z.object({ failureDomain: z.string() }),
    result: z.object({ vms: z.array(vmRecordSchema).nullable() })
  },
  /** Runs a request on the peer's own service instances. */
  forwardRequest: {
    params: z.object({ request: serviceRequestSchema }),
    result: z.object({
      answer: serviceAnswerSchema,
      load: serviceLoadSchema.optional(),
      /** Time from the peer's receipt until its answer, in milliseconds. */
      tookMs: z.number().nonnegative().optional()
    })
  },
  /** Asks the process that recorded a key what became of its request. */
  keyedOutcome: {
    params: z.object({ key: z.string(), requestId: z.string() }),
    result: z.object({ outcome: outcomeSchema, answer: serviceAnswerSchema.optional() })
  },
  /**
   * Asks the peer not to take over claims of the sender while the platform cannot be reached.
   * The promise lasts `forMs` milliseconds from the peer's receipt; 0 releases it.
   * `sequence` grows with each message of an incarnation; the peer ignores older ones.
   */
  promise: {
    params: z.object({ forMs: z.number().nonnegative(), sequence: z.number().int(), mapRevision: z.number().int() }),
    result: z.object({ granted: z.boolean(), mapRevision: z.number().int() })
  },
  submitJob: {
    params: z.object({ jobId: z.string(), spec: jobSpecSchema, digest: z.string() }),
    result: jobAnswerSchema
  },
  getJob: { params: z.object({ jobId: z.string() }), result: jobAnswerSchema },
  cancelJob: { params: z.object({ jobId: z.string() }), result: jobAnswerSchema },
  listJobs: {
    params: z.object({}),
    /** `active` is false at an entry VM that does not keep its failure domain's jobs. */
    result: z.object({ jobs: z.array(jobViewSchema), active: z.boolean().default(true) })
  },
  /** History of a job; null at an entry VM that does not keep it. */
  explainJob: { params: z.object({ jobId: z.string() }), result: z.record(z.string(), z.unknown()).nullable() },
  /** Tells the scheduler of workflows of one that has been stored. */
  workflowStored: { params: z.object({ workflow: workflowSchema, revision: z.number().int() }), result: z.object({}) },
  /** Tells the scheduler of workflows of a stored cancellation. */
  workflowCancelled: { params: z.object({ id: z.string() }), result: z.object({}) },
  /** Asks the scheduler for a workflow's state. Null when it does not know the workflow, or does not schedule. */
  workflowState: {
    params: z.object({ id: z.string() }),
    result: z.object({ state: z.enum(JOB_STATES).nullable(), queue: z.string().optional() })
  },
  /** Tells an earlier scheduler that another one is elected, and whether this process sent anything since it was. */
  retireScheduler: { params: z.object({ epoch: z.number().int() }), result: z.object({ retired: z.boolean() }) },
  /** Asks whether the peer reaches the platform's store. */
  reachesStore: { params: z.object({}), result: z.object({ reaches: z.boolean() }) },
  /** Asks the scheduler how many workflows of each queue have not started. Null at other daemons. */
  queueDepths: { params: z.object({}), result: z.object({ waiting: z.record(z.string(), z.number().int()).nullable() }) },
  /** Stores a workflow for a daemon that has no path to the platform. */
  storeWorkflow: {
    params: z.object({ workflow: workflowSchema }),
    result: z.object({ outcome: z.enum(['stored', 'notStored', 'unknown']) })
  },
  /** Stores a cancellation for a daemon that has no path to the platform. */
  storeCancellation: { params: z.object({ id: z.string() }), result: z.object({ outcome: z.enum(['stored', 'unknownWorkflow', 'failed']) }) },
  /** Asks the eligibility service in this daemon's place in its line. Null when the call failed. */
  askEligibility: {
    params: z.object({ step: z.string(), workers: z.array(z.string()), timeoutMs: z.number() }),
    result: z.object({ answer: z.object({ tickets: z.record(z.string(), z.string()), validMs: z.number() }).nullable() })
  },
  explainRequest: { params: z.object({ requestId: z.string() }), result: requestRecordSchema.nullable() },
  /** Figures for reports; see `reports/`. */
  figures: { params: z.object({}), result: z.record(z.string(), z.unknown()) }
} as const

/** Name of a method. */
export type PeerMethod = keyof typeof peerMethodSchemas

/** Types of parameters and results by method. */
export type PeerMethods = {
  [M in PeerMethod]: {
    params: z.infer<typeof peerMethodSchemas[M]['params']>
    result: z.infer<typeof peerMethodSchemas[M]['result']>
  }
}

/** First frame on a connection, from the side that opened it. */
export const helloSchema = z.object({
  type: z.literal('hello'),
  protocol: z.number().int(),
  vm: z.string().min(1),
  failureDomain: z.string().min(1),
  incarnation: z.string().min(1)
})

/** Frames on a connection after the first. */
export const frameSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('welcome'), vm: z.string(), incarnation: z.string() }),
  z.object({ type: z.literal('refused'), reason: z.string() }),
  z.object({ type: z.literal('call'), id: z.number().int(), method: z.string(), params: z.unknown() }),
  z.object({ type: z.literal('result'), id: z.number().int(), result: z.unknown() }),
  z.object({ type: z.literal('error'), id: z.number().int(), message: z.string(), effect: z.enum(['none', 'unknown']) })
])

/** A frame after the first. */
export type Frame = z.infer<typeof frameSchema>
