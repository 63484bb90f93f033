/**
 * Fencing tokens of the calls to workers. A worker refuses calls with a lower token than it has seen.
 *
 * Load pattern: workers that restart under the same id while orders to them are in transit. A new incarnation has seen no token,
 * so that one token for the whole term would let it carry out orders to an earlier incarnation that come late.
 *
 * @module
 */

import type { WorkerEntry } from '../seams/workflowUpstreams.js'

/** Token of the calls to a worker. Shared by the sessions of all incarnations with its id. */
export interface WorkerFence {
  readonly token: number
  /** Start date of the last incarnation with the id before the latest one; undefined when none is known. */
  readonly earlierBornMs?: number
  /** Raises the token to the latest revision that this scheduler has written, so that the worker refuses what was sent to it before. */
  raise (): void
}

interface Fence extends WorkerFence {
  token: number
  /** Start date of the latest known incarnation. */
  bornMs: number
  earlierBornMs?: number
}

/** Keeps the token of each worker, and raises it for each later incarnation with the same id. */
export class FencingTokens {
  private readonly _fences = new Map<string, Fence>()
  /** Latest revision written under the leader key: not lower than the epoch of this term, and lower than that of the next one. */
  private _revision: number

  constructor ({ epoch }: { epoch: number }) {
    this._revision = epoch
  }

  /** Notes the revision of a write that was guarded by the leader key. */
  noteRevision (revision: number): void {
    this._revision = Math.max(this._revision, revision)
  }

  /** True when an earlier incarnation with the worker's id has a fence: calls to that one may reach this one. */
  hasEarlier ({ id, bornMs }: WorkerEntry): boolean {
    return (this._fences.get(id)?.bornMs ?? bornMs) < bornMs
  }

  /** Fence of a worker that the roster contains. A later incarnation was added by a write of its own, so that its token is higher. */
  fenceOf ({ id, bornMs }: WorkerEntry): WorkerFence {
    const fence: Fence = this._fences.get(id) ?? { bornMs, token: this._revision, raise: () => { fence.token = this._revision } }
    this._fences.set(id, fence)
    if (bornMs > fence.bornMs) {
      fence.earlierBornMs = fence.bornMs
      fence.bornMs = bornMs
      fence.raise()
    }
    return fence
  }
}
