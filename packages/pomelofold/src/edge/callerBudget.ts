/**
 * Bounds what a server holds for its callers, and decides which connections are closed when a bound is reached.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** What a connection waits for. */
export const CONNECTION_STATES = {
  /** For its caller: the first request, the rest of a request, or that the caller reads an answer. */
  caller: 'caller',
  /** For an answer of this server. Such a connection is not closed. */
  server: 'server',
  /** For the next request, after at least one. */
  idle: 'idle'
} as const

/** One of {@link CONNECTION_STATES}. */
export type ConnectionState = typeof CONNECTION_STATES[keyof typeof CONNECTION_STATES]

/** The bound for which a connection is closed. */
export type ExceededBound = 'memory' | 'connections'

/** Options of a {@link CallerBudget}. */
export interface CallerBudgetOptions {
  timers: Timers
  /** Maximum number of bytes that all connections together may hold. */
  maxHeldBytes: number
  /** Maximum number of open connections. */
  maxConnections: number
  /** Time without progress, in milliseconds, after which a connection that waits for its caller is closed before idle ones. */
  stallMs?: number
}

interface Account {
  heldBytes: number
  state: ConnectionState
  progressMs: number
  close: (bound: ExceededBound) => void
}

/** A connection's part of a {@link CallerBudget}. */
export interface CallerAccount {
  /** Reports that the caller has made progress. */
  progress (): void
  /**
   * Sets what the connection holds, in bytes, and what it waits for. Closes other connections when there is no room. Returns false,
   * and keeps the former number of bytes, when there is none nevertheless.
   */
  update (heldBytes: number, state: ConnectionState): boolean
  /** Ends the account of a connection that has been closed. */
  end (): void
}

/**
 * Accounts of all connections of a server. A connection that holds at most its equal share of the memory is never closed for
 * memory; of the others, the one without progress for the longest time is closed first.
 */
export class CallerBudget {
  private readonly _timers: Timers
  private readonly _maxHeldBytes: number
  private readonly _maxConnections: number
  private readonly _stallMs: number
  private readonly _shareBytes: number
  private readonly _accounts = new Set<Account>()
  /** Connections that wait for their callers, those without progress for the longest time first. */
  private readonly _waiting = new Set<Account>()
  /** Those of `_waiting` that hold more than their share, by the time of their last progress or of exceeding it. */
  private readonly _large = new Set<Account>()
  /** Idle connections, those without progress for the longest time first. */
  private readonly _idle = new Set<Account>()
  private _heldBytes = 0

  constructor ({ timers, maxHeldBytes, maxConnections, stallMs = 2_000 }: CallerBudgetOptions) {
    this._timers = timers
    this._maxHeldBytes = maxHeldBytes
    this._maxConnections = maxConnections
    this._stallMs = stallMs
    this._shareBytes = maxHeldBytes / maxConnections
  }

  /** Number of bytes that all connections hold. */
  get heldBytes (): number {
    return this._heldBytes
  }

  /** Number of open connections. */
  get connections (): number {
    return this._accounts.size
  }

  /**
   * Opens an account for a new connection. At the maximum number of connections, another one is closed for it. Undefined when none
   * can be closed; the new connection is to be refused. `close` must close the connection at once; its account has then ended.
   */
  open (close: (bound: ExceededBound) => void): CallerAccount | undefined {
    if (this._accounts.size >= this._maxConnections) {
      const victim = this._leastActive()
      if (!victim) return
      this._close(victim, 'connections')
    }
    const account: Account = { heldBytes: 0, state: CONNECTION_STATES.caller, progressMs: this._timers.now(), close }
    this._accounts.add(account)
    this._enqueue(account)
    return {
      progress: () => this._progress(account),
      update: (heldBytes, state) => this._update(account, heldBytes, state),
      end: () => this._end(account)
    }
  }

  private _progress (account: Account): void {
    if (!this._accounts.has(account)) return
    account.progressMs = this._timers.now()
    this._dequeue(account)
    this._enqueue(account)
  }

  private _update (account: Account, heldBytes: number, state: ConnectionState): boolean {
    if (!this._accounts.has(account)) return false
    const fits = heldBytes <= account.heldBytes || this._makeRoom(account, heldBytes - account.heldBytes)
    const nextBytes = fits ? heldBytes : account.heldBytes
    this._heldBytes += nextBytes - account.heldBytes
    account.heldBytes = nextBytes
    if (state !== account.state) {
      // A request or an answer has been completed.
      account.state = state
      this._progress(account)
    } else if (nextBytes <= this._shareBytes) {
      this._large.delete(account)
    } else if (state === CONNECTION_STATES.caller) {
      this._large.add(account)
    }
    return fits
  }

  /** Closes connections other than `account` until `bytes` more can be held. */
  private _makeRoom (account: Account, bytes: number): boolean {
    while (this._heldBytes + bytes > this._maxHeldBytes) {
      const [victim] = this._large
      if (!victim || victim === account) return false
      this._close(victim, 'memory')
    }
    return true
  }

  /** The connection that is closed for a new one. Callers that have just come are spared while there are idle connections. */
  private _leastActive (): Account | undefined {
    const [waiting] = this._waiting
    const [idle] = this._idle
    if (waiting && this._timers.now() - waiting.progressMs >= this._stallMs) return waiting
    return idle ?? waiting
  }

  private _close (account: Account, bound: ExceededBound): void {
    this._end(account)
    account.close(bound)
  }

  private _end (account: Account): void {
    if (!this._accounts.delete(account)) return
    this._heldBytes -= account.heldBytes
    this._dequeue(account)
  }

  private _enqueue (account: Account): void {
    if (account.state === CONNECTION_STATES.idle) this._idle.add(account)
    if (account.state !== CONNECTION_STATES.caller) return
    this._waiting.add(account)
    if (account.heldBytes > this._shareBytes) this._large.add(account)
  }

  private _dequeue (account: Account): void {
    this._idle.delete(account)
    this._waiting.delete(account)
    this._large.delete(account)
  }
}
