/**
 * Test that what a placement pass keeps to save time does not change its decisions.
 */

import t from 'tap'
import { DispatchCell } from '../../utils/bench/dispatchCell.js'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { PlacementPass } from 'pomelofold/workflows/placementPass'

const SEEDS = [1, 2, 3, 4, 5, 6]

interface Load {
  workerCount: number
  stepCount: number
  seed: number
  teamCount: number
}

/** Starts of a cell in which runs end one at a time, or several at once. */
async function startsOf (load: Load): Promise<string[]> {
  const random = new SeededRandom(load.seed)
  const cell = new DispatchCell(load)
  await cell.fill()
  for (let pass = 0; pass < 60; pass++) {
    const ends = random.int(8) === 0 ? 20 : 1
    await cell.prepareAfterEnd(ends)
    cell.pass()
  }
  return cell.startLog
}

t.test('steps that fit nowhere are left out without a change of the starts', async t => {
  const { mayFit } = PlacementPass.prototype
  t.teardown(() => { PlacementPass.prototype.mayFit = mayFit })
  for (const seed of SEEDS) {
    const random = new SeededRandom(seed)
    const load = { workerCount: 20 + random.int(60), stepCount: 20 + random.int(150), seed, teamCount: random.int(3) * 4 }
    PlacementPass.prototype.mayFit = mayFit
    const starts = await startsOf(load)
    let skippable = 0
    PlacementPass.prototype.mayFit = function (...args) {
      if (!mayFit.apply(this, args)) skippable++
      return true
    }
    t.same(starts, await startsOf(load), JSON.stringify(load))
    t.ok(skippable > 100, `${skippable} steps could be left out`)
  }
})
