/** Tests of how the body of a request is collected. */

import t from 'tap'
import { BlockPool, BodyBuffer } from 'pomelofold/edge/bodyBuffer'

const MAX_BYTES = 200_000

/** Creates a buffer with the bytes 0, 1, 2, … in chunks of the given size. */
function filledBuffer (pool: BlockPool, bytes: number, chunkBytes: number): BodyBuffer {
  const body = new BodyBuffer({ maxBytes: MAX_BYTES, pool })
  const content = Buffer.from(Array.from({ length: bytes }, (_, i) => i % 256))
  for (let at = 0; at < bytes; at += chunkBytes) body.append(content.subarray(at, at + chunkBytes))
  return body
}

t.test('a body has the same content and takes the same memory in chunks of any size', async t => {
  const pool = new BlockPool({ maxHeldBytes: 0 })
  const whole = filledBuffer(pool, 10_000, 10_000)
  t.ok(whole.allocatedBytes <= 16_384)
  for (const chunkBytes of [1, 7, 1_024, 5_000]) {
    const body = filledBuffer(pool, 10_000, chunkBytes)
    t.equal(body.length, 10_000)
    t.equal(body.allocatedBytes, whole.allocatedBytes)
    t.ok(body.take().every((byte, i) => byte === i % 256))
    t.equal(body.allocatedBytes, 0)
  }
})

t.test('a body may have its maximum size and not a byte more', async t => {
  const body = filledBuffer(new BlockPool({ maxHeldBytes: 0 }), MAX_BYTES, 8_192)
  t.equal(body.allocatedBytes, MAX_BYTES)
  t.notOk(body.append(Buffer.alloc(1)))
  t.equal(body.length, MAX_BYTES)
})

t.test('a short body of the expected size takes no more than its size', async t => {
  const pool = new BlockPool({ maxHeldBytes: 65_536 })
  const body = new BodyBuffer({ maxBytes: MAX_BYTES, expectedBytes: 4, pool })
  t.ok(body.append(Buffer.from('bo')) && body.append(Buffer.from('dy')))
  t.equal(body.allocatedBytes, 4)
  t.equal(body.take().toString(), 'body')
  t.ok(body.append(Buffer.from('more')))
  t.equal(body.take().toString(), 'more')
  t.equal(new BodyBuffer({ maxBytes: MAX_BYTES, expectedBytes: 0, pool }).take().length, 0)
})

t.test('blocks are used again, up to the maximum of the pool', async t => {
  const pool = new BlockPool({ maxHeldBytes: 65_536 })
  const blocks = [1, 2, 3].map(() => pool.take(16_384))
  for (const block of blocks) pool.give(block)
  pool.give(Buffer.alloc(1_024))
  const again = [1, 2, 3].map(() => pool.take(16_384))
  t.equal(again.filter(block => blocks.includes(block)).length, 2)
})
