/**
 * Local copy of a failure domain's claim map and member keys, kept up to date by a watch on the platform.
 *
 * @module
 */

import type { PlatformClient, StoredValue, Watch } from '../seams/platformClient.js'
import type { Timers } from '../seams/timers.js'
import { errorText } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import { claimMapSchema, EMPTY_CLAIM_MAP, type ClaimMap, type ProcessId } from './claimMap.js'
import { CLAIM_KEYS, memberValueSchema, type MemberValue } from './memberKey.js'

/** Options of a {@link DomainView}. */
export interface DomainViewOptions {
  timers: Timers
  platform: PlatformClient
  log: EventLog
  failureDomain: string
  timeoutMs: number
  /** Called after the view has changed. */
  onChange: () => void
}

/** Delay before the keys are read again after a failed read or the end of a watch, in milliseconds. */
const WATCH_RETRY_MS = 1_000

/** Reads all keys of the failure domain once, then watches them. The claim map is never replaced by an older revision. */
export class DomainView {
  private readonly _options: DomainViewOptions
  private readonly _members = new Map<string, MemberValue>()
  /** Largest published epochs, by process. */
  private readonly _publishedEpochs = new Map<string, number>()
  private _map = EMPTY_CLAIM_MAP
  private _mapRevision = 0
  private _completeToRevision = 0
  private _watch: Watch | undefined
  /** Number of the latest refresh. Results of earlier ones and of their watches are ignored. */
  private _watchNumber = 0
  private _closed = false

  constructor (options: DomainViewOptions) {
    this._options = options
  }

  /** The latest claim map that was read or written. */
  get map (): ClaimMap {
    return this._map
  }

  /** Revision of {@link map}; 0 when no map has been written yet. */
  get mapRevision (): number {
    return this._mapRevision
  }

  /** Revision of the store up to which this view contains all changes. */
  get completeToRevision (): number {
    return this._completeToRevision
  }

  /** Values of the member keys that exist, by VM. */
  get members (): ReadonlyMap<string, MemberValue> {
    return this._members
  }

  /** Largest epoch that the process has published in its member key; 0 when none was read. */
  publishedEpochOf (process: ProcessId): number {
    return this._publishedEpochs.get(processKeyOf(process)) ?? 0
  }

  /** Reads all keys and starts a new watch. False when the platform did not answer or another refresh has started meanwhile. */
  async refresh (): Promise<boolean> {
    const { platform, failureDomain, timeoutMs } = this._options
    const prefix = CLAIM_KEYS.prefix(failureDomain)
    const watchNumber = ++this._watchNumber
    this._watch?.close()
    const read = await platform.range(prefix, { timeoutMs })
    if (this._closed || watchNumber !== this._watchNumber) return false
    if (read.isErr) {
      this._scheduleRefresh(watchNumber)
      return false
    }
    const { values, revision } = read.value
    if (revision >= this._completeToRevision) this._applySnapshot(values, revision)
    this._watch = platform.watch(prefix, revision + 1, {
      onEvents: events => {
        if (watchNumber !== this._watchNumber) return
        for (const { key, value, revision } of events) this._applyValue(key, value, revision)
        this._options.onChange()
      },
      onEnd: () => this._scheduleRefresh(watchNumber)
    })
    this._options.onChange()
    return true
  }

  /** Applies a map that this process has written, without waiting for the watch. */
  applyOwnWrite (map: ClaimMap, mapRevision: number): void {
    if (mapRevision <= this._mapRevision) return
    this._map = map
    this._mapRevision = mapRevision
    this._options.onChange()
  }

  close (): void {
    this._closed = true
    this._watchNumber++
    this._watch?.close()
  }

  private _scheduleRefresh (watchNumber: number): void {
    this._options.timers.after(WATCH_RETRY_MS, () => {
      if (watchNumber === this._watchNumber) this.refresh()
    })
  }

  private _applySnapshot (values: StoredValue[], revision: number): void {
    this._members.clear()
    for (const value of values) this._applyValue(value.key, value, value.modRevision)
    this._completeToRevision = revision
  }

  private _applyValue (key: string, value: StoredValue | undefined, revision: number): void {
    this._completeToRevision = Math.max(this._completeToRevision, revision)
    const { failureDomain } = this._options
    const members = CLAIM_KEYS.members(failureDomain)
    if (key === CLAIM_KEYS.map(failureDomain)) this._applyMap(value)
    else if (key.startsWith(members)) this._applyMember(key.slice(members.length), value)
  }

  private _applyMap (value: StoredValue | undefined): void {
    if (!value || value.modRevision <= this._mapRevision) return
    const map = this._parseValue(value, text => claimMapSchema.parse(JSON.parse(text)))
    if (!map) return
    this._map = map
    this._mapRevision = value.modRevision
  }

  private _applyMember (vm: string, value: StoredValue | undefined): void {
    const member = value && this._parseValue(value, text => memberValueSchema.parse(JSON.parse(text)))
    if (!member) {
      this._members.delete(vm)
      return
    }
    this._members.set(vm, member)
    const processKey = processKeyOf({ vm, incarnation: member.incarnation })
    this._publishedEpochs.set(processKey, Math.max(member.knows, this._publishedEpochs.get(processKey) ?? 0))
  }

  private _parseValue<T> ({ key, value }: StoredValue, parse: (text: string) => T): T | undefined {
    try {
      return parse(value)
    } catch (err) {
      this._options.log.event('error', 'claims.badValue', { step: 'claims.parse', peer: 'platform', key, detail: errorText(err) })
      return undefined
    }
  }
}

function processKeyOf ({ vm, incarnation }: ProcessId): string {
  return `${vm}/${incarnation}`
}
