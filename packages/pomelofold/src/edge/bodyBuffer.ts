/**
 * Collects a body whose size is not known in advance.
 *
 * @module
 */

/** Size of the smallest and of the largest blocks, in bytes. A body of known size may begin with a smaller one. */
const MIN_BLOCK_BYTES = 1_024
const MAX_BLOCK_BYTES = 16_384

/** Share of the memory for callers that unused blocks may take. */
const UNUSED_SHARE = 1 / 2

/** Unused blocks of the largest size. Reuse keeps bodies that are given up from leaving garbage. */
export class BlockPool {
  private readonly _maxBlocks: number
  private readonly _blocks: Buffer[] = []

  constructor ({ maxHeldBytes }: { maxHeldBytes: number }) {
    this._maxBlocks = Math.floor(maxHeldBytes * UNUSED_SHARE / MAX_BLOCK_BYTES)
  }

  /** Returns a block of `bytes` bytes, whose content is arbitrary. */
  take (bytes: number): Buffer {
    return (bytes === MAX_BLOCK_BYTES ? this._blocks.pop() : undefined) ?? Buffer.allocUnsafeSlow(bytes)
  }

  /** Takes back a block that is not used any more. */
  give (block: Buffer): void {
    if (block.length === MAX_BLOCK_BYTES && this._blocks.length < this._maxBlocks) this._blocks.push(block)
  }
}

/** Options of a {@link BodyBuffer}. */
export interface BodyBufferOptions {
  maxBytes: number
  /** Size that the body probably has. */
  expectedBytes?: number
  pool: BlockPool
}

/** Copies chunks into blocks, so that chunks of a few bytes take no more memory than their content. */
export class BodyBuffer {
  private readonly _maxBytes: number
  private readonly _firstBlockBytes: number
  private readonly _pool: BlockPool
  private readonly _blocks: Buffer[] = []
  /** Number of free bytes at the end of the last block. */
  private _freeBytes = 0
  private _allocatedBytes = 0

  constructor ({ maxBytes, expectedBytes = MIN_BLOCK_BYTES, pool }: BodyBufferOptions) {
    this._maxBytes = maxBytes
    this._firstBlockBytes = Math.max(1, Math.min(expectedBytes, MAX_BLOCK_BYTES))
    this._pool = pool
  }

  /** Number of bytes that have been added. */
  get length (): number {
    return this._allocatedBytes - this._freeBytes
  }

  /** Number of bytes that the blocks take. */
  get allocatedBytes (): number {
    return this._allocatedBytes
  }

  /** Adds a chunk. Returns false, and adds nothing, when the body would be larger than its maximum. */
  append (chunk: Uint8Array): boolean {
    if (this.length + chunk.length > this._maxBytes) return false
    for (let from = 0; from < chunk.length;) {
      if (this._freeBytes === 0) this._allocate()
      const block = this._blocks[this._blocks.length - 1]
      const bytes = Math.min(this._freeBytes, chunk.length - from)
      block.set(chunk.subarray(from, from + bytes), block.length - this._freeBytes)
      this._freeBytes -= bytes
      from += bytes
    }
    return true
  }

  /** Returns the body and gives up the blocks. */
  take (): Buffer {
    if (this._blocks.length === 1 && this._freeBytes === 0) {
      this._allocatedBytes = 0
      return this._blocks.pop()!
    }
    const body = Buffer.concat(this._blocks, this.length)
    this.release()
    return body
  }

  /** Gives up the blocks. */
  release (): void {
    for (const block of this._blocks.splice(0)) this._pool.give(block)
    this._allocatedBytes = 0
    this._freeBytes = 0
  }

  /** Blocks grow with the body, up to a maximum. */
  private _allocate (): void {
    const wantedBytes = this._allocatedBytes === 0 ? this._firstBlockBytes : Math.max(MIN_BLOCK_BYTES, this._allocatedBytes)
    const bytes = Math.min(wantedBytes, MAX_BLOCK_BYTES, this._maxBytes - this._allocatedBytes)
    this._blocks.push(this._pool.take(bytes))
    this._freeBytes = bytes
    this._allocatedBytes += bytes
  }
}
