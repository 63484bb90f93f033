/**
 * Frames between entry daemons: a length prefix of 4 bytes, big-endian, followed by that many bytes of CBOR.
 *
 * @module
 */

import { addExtension, Decoder, Encoder } from 'cbor-x'

/** Size of the length prefix, in bytes. */
export const LENGTH_PREFIX_BYTES = 4

/** Maximum size of a frame without its length prefix, in bytes. */
export const MAX_FRAME_BYTES = 4_000_000

const CODEC_OPTIONS = { useRecords: false, mapsAsObjects: true, tagUint8Array: false }
const encoder = new Encoder(CODEC_OPTIONS)
const decoder = new Decoder(CODEC_OPTIONS)

/** Tags of CBOR's big numbers. No message has any, and the time to decode one grows with the square of its length. */
const BIG_NUMBER_TAGS = [2, 3]
for (const tag of BIG_NUMBER_TAGS) {
  const decode = (): never => { throw new Error('big numbers are not supported') }
  addExtension({ tag, decode } as unknown as Parameters<typeof addExtension>[0])
}

/** Size up to which adjacent pieces of an incomplete frame are joined, in bytes: a piece takes some hundred bytes beside its content. */
const MIN_PIECE_BYTES = 1_024

/** A frame is too large, or its content is not CBOR. The connection cannot be used any further. */
export class FrameError extends Error {
  override readonly name = 'FrameError'
}

/** Encodes a value as a frame. Throws {@link FrameError} when it is too large. */
export function encodeFrame (value: unknown): Buffer {
  const content = encoder.encode(value)
  if (content.length > MAX_FRAME_BYTES) throw new FrameError(`frame of ${content.length} bytes exceeds ${MAX_FRAME_BYTES} bytes`)
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + content.length)
  frame.writeUInt32BE(content.length, 0)
  frame.set(content, LENGTH_PREFIX_BYTES)
  return frame
}

/** Options of a {@link FrameDecoder}. */
export interface FrameDecoderOptions {
  /** Maximum size of a frame without its length prefix, in bytes. */
  maxFrameBytes?: number
}

/** Decodes the frames of a byte stream. Buffers at most one incomplete frame. */
export class FrameDecoder {
  /** Maximum size of the next frames without their length prefixes, in bytes. */
  maxFrameBytes: number
  private _chunks: Buffer[] = []
  private _bufferedBytes = 0

  constructor ({ maxFrameBytes = MAX_FRAME_BYTES }: FrameDecoderOptions = {}) {
    this.maxFrameBytes = maxFrameBytes
  }

  /** Adds the next bytes of the stream and returns the frames that they complete. Throws {@link FrameError}. */
  push (chunk: Buffer): unknown[] {
    this._append(chunk)
    this._bufferedBytes += chunk.length
    const frames: unknown[] = []
    while (true) {
      const length = this._nextLength()
      if (length === undefined || this._bufferedBytes < LENGTH_PREFIX_BYTES + length) return frames
      frames.push(this._decode(this._take(LENGTH_PREFIX_BYTES + length).subarray(LENGTH_PREFIX_BYTES)))
    }
  }

  private _append (chunk: Buffer): void {
    const last = this._chunks.at(-1)
    if (last && last.length < MIN_PIECE_BYTES && chunk.length < MIN_PIECE_BYTES) {
      this._chunks[this._chunks.length - 1] = Buffer.concat([last, chunk])
    } else {
      this._chunks.push(chunk)
    }
  }

  private _nextLength (): number | undefined {
    if (this._bufferedBytes < LENGTH_PREFIX_BYTES) return undefined
    if (this._chunks[0].length < LENGTH_PREFIX_BYTES) this._chunks = [Buffer.concat(this._chunks)]
    const length = this._chunks[0].readUInt32BE(0)
    if (length > this.maxFrameBytes) throw new FrameError(`frame of ${length} bytes exceeds ${this.maxFrameBytes} bytes`)
    return length
  }

  private _take (bytes: number): Buffer {
    const all = this._chunks.length === 1 ? this._chunks[0] : Buffer.concat(this._chunks)
    this._chunks = all.length > bytes ? [all.subarray(bytes)] : []
    this._bufferedBytes -= bytes
    return all.subarray(0, bytes)
  }

  private _decode (content: Buffer): unknown {
    try {
      return decoder.decode(content)
    } catch (err) {
      throw new FrameError(`frame of ${content.length} bytes is not CBOR`, { cause: err })
    }
  }
}
