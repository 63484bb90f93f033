/**
 * Messages between entry daemons and the schemas that validate them on receipt.
 * To add a method, add one entry to {@link peerMethodSchemas}.
 *
 * @module
 */

import { z } from 'zod'
import { JOB_STATES, jobSpecSchema, jobViewSchema } from './jobs.js'
import { leaseEndSchema } from './leaseEnds.js'
import { manifestSchema } from './manifest.js'
import { teamBacklogSchema } from './teams.js'
import { vmRecordSchema } from './vms.js'
import { RELEASE_OUTCOMES, workflowSchema } from './workflows.js'
import { outcomeSchema, requestRecordSchema, serviceAnswerSchema, serviceLoadSchema, serviceRequestSchema } from './requests.js'

/** Version of the protocol between entry daemons. Connections from peers with another version are refused. */
export const PEER_PROTOCOL_VERSION = 1

/** Loads of services by service name. */
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
    /** True when the call may have taken effect despite this answer. */
    mayHaveEffect: z.boolean().default(false)
  })
])

/** Answer to a call about one job. */
export type JobAnswer = z.infer<typeof jobAnswerSchema>

/** Version of the configuration, and the time since it was known to be the newest, in milliseconds; null when not known. */
const configurationProofSchema = z.object({ version: z.number().nullable(), ageMs: z.number().nonnegative().nullable() })

