/**
 * A write of the claim map whose outcome is not known yet.
 *
 * @module
 */

/** What the write would change. */
interface PendingMapWrite {
  /** Revision of the map at which the write takes effect. */
  modRevision: number
  releasedClaims: Set<string>
}

/** Remembers released claims until the map has moved on from the revision that the write needs. */
export class PendingWrite {
  private _pendingWrite: PendingMapWrite | undefined

  /** Notes a write about to be sent. Writes against the same revision add up: any of them may still take effect. */
  recordWrite ({ modRevision, releasedClaims }: { modRevision: number, releasedClaims: string[] }): void {
    const earlier = this._pendingWrite?.modRevision === modRevision ? this._pendingWrite : undefined
    this._pendingWrite = {
      modRevision,
      releasedClaims: new Set([...earlier?.releasedClaims ?? [], ...releasedClaims])
    }
  }

  /** Forgets the write once the map is newer than the revision that it needs. */
  settleUpTo (mapRevision: number): void {
    if (this._pendingWrite && mapRevision > this._pendingWrite.modRevision) this._pendingWrite = undefined
  }

  /** True when the claim was given away by a write that may have taken effect. */
  hasReleased (claim: string): boolean {
    return this._pendingWrite?.releasedClaims.has(claim) ?? false
  }

  /** True while a write may still take effect. */
  isPending (): boolean {
    return this._pendingWrite !== undefined
  }
}
