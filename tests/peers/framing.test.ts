/**
 * Guards the decoder of frames against streams that are split at any byte, and against malicious or damaged frames.
 *
 * @module
 */

import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import t from 'tap'
import fc from 'fast-check'
import { encodeFrame, FrameDecoder, FrameError, MAX_FRAME_BYTES } from 'pomelofold/protocol/framing'
import { frameSchema, helloSchema } from 'pomelofold/protocol/peerMessages'

const SEED = 4_201

t.test('frames are decoded completely wherever the byte stream is split', async t => {
  const dictionary = fc.dictionary(fc.string().filter(key => key !== '__proto__'), fc.string())
  const values = fc.array(fc.oneof(fc.string(), fc.integer(), fc.uint8Array({ maxLength: 300 }), dictionary), { maxLength: 8 })
  fc.assert(fc.property(values, fc.integer({ min: 1, max: 50 }), (values, step) => {
    const stream = Buffer.concat(values.map(encodeFrame))
    const decoder = new FrameDecoder()
    const out: unknown[] = []
    for (let at = 0; at < stream.length; at += step) out.push(...decoder.push(stream.subarray(at, at + step)))
    const plain = (value: unknown): unknown => value instanceof Uint8Array ? [...value] : value
    return JSON.stringify(out.map(plain)) === JSON.stringify(values.map(plain))
  }), { seed: SEED, numRuns: 500 })
})

t.test('a field named __proto__ becomes an ordinary field', async t => {
  const [frame] = new FrameDecoder().push(encodeFrame(JSON.parse('{"__proto__":{"polluted":true}}'))) as Array<Record<string, unknown>>
  t.equal(frame.polluted, undefined)
  t.equal(Object.getPrototypeOf(frame), Object.prototype)
})

t.test('a frame above the size limit is refused before its content is read', async t => {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(MAX_FRAME_BYTES + 1)
  t.throws(() => new FrameDecoder().push(length), FrameError)
})

t.test('ten thousand random streams all end in frames that validation rejects or in a FrameError', async t => {
  let refused = 0
  fc.assert(fc.property(fc.uint8Array({ minLength: 1, maxLength: 64 }), bytes => {
    const decoder = new FrameDecoder()
    const framed = Buffer.concat([Buffer.from([0, 0, 0, bytes.length]), bytes])
    try {
      for (const frame of decoder.push(framed)) {
        if (!frameSchema.safeParse(frame).success && !helloSchema.safeParse(frame).success) refused++
      }
    } catch (err) {
      if (!(err instanceof FrameError)) throw err
      refused++
    }
  }), { seed: SEED, numRuns: 10_000 })
  t.equal(refused, 10_000)
})

t.test('the limit of a frame may be lower, and may change between frames', async t => {
  const decoder = new FrameDecoder({ maxFrameBytes: 10 })
  const frame = encodeFrame('x'.repeat(20))
  t.throws(() => new FrameDecoder({ maxFrameBytes: 10 }).push(frame), FrameError)
  t.same(decoder.push(encodeFrame('small')), ['small'])
  decoder.maxFrameBytes = MAX_FRAME_BYTES
  t.same(decoder.push(frame), ['x'.repeat(20)])
})

t.test('an incomplete frame that comes byte by byte does not keep each piece', async t => {
  const pieces: Array<WeakRef<Buffer>> = []
  const decoder = new FrameDecoder()
  const push = (bytes: number[]): void => {
    const piece = Buffer.from(new Uint8Array(bytes).buffer)
    pieces.push(new WeakRef(piece))
    decoder.push(piece)
  }
  push([0, 0, 16, 0])
  for (let i = 0; i < 4_000; i++) push([0])
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  await new Promise(resolve => setImmediate(resolve))
  collect()
  const kept = pieces.filter(piece => piece.deref()).length
  t.ok(kept <= 100, `${kept} of ${pieces.length} pieces kept`)
  t.same(decoder.push(Buffer.alloc(95)), [])
})

// Guards against a number that takes the square of its length to decode: one of 4 MB blocks the process.
t.test('a number of very many digits is refused', async t => {
  const BYTES = 50_000
  for (const tag of [0xc2, 0xc3]) {
    const frame = Buffer.alloc(10 + BYTES, 0xff)
    frame.writeUInt32BE(6 + BYTES)
    frame.set([tag, 0x5a], 4)
    frame.writeUInt32BE(BYTES, 6)
    t.throws(() => new FrameDecoder().push(frame), FrameError)
  }
})
