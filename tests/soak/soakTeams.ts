/**
 * The teams of a soak: keys that are added and withdrawn, a cap that changes, a team that floods, and what each version allows.
 *
 * @module
 */

import { SeededRandom } from '@pomelofold/standins/seededRandom'
import type { Timers } from 'pomelofold/seams/timers'

/** Time limits for changes of keys, as in the daemons' settings, in milliseconds. */
export const KEY_BOUNDS = { revokeMs: 3_000, applyMs: 2_000 }
/** Team that submits many times its usual while it floods. */
export const FLOODING_TEAM = 'flooding'
const CAPPED_TEAM = 'capped'
const WEIGHTS: Record<string, number> = { steady: 8, [CAPPED_TEAM]: 8, [FLOODING_TEAM]: 1 }
const TEAMS = Object.keys(WEIGHTS)
/** Larger and smaller cap of the capped team. */
const CAPS_CPU_MILLIS = [8_000, 4_000]
/** Part of a cap by which a team may exceed it. */
const CAP_OVERAGE = 0.1
/** Time after a fault until daemons are in touch with the store again, in milliseconds. */
const RECONTACT_MS = 2_000
const SAMPLE_PERIOD_MS = 100
/** Of so many jobs one has a key that is not valid, and of so many calls for other jobs. */
const BAD_KEY_JOBS = 8
const BAD_KEY_CALLS = 16
/** Distance of the seeds from those of the other draws. */
const SEED_OFFSET = 50_000_000

/** Time in which a key was valid, in milliseconds. */
interface KeyLife { team: string, addedMs: number, withdrawnMs: number }
/** Time in which a cap may be in force, in milliseconds. */
interface CapLife { cpuMillis: number, fromMs: number, supersededMs: number, endedMs: number }

/** True for the half of the seeds whose soaks have teams. */
export function hasTeams (seed: number): boolean {
  return new SeededRandom(seed + SEED_OFFSET).int(2) === 0
}

/** Draws the changes, and decides which answers and starts they allow. Times are those of the stand-ins' clock. */
export class SoakTeams {
  /** Descriptions of answers that contradict the versions. */
  readonly violations: string[] = []
  /** Number of calls that were refused for their key. */
  refusedCalls = 0
  /** Number of floods that go on. */
  floods = 0
  private readonly _timers: Timers
  private readonly _random: SeededRandom
  private readonly _keys = new Map<string, KeyLife>()
  private readonly _caps: CapLife[] = []
  private readonly _isDisturbed: () => boolean
  private _disturbedMs = Number.NEGATIVE_INFINITY

  constructor ({ seed, timers, isDisturbed }: { seed: number, timers: Timers, isDisturbed: () => boolean }) {
    this._timers = timers
    this._random = new SeededRandom(seed + 2 * SEED_OFFSET)
    this._isDisturbed = isDisturbed
    for (const team of [...TEAMS, ...TEAMS]) this.addKey(team)
    this.changeCap()
    timers.every(SAMPLE_PERIOD_MS, () => this._endSuperseded())
  }

  /** The teams as the stored configuration names them now. */
  tenants (): object[] {
    return TEAMS.map(name => ({
      name,
      weight: WEIGHTS[name],
      cap: { cpu: name === CAPPED_TEAM ? this._caps.at(-1)!.cpuMillis : 0, mem_mb: 0, gpu: 0 },
      api_keys: this._validKeys(name)
    }))
  }

  /** Valid from the next version on, which the caller writes at once; so are the other changes. */
  addKey (team = this.anyTeam()): void {
    this._keys.set(this._newKey(), { team, addedMs: this._timers.now(), withdrawnMs: Number.POSITIVE_INFINITY })
  }

  /** Withdraws the oldest key of a team that has another one. */
  withdrawKey (): void {
    const candidates = TEAMS.map(team => this._validKeys(team)).filter(keys => keys.length > 1)
    if (candidates.length > 0) this._keys.get(candidates[this._random.int(candidates.length)][0])!.withdrawnMs = this._timers.now()
  }

  changeCap (): void {
    const nowMs = this._timers.now()
    const before = this._caps.at(-1)
    if (before) before.supersededMs = nowMs
    const cpuMillis = CAPS_CPU_MILLIS[this._caps.length % CAPS_CPU_MILLIS.length]
    this._caps.push({ cpuMillis, fromMs: nowMs, supersededMs: Number.POSITIVE_INFINITY, endedMs: Number.POSITIVE_INFINITY })
  }

