/**
 * Requests to services: classes, outcomes and headers of the callers' interface.
 *
 * @module
 */

import { z } from 'zod'

/** Classes of requests, most urgent first. */
export const REQUEST_CLASSES = { urgent: 'urgent', normal: 'normal', batch: 'batch' } as const
export const requestClassSchema = z.enum(REQUEST_CLASSES)

/** One of {@link REQUEST_CLASSES}. */
export type RequestClass = z.infer<typeof requestClassSchema>

/** What is known of a request. */
export const OUTCOMES = {
  /** It ran, and its whole answer is known. */
  ran: 'ran',
  /** No byte of the work has reached an upstream, now or later. */
  notRun: 'not-run',
  /** It has been sent, and its answer is awaited. */
  running: 'running',
  /** It may have run. */
  unknown: 'unknown'
} as const
export const outcomeSchema = z.enum(OUTCOMES)

/** One of {@link OUTCOMES}. */
export type Outcome = z.infer<typeof outcomeSchema>

/** Headers of the callers' interface. Names are lower-case, as HTTP libraries give them. */
export const HEADERS = {
  idempotencyKey: 'idempotency-key',
  class: 'pomelofold-class',
  deadlineMs: 'pomelofold-deadline-ms',
  atMostOnce: 'pomelofold-at-most-once',
  team: 'pomelofold-team',
  requestId: 'pomelofold-request-id',
  outcome: 'pomelofold-outcome',
  /** Time from arrival until the request was sent to its upstream, in milliseconds. */
  waitedMs: 'pomelofold-waited-ms'
} as const

/** Bytes, whatever memory they are in. */
const bytesSchema: z.ZodType<Uint8Array> = z.instanceof(Uint8Array)

/** A request to a service as it travels between entry daemons. */
export const serviceRequestSchema = z.object({
  requestId: z.string().min(1),
  service: z.string().min(1),
  class: requestClassSchema,
  team: z.string().optional(),
  /** Milliseconds left until the caller gives up, at the moment of sending. */
  deadlineMs: z.number().positive(),
  /** True when the request must not be sent to a second upstream after it may have reached a first. */
  atMostOnce: z.boolean(),
  headers: z.record(z.string(), z.string()),
  body: bytesSchema
})

/** A request to a service. */
export type ServiceRequest = z.infer<typeof serviceRequestSchema>

/** Final answer to a request to a service. */
export const serviceAnswerSchema = z.object({
  outcome: z.enum([OUTCOMES.ran, OUTCOMES.notRun, OUTCOMES.unknown]),
  /** HTTP status for the caller. The upstream's own when `outcome` is `ran`. */
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  body: bytesSchema,
  /** Step and peer at which a refusal or failure arose. */
  step: z.string().optional(),
  peer: z.string().optional(),
  detail: z.string().optional(),
  /** When to come back, in milliseconds. */
  retryAfterMs: z.number().nonnegative().optional(),
  /** Time from arrival until the request was sent to its upstream, in milliseconds. */
  waitedMs: z.number().nonnegative().optional()
})

/** Answer to a request to a service. */
export type ServiceAnswer = z.infer<typeof serviceAnswerSchema>

/** Load of one service at one entry daemon, as told to peers. */
export const serviceLoadSchema = z.object({
  /** Expected time until a new request of each class would be sent, in milliseconds. */
  expectedWaitMs: z.record(z.string(), z.number()),
  freeSlots: z.number().int(),
  /** Requests that can be sent per millisecond while all slots are busy. */
  startsPerMs: z.number().nonnegative().optional()
})

/** Load of one service at one entry daemon. */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>

/** One step in the history of a request or job. */
export const historyEventSchema = z.object({
  /** Wall-clock milliseconds at the process that saw the step. */
  atMs: z.number(),
  vm: z.string(),
  step: z.string(),
  peer: z.string().optional(),
  epoch: z.number().optional(),
  detail: z.string().optional()
})

/** One step in the history of a request or job. */
export type HistoryEvent = z.infer<typeof historyEventSchema>

/** What is told of one request. */
export const requestRecordSchema = z.object({
  requestId: z.string(),
  outcome: outcomeSchema,
  history: z.array(historyEventSchema)
})

/** What is told of one request. */
export type RequestRecord = z.infer<typeof requestRecordSchema>
