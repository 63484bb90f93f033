/**
 * A write of the claim map whose outcome is not known yet.
 *
 * @module
 */

/** What the write would change. */
interface Pending {
  /** Revision of the map at which the write takes effect. */
  modRevision: number
  released: Set<string>
}

/** Remembers released claims until the map has moved on from the revision that the write needs. */
export class PendingWrite {
  private _pending: Pending | undefined

  /** Notes a write about to be sent. Writes against the same revision add up: any of them may still take effect. */
  begin ({ modRevision, released }: { modRevision: number, released: string[] }): void {
    const earlier = this._pending?.modRevision === modRevision ? this._pending : undefined
    this._pending = {
      modRevision,
      released: new Set([...earlier?.released ?? [], ...released])
    }
  }

  /** Forgets the write once the map is newer than the revision that it needs. */
  settle (mapRevision: number): void {
    if (this._pending && mapRevision > this._pending.modRevision) this._pending = undefined
  }

  /** True when the claim was given away by a write that may have taken effect. */
  hasReleased (claim: string): boolean {
    return this._pending?.released.has(claim) ?? false
  }

  /** True while a write may still take effect. */
  isUnsettled (): boolean {
    return this._pending !== undefined
  }
}
