/**
 * Maintains the manifest in force at this process. Its revision never decreases: an older manifest is ignored, from the
 * platform as well as from peers.
 *
 * The holder of the failure domain's placer claim watches the manifest in the platform. The other entry VMs receive the
 * number of a new revision in heartbeats and fetch the manifest from the peer that sent it. Every entry VM also reads the
 * platform at a long period, which bounds the time until a revision is in force when both the watch and the heartbeats fail.
 *
 * @module
 */

import Result from 'true-myth/result'
import { match } from 'ts-pattern'
import { CallError, EFFECTS } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import { EMPTY_MANIFEST, MANIFEST_KEY, manifestSchema, type Manifest, type VersionedManifest } from '../protocol/manifest.js'
import type { PlatformClient, StoredValue, Watch } from '../seams/platformClient.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers, TimerSubscription } from '../seams/timers.js'

/** Period of reading the manifest from the platform in addition to the watch, in milliseconds. */
const PLATFORM_READ_PERIOD_MS = 8_000

/** Period of checking whether this process should watch the platform, in milliseconds. */
const WATCH_CHECK_PERIOD_MS = 500

/** Largest number of reads to find out whether a write whose answer was lost has taken effect. */
const MAX_SETTLE_READS = 3

/** Result of a submission. */
export type SubmitOutcome =
  | { kind: 'accepted', revision: number }
  /** Another manifest was committed after `baseRevision`; `revision` is the one in the platform. */
  | { kind: 'conflict', revision: number }

/** Fetches the manifest in force at the peer `vm`. */
export type FetchFromPeer = (vm: string) => Promise<Result<VersionedManifest, CallError>>

/** Options of a {@link ManifestKeeper}. */
export interface ManifestKeeperOptions {
  timers: Timers
  random: RandomSource
  platform: PlatformClient
  log: EventLog
  /** Names of the other entry VMs. */
  peers: string[]
  fetchFromPeer: FetchFromPeer
  /** True when this process is the one in its failure domain that watches the platform. */
  shouldWatch: () => boolean
}

/** Value of the manifest key in the platform. */
interface StoredManifest {
  /** Identifies the submission, so that reading back shows whether a write whose answer was lost has taken effect. */
  submission: string
  manifest: unknown
}

/** Holds the manifest in force at this process, and commits new ones. */
export class ManifestKeeper {
  private readonly _options: ManifestKeeperOptions
  private readonly _listeners = new Set<(current: VersionedManifest) => void>()
  private readonly _periodicTimers: TimerSubscription[] = []
  private _current: VersionedManifest = { revision: 0, manifest: EMPTY_MANIFEST }
  private _watch: Watch | undefined

  constructor (options: ManifestKeeperOptions) {
    this._options = options
  }

  /** The manifest in force here, with its revision. */
  current (): VersionedManifest {
    return this._current
  }

  /** Calls `fn` with every newer manifest. */
  onChange (fn: (current: VersionedManifest) => void): void {
    this._listeners.add(fn)
  }

  /** Loads the newest manifest from the platform and all peers, then starts the periodic reads and the watch. */
  async start (): Promise<void> {
    const { timers, peers } = this._options
    await Promise.all([this._readFromPlatform(), ...peers.map(vm => this._fetchFromPeer(vm))])
    this._periodicTimers.push(
      timers.every(PLATFORM_READ_PERIOD_MS, () => { this._readFromPlatform() }),
      timers.every(WATCH_CHECK_PERIOD_MS, () => this._updateWatch())
    )
  }

  stop (): void {
    for (const period of this._periodicTimers) period.cancel()
    this._watch?.close()
    this._watch = undefined
  }

  /** Fetches the manifest of the peer `vm` when `revision`, which is in force there, is newer than the one in force here. */
  onPeerRevision (vm: string, revision: number): void {
    if (revision > this._current.revision) this._fetchFromPeer(vm)
  }

