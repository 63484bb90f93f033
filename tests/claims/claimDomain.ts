/**
 * Runs the claim keepers of one failure domain in a single process, with a shared store and a manual clock.
 *
 * @module
 */

import Result from 'true-myth/result'
import { ClaimKeeper, type CallPeerPromise } from 'pomelofold/claims/claimKeeper'
import { CallError, EFFECTS } from 'pomelofold/utils/errors'
import { CLAIM_NAMES } from 'pomelofold/seams/authority'
import { KeyValueStore } from '@pomelofold/standins/keyValueStore'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { MemoryPlatformClient } from '@pomelofold/standins/memoryPlatformClient'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { ProcessTimers } from '@pomelofold/standins/processTimers'

/** The daemon of one entry VM. */
export interface Daemon {
  vm: string
  keeper: ClaimKeeper
  platform: MemoryPlatformClient
  timers: ProcessTimers
}

/** Options of a {@link ClaimDomain}. */
export interface ClaimDomainOptions {
  /** Sizes of the entry VMs, by name. */
  sizes: Record<string, number>
  /** Number of service instances, each with a claim. */
  instances?: number
  seed?: number
}

const FAILURE_DOMAIN = 'fd1'

/** Step of the clock while waiting for a condition, in milliseconds. */
const STEP_MS = 10

/** The daemons of one failure domain. Before each callback of a process, it checks that no claim has two holders. */
export class ClaimDomain {
  readonly clock = new ManualTimers()
  readonly store = new KeyValueStore({ timers: this.clock })
  readonly daemons = new Map<string, Daemon>()
  readonly wanted: string[]
  readonly listed: Set<string>
  /** Times at which more than one process held the same claim. */
  readonly conflicts: string[] = []
  private readonly _options: ClaimDomainOptions
  private _incarnation = 0

  constructor (options: ClaimDomainOptions) {
    this._options = options
    this.listed = new Set(Object.keys(options.sizes))
    const instances = Array.from({ length: options.instances ?? 6 }, (_, i) => CLAIM_NAMES.instance(FAILURE_DOMAIN, `i${i}`))
    this.wanted = [CLAIM_NAMES.placer(FAILURE_DOMAIN), ...instances]
  }

  /** Starts a process on `vm`, after killing the one that runs there. */
  start (vm: string): Daemon {
    this.kill(vm)
    const timers = new ProcessTimers({ timers: this.clock, beforeCallback: () => this._recordConflicts() })
    const platform = new MemoryPlatformClient({ store: this.store, timers })
    const incarnation = `${vm}-${++this._incarnation}`
    const members = Object.entries(this._options.sizes).map(([name, size]) => ({ vm: name, failureDomain: FAILURE_DOMAIN, size }))
    const from = { vm, failureDomain: FAILURE_DOMAIN, incarnation }
    const callPeerPromise: CallPeerPromise = async (peer, params) => {
      const target = this.daemons.get(peer)
      if (!target?.timers.isRunning()) {
        return Result.err(new CallError('connection refused', { step: 'peer.call', peer, effect: EFFECTS.none }))
      }
      return Result.ok(target.keeper.onPromiseRequest(params, from))
    }
    const random = new SeededRandom((this._options.seed ?? 1) + this._incarnation)
    const options = { timers, random, platform, callPeerPromise, members }
    const keeper = new ClaimKeeper({ ...options, vm, incarnation, failureDomain: FAILURE_DOMAIN })
    const daemon = { vm, keeper, platform, timers }
    this.daemons.set(vm, daemon)
    keeper.setListedVms(this.listed)
    keeper.setWantedClaims(this.wanted)
    keeper.start()
    return daemon
  }

  /** Starts a process on every VM. */
  startAll (): void {
    for (const vm of Object.keys(this._options.sizes)) this.start(vm)
  }

  /** Kills a process, without any message to others. */
  kill (vm: string): void {
    this.daemons.get(vm)?.timers.kill()
    this.daemons.delete(vm)
  }

  freeze (vm: string): void {
    this.get(vm).timers.freeze()
  }

  thaw (vm: string): void {
    this.get(vm).timers.thaw()
    this._recordConflicts()
  }

  /** Cuts `vms` off from the platform; all by default. */
  disconnect (vms: Iterable<string> = this.daemons.keys()): void {
    for (const vm of vms) this.get(vm).platform.faults.unreachable = true
  }

  /** Connects all VMs to the platform again. */
  reconnect (): void {
    for (const { platform } of this.daemons.values()) platform.faults.unreachable = false
  }

  get (vm: string): Daemon {
    return this.daemons.get(vm)!
  }

  held (vm: string): string[] {
    return this.get(vm).keeper.heldClaims().sort()
  }

  /** Number of claims that running processes hold. */
  heldCount (): number {
    return this._runningDaemons().flatMap(({ keeper }) => keeper.heldClaims()).length
  }

  allHeld (): boolean {
    return this.heldCount() === this.wanted.length
  }

  /** Causes `count` random faults, at random intervals of up to 9 seconds. */
  async runRandomFaults (seed: number, count: number): Promise<void> {
    const random = new SeededRandom(seed)
    const vms = Object.keys(this._options.sizes)
    for (let fault = 0; fault < count; fault++) {
      const vm = vms[random.int(vms.length)]
      const faults = this.daemons.get(vm)?.platform.faults
      const actions: Array<() => void> = [
        () => this.start(vm),
        () => this.kill(vm),
        () => { if (faults) this.freeze(vm) },
        () => { if (faults) this.thaw(vm) },
        () => this.disconnect(),
        () => this.reconnect(),
        () => { if (faults) faults.unreachable = !faults.unreachable },
        () => { if (faults) faults.loseAnswers = !faults.loseAnswers },
        () => { if (faults) faults.delayMs = [1, 900, 3_000, 9_000][random.int(4)] }
      ]
      actions[random.int(actions.length)]()
      await this.advance(random.int(9_000))
    }
  }

  advance (ms: number): Promise<void> {
    return this.clock.advance(ms)
  }

  waitUntil (condition: () => boolean, limitMs = 60_000): Promise<void> {
    return this.clock.advanceUntil(condition, { limitMs, stepMs: STEP_MS })
  }

  private _runningDaemons (): Daemon[] {
    return [...this.daemons.values()].filter(({ timers }) => timers.isRunning())
  }

  private _recordConflicts (): void {
    for (const name of this.wanted) {
      const holders = this._runningDaemons().filter(({ keeper }) => keeper.epochOf(name) !== undefined).map(({ vm }) => vm)
      if (holders.length > 1) this.conflicts.push(`${this.clock.now()} ms: ${name} held by ${holders.join(' and ')}`)
    }
  }
}

/** A domain in which all processes run and all claims have been held for 10 seconds. */
export async function settledDomain (sizes: Record<string, number>, instances?: number): Promise<ClaimDomain> {
  const domain = new ClaimDomain({ sizes, instances })
  domain.startAll()
  await domain.waitUntil(() => domain.allHeld())
  await domain.advance(10_000)
  return domain
}
