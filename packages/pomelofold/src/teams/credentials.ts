/**
 * Decides whether a caller may be served, by its key and by how recently the configuration was known to be the newest.
 *
 * Load pattern: keys are withdrawn while VMs cannot reach the store, are suspended or are paused. A configuration that has
 * not been confirmed for too long may hold keys that a newer one has withdrawn, and may lack keys that a newer one has added.
 *
 * @module
 */

import { createHash } from 'node:crypto'
import type { TeamsConfig } from '../seams/workflowUpstreams.js'

/** Number of characters of a hash that a log line may contain. */
const LOGGED_HASH_CHARS = 8

/** Time limits for changes of keys. */
export interface CredentialBounds {
  /** True when a withdrawn key must not be accepted later than `withdrawalMs`, whether or not this VM can be reached. */
  strict: boolean
  /** Time from the confirmation of a version until the keys that it withdraws are refused, in milliseconds. */
  withdrawalMs: number
  /** Time from the confirmation of a version until VMs in contact with the store apply it, in milliseconds. */
  applyMs: number
}

/** Causes of a refusal. */
export const REFUSAL_CAUSES = {
  /** The queue requires a key, and the request has none. */
  missingKey: 'missing-key',
  /** The newest version has no such key. */
  unknownKey: 'unknown-key',
  /** A newer version may exist that decides otherwise. The request may be served elsewhere, or later. */
  notProvable: 'not-provable'
} as const

/** One of {@link REFUSAL_CAUSES}. */
export type RefusalCause = typeof REFUSAL_CAUSES[keyof typeof REFUSAL_CAUSES]

/** Result of a check. */
export interface CredentialDecision {
  /** Absent when the request may be served. */
  refusal?: RefusalCause
  /** Team of the key, if the configuration has the key. */
  team?: string
}

/** What a check depends on. */
export interface CredentialCheck {
  /** Hash of the request's key; undefined when the request has none. */
  keyHash: string | undefined
  /** True when the queue requires no key. */
  open: boolean
  /** Teams of the active configuration; undefined when it names none. */
  teams: TeamsConfig | undefined
  /** Time since the active configuration was known to be the newest, in milliseconds; infinite when it is not known. */
  proofAgeMs: number
  bounds: CredentialBounds
}

/** Hash under which the configuration lists a key. */
export function hashKey (key: string): string {
  return createHash('sha256').update(key).digest('base64url')
}

/** The part of a key's hash that logs show. */
export function loggedHash (keyHash: string | undefined): string | undefined {
  return keyHash?.slice(0, LOGGED_HASH_CHARS)
}

/** Checks the key of a request at this moment. */
export function checkCredential ({ keyHash, open, teams, proofAgeMs, bounds }: CredentialCheck): CredentialDecision {
  if (!teams) return {}
  const team = keyHash === undefined ? undefined : teams.nameByKeyHash.get(keyHash)
  const provable = !bounds.strict || proofAgeMs <= bounds.withdrawalMs
  if (team !== undefined && provable) return { team }
  if (open) return {}
  if (keyHash === undefined) return { refusal: REFUSAL_CAUSES.missingKey }
  if (team !== undefined) return { refusal: REFUSAL_CAUSES.notProvable, team }
  return { refusal: proofAgeMs <= bounds.applyMs ? REFUSAL_CAUSES.unknownKey : REFUSAL_CAUSES.notProvable }
}
