/**
 * A write of the claim map that was sent and may still take effect.
 *
 * @module
 */

interface PendingMapWrite {
  /** Revision that the map must have for the write to take effect. */
  modRevision: number
  releasedClaims: Set<string>
}

/**
 * Tracks the claims that a pending write releases, until a later revision of the map is known. The write has then taken
 * effect or never will.
 */
export class PendingWrite {
  private _pendingWrite: PendingMapWrite | undefined

  /** Records a write before it is sent. Claims released against the same revision accumulate: any of the writes may take effect. */
  recordWrite ({ modRevision, releasedClaims }: { modRevision: number, releasedClaims: string[] }): void {
    const earlier = this._pendingWrite?.modRevision === modRevision ? this._pendingWrite : undefined
    this._pendingWrite = {
      modRevision,
      releasedClaims: new Set([...earlier?.releasedClaims ?? [], ...releasedClaims])
    }
  }

  /** Discards the write once the map is newer than the revision that the write requires. */
  settleUpTo (mapRevision: number): void {
    if (this._pendingWrite && mapRevision > this._pendingWrite.modRevision) this._pendingWrite = undefined
  }

  /** True when a pending write releases the claim, so that another process may hold it already. */
  hasReleased (claim: string): boolean {
    return this._pendingWrite?.releasedClaims.has(claim) ?? false
  }

  isPending (): boolean {
    return this._pendingWrite !== undefined
  }
}
