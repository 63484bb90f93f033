/**
 * Tests of the shares of teams in the room of a cell: drawn teams, weights, floods and rooms.
 *
 * @module
 */

import t from 'tap'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { cores, fits, PASS_MS, SharesCell, teamsOf, type Submission } from './sharesCell.js'

const SEEDS = [1, 2, 3]
/** Longest time without a start of a team that waits, in milliseconds: twice the wait for which a step counts as more urgent. */
const LONGEST_WAIT_MS = 65_000

interface DrawnTeam {
  name: string
  weight: number
  /** Mean number of workflows a second. */
  rate: number
  draw: () => Submission
}

function pick<T> (random: SeededRandom, values: T[]): T {
  return values[random.int(values.length)]
}

/** Submits the workflows of a team at its mean rate, at drawn moments. `factor` is the multiple of the rate at a time. */
function arrivalsOf (
  cell: SharesCell, teams: DrawnTeam[], random: SeededRandom, factor = (_team: DrawnTeam, _nowMs: number) => 1
): (nowMs: number) => void {
  return nowMs => {
    for (const team of teams) {
      const mean = team.rate * factor(team, nowMs) * PASS_MS / 1_000
      const count = Math.floor(mean) + Number(random.next() < mean % 1)
      for (let index = 0; index < count; index++) cell.submit(team.draw())
    }
  }
}

/** Mean work of a workflow, in core-milliseconds: a few tasks of some seconds. */
const WORK = 16_000

/** Three to six teams that submit at nine tenths of their budgets, so that each wants room by its weight. */
function drawTeams (random: SeededRandom): DrawnTeam[] {
  return Array.from({ length: 3 + random.int(4) }, (_, index) => {
    const name = `team-${index}`
    const weight = 6 + random.int(15)
    const tasks = 2 + random.int(4)
    const coreCount = 1 + random.int(2)
    const runMs = WORK / tasks / coreCount
    const draw = (): Submission =>
      ({ team: name, tasks: 1 + random.int(2 * tasks - 1), size: cores(coreCount), runMs: runMs * (0.5 + random.next()) })
    return { name, weight, rate: weight * 0.9, draw }
  })
}

/** Cores of a cell of which the teams want the part `demand`. */
function coresFor (teams: DrawnTeam[], demand: number): number {
  return Math.round(teams.reduce((sum, { rate }) => sum + rate, 0) * WORK / 1_000 / demand)
}

