/**
 * Requests to services: classes, outcomes and the headers of the callers' interface.
 *
 * @module
 */

import { z } from 'zod'

/** Classes of requests, most urgent first. */
export const REQUEST_CLASSES = { urgent: 'urgent', normal: 'normal', batch: 'batch' } as const
export const requestClassSchema = z.enum(REQUEST_CLASSES)

/** One of {@link REQUEST_CLASSES}. */
export type RequestClass = z.infer<typeof requestClassSchema>

/** What is known about a request. */
export const OUTCOMES = {
  /** It ran, and its complete answer is known. */
  ran: 'ran',
  /** Nothing of it has reached an upstream, and nothing will. */
  notRun: 'not-run',
  /** It has been sent, and there is no answer yet. */
  running: 'running',
  /** It may have run. */
  unknown: 'unknown'
} as const
export const outcomeSchema = z.enum(OUTCOMES)

/** One of {@link OUTCOMES}. */
export type Outcome = z.infer<typeof outcomeSchema>

/** Headers of the callers' interface. The names are in lower case, as HTTP libraries return them. */
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

/** Bytes in any kind of buffer: the type is wider than the one that zod infers. */
const bytesSchema: z.ZodType<Uint8Array> = z.instanceof(Uint8Array)

/** A request to a service, as one entry daemon forwards it to another. */
export const serviceRequestSchema = z.object({
  requestId: z.string().min(1),
  service: z.string().min(1),
  class: requestClassSchema,
  team: z.string().optional(),
  /** Time left until the caller's deadline when this message is sent, in milliseconds. */
  deadlineMs: z.number().positive(),
  /** True when the request must not be sent to another upstream once it may have reached one. */
  atMostOnce: z.boolean(),
  headers: z.record(z.string(), z.string()),
  body: bytesSchema
})

/** A request to a service. */
export type ServiceRequest = z.infer<typeof serviceRequestSchema>

/** Final answer to a request to a service. */
export const serviceAnswerSchema = z.object({
  outcome: z.enum([OUTCOMES.ran, OUTCOMES.notRun, OUTCOMES.unknown]),
  /** HTTP status for the caller. It is the upstream's status when `outcome` is `ran`. */
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  body: bytesSchema,
  /** Step and peer at which the request was refused or failed. */
  step: z.string().optional(),
  peer: z.string().optional(),
  detail: z.string().optional(),
  /** Recommended delay before the caller retries, in milliseconds. */
  retryAfterMs: z.number().nonnegative().optional(),
  /** Time from arrival until the request was sent to its upstream, in milliseconds. */
  waitedMs: z.number().nonnegative().optional()
})

/** Answer to a request to a service. */
export type ServiceAnswer = z.infer<typeof serviceAnswerSchema>

/** Load of one service at one entry daemon, as reported to peers. */
export const serviceLoadSchema = z.object({
  /** Expected time until a new request of each class would be sent, in milliseconds. */
  expectedWaitMs: z.record(z.string(), z.number()),
  /** Number of requests that can be sent to instances at once. */
  freeSlots: z.number().int(),
  /** Rate at which requests can be sent while all slots are in use, per millisecond. */
  startsPerMs: z.number().nonnegative().optional()
})

/** Load of one service at one entry daemon. */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>

/** One step in the history of a request or job. */
export const historyEventSchema = z.object({
  /** Date of the step on the wall clock of the process that recorded it, in milliseconds since the Unix epoch. */
  atMs: z.number(),
  vm: z.string(),
  step: z.string(),
  peer: z.string().optional(),
  epoch: z.number().optional(),
  detail: z.string().optional()
})

/** One step in the history of a request or job. */
export type HistoryEvent = z.infer<typeof historyEventSchema>

/** Outcome and history of one request, as callers and operators see it. */
export const requestRecordSchema = z.object({
  requestId: z.string(),
  outcome: outcomeSchema,
  history: z.array(historyEventSchema)
})

/** Outcome and history of one request, as callers and operators see it. */
export type RequestRecord = z.infer<typeof requestRecordSchema>
