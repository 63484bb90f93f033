import t from 'tap'
import { randomWalk } from './randomWalk.js'

const SEED = 20_261_203
const RUNS = 12

t.test('all invariants hold after random sequences of failures', async t => {
  t.comment(`seed ${SEED}, ${RUNS} runs`)
  await t.resolves(randomWalk({ seed: SEED, runs: RUNS }))
})