for (const seed of SEEDS) {
  t.test(`seed ${seed}: under lasting contention, each team has its weighted share of the room within 10 %`, async t => {
    const random = new SeededRandom(seed)
    const teams = drawTeams(random)
    const cell = new SharesCell({ capacity: cores(coresFor(teams, 1.5 + random.next())), teams: teamsOf(...teams) })
    const flooding = pick(random, teams)
    const used = new Map(teams.map(({ name }) => [name, 0]))
    cell.onPass = () => {
      if (cell.timers.now() < 10_000) return
      for (const { name } of teams) used.set(name, used.get(name)! + cell.usage.of(name).cpuMillis)
    }
    await cell.runUntil(30_000, arrivalsOf(cell, teams, random, team => team === flooding ? 8 : 1))
    const sum = [...used.values()].reduce((total, value) => total + value, 0)
    const totalWeight = teams.reduce((total, { weight }) => total + weight, 0)
    for (const { name, weight } of teams) {
      const share = used.get(name)! / sum
      const due = weight / totalWeight
      t.ok(Math.abs(share / due - 1) <= 0.1, `${name} of weight ${weight}: ${share.toFixed(3)} of ${due.toFixed(3)}`)
    }
  })

  t.test(`seed ${seed}: teams that need different resources have equal weighted shares of their dominant ones within 10 %`, async t => {
    const random = new SeededRandom(seed)
    const capacity = cores(1_000, 2_000_000)
    const teams = [1, 2, 3].map(index => ({ name: `team-${index}`, weight: 6 + random.int(15), memoryPerCore: [500, 2_000, 8_000][index - 1] }))
    const cell = new SharesCell({ capacity, teams: teamsOf(...teams) })
    const shares = new Map<string, number[]>(teams.map(({ name }) => [name, []]))
    cell.onPass = () => {
      if (cell.timers.now() < 10_000) return
      for (const { name } of teams) shares.get(name)!.push(cell.shares.weightedShare(name))
    }
    await cell.runUntil(30_000, nowMs => {
      for (const { name, weight, memoryPerCore } of teams) {
        if (nowMs % 1_000 !== 0) continue
        for (let index = 0; index < weight; index++) {
          cell.submit({ team: name, tasks: 20, size: cores(1, memoryPerCore), runMs: 3_000 + random.int(3_000) })
        }
      }
    })
    const means = [...shares.values()].map(values => values.reduce((sum, value) => sum + value, 0) / values.length)
    const mean = means.reduce((sum, value) => sum + value, 0) / means.length
    for (const share of means) t.ok(Math.abs(share / mean - 1) <= 0.1, `${(share / mean).toFixed(3)} of the mean`)
  })

  t.test(`seed ${seed}: a flood of eight times a team's usual lengthens the p90 wait of others within their weights to 1.3 times at most`, async t => {
    const demand = [0.7, 0.9, 1.1][seed % 3]
    const calm = await waitsOf({ seed, demand, flood: 1 })
    const flooded = await waitsOf({ seed, demand, flood: 8 })
    for (const [name, waitMs] of calm) t.ok(Number.isFinite(waitMs) && flooded.get(name)! <= 1.3 * waitMs, `${name}: ${flooded.get(name)} after ${waitMs} ms`)
  })
  t.test(`seed ${seed}: no team waits without end, and no room stands idle while a task fits`, async t => {
    const random = new SeededRandom(seed)
    const teams = drawTeams(random).map((team, index) => {
      const weight = index === 0 ? 0.2 : Math.ceil(team.weight / 5)
      return { ...team, weight, rate: weight * 0.9, priority: index === 0 ? 2 : random.int(3) }
    })
    const cell = new SharesCell({ capacity: cores(coresFor(teams, 2)), teams: teamsOf(...teams) })
    const waitingSinceMs = new Map<string, number>()
    let idle = 0
    let longestMs = 0
    cell.onPass = (free, waiting) => {
      if (waiting.some(({ size }) => fits(size, free))) idle++
      const nowMs = cell.timers.now()
      for (const { name } of teams) {
        const since = waiting.some(({ team }) => team === name) ? waitingSinceMs.get(name) ?? nowMs : nowMs
        longestMs = Math.max(longestMs, nowMs - since)
        waitingSinceMs.set(name, since)
      }
    }
    const flooding = pick(random, teams.slice(1))
    const drawn = teams.map(team => ({ ...team, draw: () => ({ ...team.draw(), priority: team.priority }) }))
    const arrive = arrivalsOf(cell, drawn, random, ({ name }) => name === flooding.name ? 8 : 1)
    await cell.runUntil(90_000, nowMs => {
      arrive(nowMs)
      for (const { name } of teams) if (cell.startedTeams.has(name)) waitingSinceMs.delete(name)
    })
    t.equal(idle, 0)
    t.ok(longestMs <= LONGEST_WAIT_MS, `${longestMs} ms without a start`)
  })
}

/** p90 of the time until the end of the workflows of each team that does not flood, by the same submissions. */
async function waitsOf ({ seed, demand, flood }: { seed: number, demand: number, flood: number }): Promise<Map<string, number>> {
  const random = new SeededRandom(seed)
  const teams = drawTeams(random)
  const flooding = pick(random, teams)
  const cell = new SharesCell({ capacity: cores(coresFor(teams, demand)), teams: teamsOf(...teams) })
  // The flood is of urgent work, which would come first without budgets.
  for (const team of teams) {
    const { draw } = team
    const priority = team === flooding ? 0 : 1
    team.draw = () => ({ ...draw(), priority })
  }
  const arrivals = teams.map((team, index) => arrivalsOf(cell, [team], new SeededRandom(100 * seed + index)))
  const floodArrivals = arrivalsOf(cell, [flooding], random, (_team, nowMs) => nowMs > 3_000 && nowMs < 15_000 ? flood - 1 : 0)
  await cell.runUntil(18_000, nowMs => { for (const arrive of [...arrivals, floodArrivals]) arrive(nowMs) })
  await cell.runUntil(35_000)
  const p90 = (values: number[]): number => values.sort((a, b) => a - b)[Math.floor(values.length * 0.9)]
  const others = teams.filter(team => team !== flooding)
  return new Map(others.map(({ name }) =>
    [name, p90(cell.outcomes.filter(({ team }) => team === name).map(({ endedMs, submittedMs }) => Math.round(endedMs - submittedMs)))]))
}