  /** Commits a manifest that replaces the one of revision `baseRevision`. A conflict if the platform stores another one. */
  async submit (manifest: Manifest, baseRevision: number): Promise<Result<SubmitOutcome, CallError>> {
    const { platform, random, log } = this._options
    const submission = random.hex(16)
    const stored: StoredManifest = { submission, manifest }
    const txn = await platform.txn([{ key: MANIFEST_KEY, modRevision: baseRevision }], [{ op: 'put', key: MANIFEST_KEY, value: JSON.stringify(stored) }])
    if (txn.isErr && txn.error.effect === EFFECTS.none) return Result.err(txn.error)
    if (txn.isErr) return this._settleLostAnswer(submission, txn.error)
    if (!txn.value.applied) return this._readConflict()
    log.event('info', 'manifest.accepted', { revision: txn.value.revision })
    this._applyIfNewer({ revision: txn.value.revision, manifest }, 'submit')
    return Result.ok({ kind: 'accepted', revision: txn.value.revision })
  }

  /** Reads the manifest that a submission conflicts with. */
  private async _readConflict (): Promise<Result<SubmitOutcome, CallError>> {
    const read = await this._options.platform.get(MANIFEST_KEY)
    return read.map(stored => {
      this._applyStoredIfNewer(stored)
      return { kind: 'conflict', revision: stored?.modRevision ?? 0 }
    })
  }

  /** Finds out whether a write whose answer was lost has taken effect. */
  private async _settleLostAnswer (submission: string, err: CallError): Promise<Result<SubmitOutcome, CallError>> {
    for (let attempt = 0; attempt < MAX_SETTLE_READS; attempt++) {
      const read = await this._options.platform.get(MANIFEST_KEY)
      if (read.isErr) continue
      this._applyStoredIfNewer(read.value)
      const isOwn = read.value !== undefined && (JSON.parse(read.value.value) as StoredManifest).submission === submission
      if (isOwn) return Result.ok({ kind: 'accepted', revision: read.value!.modRevision })
    }
    const hint = 'request the status; if the manifest is not in force, submit it again against the revision in the status'
    return Result.err(new CallError('the answer to the write of the manifest was lost, and reading it back did not show whether it was committed',
      { step: 'manifest.submit', peer: err.peer, effect: EFFECTS.unknown, hint, cause: err }))
  }

  private async _readFromPlatform (): Promise<void> {
    const read = await this._options.platform.get(MANIFEST_KEY)
    match(read)
      .with({ isOk: true }, ({ value }) => this._applyStoredIfNewer(value))
      .otherwise(() => this._options.log.event('debug', 'manifest.read.failed', { step: 'platform.get' }))
  }

  private async _fetchFromPeer (vm: string): Promise<void> {
    const fetched = await this._options.fetchFromPeer(vm)
    if (fetched.isOk) this._applyIfNewer(fetched.value, vm)
  }

  private _updateWatch (): void {
    const { platform, shouldWatch, log } = this._options
    if (!shouldWatch()) {
      this._watch?.close()
      this._watch = undefined
      return
    }
    if (this._watch) return
    this._watch = platform.watch(MANIFEST_KEY, this._current.revision + 1, {
      onEvents: events => { for (const event of events) this._applyStoredIfNewer(event.value) },
      onEnd: reason => {
        log.event('info', 'manifest.watch.ended', { step: 'platform.watch', reason })
        this._watch = undefined
      }
    })
  }

  private _applyStoredIfNewer (stored: StoredValue | undefined): void {
    if (!stored || stored.modRevision <= this._current.revision) return
    const parsed = manifestSchema.safeParse((JSON.parse(stored.value) as StoredManifest).manifest)
    if (parsed.success) this._applyIfNewer({ revision: stored.modRevision, manifest: parsed.data }, 'platform')
    else this._options.log.event('error', 'manifest.unreadable', { revision: stored.modRevision, detail: parsed.error.message })
  }

  private _applyIfNewer (next: VersionedManifest, from: string): void {
    if (next.revision <= this._current.revision) return
    this._current = next
    this._options.log.event('info', 'manifest.in-force', { revision: next.revision, peer: from })
    for (const listener of this._listeners) listener(next)
  }
}