  /** Sets the larger cap, under which the work that is left can end. Returns whether it was the smaller one. */
  restoreCap (): boolean {
    const isSmaller = this._caps.at(-1)!.cpuMillis !== CAPS_CPU_MILLIS[0]
    if (isSmaller) this.changeCap()
    return isSmaller
  }

  anyTeam (): string {
    return TEAMS[this._random.int(TEAMS.length)]
  }

  /** Key for the submission of a job that is not valid; undefined for most jobs. */
  keyOfBadJob (): string | undefined {
    return this._random.int(BAD_KEY_JOBS) ? undefined : this._badKey()
  }

  /** Key for a call of a team: usually a valid one. */
  keyOfCall (team: string): string {
    const valid = this._validKeys(team)
    return this._random.int(BAD_KEY_CALLS) ? valid[this._random.int(valid.length)] : this._badKey()
  }

  /** Team of a key that a version held; undefined for others. */
  teamOf (key: string): string | undefined {
    return this._keys.get(key)?.team
  }

  /** All keys with the answer to expect when the bounds have passed, and one that no version held. */
  keysAndStatuses (): Array<[key: string, status: number]> {
    const known = [...this._keys].map(([key, life]): [string, number] => [key, isValid(life) ? 200 : 401])
    return [...known, [this._newKey(), 401]]
  }

  /** Compares an answer with what the versions allow. `sentMs` is not later than the sending of the request. */
  checkAnswer (key: string, { sentMs, status, what }: { sentMs: number, status: number, what: string }): void {
    const nowMs = this._timers.now()
    const life = this._keys.get(key)
    if (status === 401) this.refusedCalls++
    if (status === 200 && !life) this.violations.push(`${what} with a key that no version held was answered with success`)
    if (!life) return
    const { addedMs, withdrawnMs } = life
    const note = (text: string): void => {
      this.violations.push(`${what} ${text}: sent ${sentMs}, answered ${nowMs} with ${status}, key added ${addedMs}, withdrawn ${withdrawnMs}`)
    }
    if (status === 200 && sentMs > withdrawnMs + KEY_BOUNDS.revokeMs) note('with a withdrawn key was answered with success')
    if (status === 401 && sentMs > addedMs + KEY_BOUNDS.applyMs && withdrawnMs === Number.POSITIVE_INFINITY) note('with a valid key was refused')
  }

  /** CPU that the team may have running after a start of this size that was sent at `sentMs` and carried out at `startMs`. */
  allowedCpuMillis (team: string, { sentMs, startMs, size }: { sentMs: number, startMs: number, size: number }): number {
    if (team !== CAPPED_TEAM) return Number.POSITIVE_INFINITY
    const inForce = this._caps.filter(({ fromMs, endedMs }) => fromMs <= startMs && endedMs >= sentMs)
    return Math.max(...inForce.map(({ cpuMillis }) => cpuMillis)) * (1 + CAP_OVERAGE) + size
  }

  /** Descriptions of keys in a log. */
  findKeys (name: string, log: string): string[] {
    return [...this._keys.keys()].filter(key => log.includes(key)).map(key => `the log of ${name} contains the key ${key}`)
  }

  /** A superseded cap is in force until all daemons have been in touch with the store for the time to apply the next version. */
  private _endSuperseded (): void {
    const nowMs = this._timers.now()
    if (this._isDisturbed()) this._disturbedMs = nowMs
    for (const cap of this._caps) {
      const inTouchMs = nowMs - Math.max(cap.supersededMs, this._disturbedMs + RECONTACT_MS)
      if (cap.endedMs === Number.POSITIVE_INFINITY && inTouchMs > KEY_BOUNDS.applyMs) cap.endedMs = nowMs
    }
  }

  private _validKeys (name: string): string[] {
    return [...this._keys].filter(([, life]) => life.team === name && isValid(life)).map(([key]) => key)
  }

  /** A withdrawn key, or one that no version held. */
  private _badKey (): string {
    const withdrawn = [...this._keys].filter(([, life]) => !isValid(life)).map(([key]) => key)
    return withdrawn.length > 0 && this._random.int(3) ? withdrawn[this._random.int(withdrawn.length)] : this._newKey()
  }

  private _newKey (): string {
    return this._random.hex(10)
  }
}

function isValid ({ withdrawnMs }: KeyLife): boolean {
  return withdrawnMs === Number.POSITIVE_INFINITY
}