/** Methods of the protocol with the schemas of their parameters and results. */
export const peerMethodSchemas = {
  /** Exchanges loads and manifest revisions with the peer. */
  heartbeat: {
    params: z.object({ revision: z.number().int(), loads: loadsSchema }),
    result: z.object({ revision: z.number().int(), loads: loadsSchema, leaving: z.boolean() })
  },
  fetchManifest: {
    params: z.object({}),
    result: z.object({ revision: z.number().int(), manifest: manifestSchema })
  },
  /** Reads the platform's list of VMs of a failure domain for a daemon that cannot. Null when the peer cannot either. */
  listVms: {
    params: z.object({ failureDomain: z.string() }),
    result: z.object({ vms: z.array(vmRecordSchema).nullable() })
  },
  /** Runs a request on service instances that the peer controls. */
  forwardRequest: {
    params: z.object({ request: serviceRequestSchema }),
    result: z.object({
      answer: serviceAnswerSchema,
      load: serviceLoadSchema.optional(),
      /** Time from the receipt of the request by the peer until its answer, in milliseconds. */
      tookMs: z.number().nonnegative().optional()
    })
  },
  /** Reads the outcome of a request from the process that recorded its idempotency key. */
  keyedOutcome: {
    params: z.object({ key: z.string(), requestId: z.string() }),
    result: z.object({ outcome: outcomeSchema, answer: serviceAnswerSchema.optional() })
  },
  /**
   * Requests a promise that the peer does not take over claims of the sender while the platform cannot be reached.
   * The promise is valid for `forMs` milliseconds from receipt; 0 releases it.
   * `sequence` increases with each message of an incarnation. The peer ignores messages that are older than the last one.
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
    /** False when the peer does not manage the jobs of its failure domain. */
    result: z.object({ jobs: z.array(jobViewSchema), active: z.boolean().default(true) })
  },
  /** Reads the history of a job. Null when the peer does not manage the job. */
  explainJob: { params: z.object({ jobId: z.string() }), result: z.record(z.string(), z.unknown()).nullable() },
  /** Notifies the workflow scheduler of a workflow that has been stored. The answer tells how its team stands. */
  workflowStored: {
    params: z.object({ workflow: workflowSchema, revision: z.number().int() }),
    result: z.object({ backlog: teamBacklogSchema.optional() })
  },
  /** Notifies the workflow scheduler of a cancellation that has been stored. */
  workflowCancelled: { params: z.object({ id: z.string() }), result: z.object({}) },
  /** Reads the state of a workflow from the scheduler. Null when the workflow is unknown, or the peer is not the scheduler. */
  workflowState: {
    params: z.object({ id: z.string() }),
    result: z.object({ state: z.enum(JOB_STATES).nullable(), queue: z.string().optional(), reason: z.string().optional() })
  },
  /** Notifies the previous scheduler that another one was elected with a newer epoch. `retired` is true once it does not schedule. */
  retireScheduler: { params: z.object({ epoch: z.number().int() }), result: z.object({ retired: z.boolean() }) },
  /** Deletes the leader's entry for a scheduler that cannot reach the store, if it is still the one of that epoch. */
  releaseLeadership: { params: z.object({ epoch: z.number().int() }), result: z.object({ outcome: z.enum(RELEASE_OUTCOMES) }) },
  /**
   * Reads whether the peer can reach the platform's store, for how long it has without a break, and for how long it has known the
   * leader of `leaderEpoch`, in milliseconds.
   */
  reachesStore: {
    params: z.object({ leaderEpoch: z.number().int().optional() }),
    result: z.object({ reaches: z.boolean(), forMs: z.number().default(0), leaderKnownForMs: z.number().default(0) })
  },
  /** Reads for how long the leases of lost workers last, as the peer counts them from when it first saw each loss. */
  leaseEnds: { params: z.object({}), result: z.object({ leases: z.array(leaseEndSchema) }) },
  /** Reads from the scheduler how many workflows of each queue have not started. Null when the peer is not the scheduler. */
  queueDepths: { params: z.object({}), result: z.object({ waiting: z.record(z.string(), z.number().int()).nullable() }) },
  /** Stores a workflow for a daemon that cannot reach the platform. */
  storeWorkflow: {
    params: z.object({ workflow: workflowSchema }),
    result: z.object({ outcome: z.enum(['stored', 'notStored', 'unknown']) })
  },
  /** Stores a cancellation for a daemon that cannot reach the platform. */
  storeCancellation: { params: z.object({ id: z.string() }), result: z.object({ outcome: z.enum(['stored', 'unknownWorkflow', 'failed']) }) },
  /**
   * Calls the eligibility service from the peer: the service handles one call per daemon at a time, but calls from
   * several daemons in parallel. Null when the call failed.
   */
  askEligibility: {
    params: z.object({ step: z.string(), workers: z.array(z.string()), timeoutMs: z.number() }),
    result: z.object({ answer: z.object({ tickets: z.record(z.string(), z.string()), validMs: z.number() }).nullable() })
  },
  /** Reads which version of the configuration the peer has, and how recently that was the newest. */
  configurationProof: { params: z.object({}), result: configurationProofSchema },
  /**
   * Reads the peer's configuration, as a text that only the program's own adapter interprets. It contains no keys. A sender that
   * sets `compressed` gets the text in that form.
   */
  configurationText: {
    params: z.object({ compressed: z.boolean().default(false) }),
    result: configurationProofSchema.extend({ text: z.string().nullable(), compressed: z.instanceof(Uint8Array).optional() })
  },
  explainRequest: { params: z.object({ requestId: z.string() }), result: requestRecordSchema.nullable() },
  /** Reads the figures for reports; see `reports/`. */
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

/** First frame on a connection, sent by the side that opened it. */
export const helloSchema = z.object({
  type: z.literal('hello'),
  protocol: z.number().int(),
  vm: z.string().min(1),
  failureDomain: z.string().min(1),
  incarnation: z.string().min(1)
})

/** Maximum length of the name of a method. */
const MAX_METHOD_CHARS = 100

/** Frames that follow the first one on a connection. */
export const frameSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('welcome'), vm: z.string(), incarnation: z.string() }),
  z.object({ type: z.literal('refused'), reason: z.string() }),
  z.object({ type: z.literal('call'), id: z.number().int(), method: z.string().max(MAX_METHOD_CHARS), params: z.unknown() }),
  z.object({ type: z.literal('result'), id: z.number().int(), result: z.unknown() }),
  z.object({ type: z.literal('error'), id: z.number().int(), message: z.string(), effect: z.enum(['none', 'unknown']) })
])

/** A frame that follows the first one. */
export type Frame = z.infer<typeof frameSchema>
